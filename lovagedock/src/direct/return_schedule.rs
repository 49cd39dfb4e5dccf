//! Schedule by which refused requests return.

use serde::{Deserialize, Serialize};

use super::{
    pool_flow::{FlowLane, ServiceTag},
    refusals::RequestFingerprint,
};

/// Change of a scheduled return, as sent to peers. Times are relative to the sending of the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnUpdate {
    /// A request was refused and told to return at this time.
    Scheduled {
        /// The request.
        fingerprint: RequestFingerprint,
        /// Its service.
        service: ServiceTag,
        /// Its lane.
        lane: FlowLane,
        /// Time until the return, in milliseconds.
        due_in_ms: u32,
    },
    /// The request has returned and used its schedule.
    Used {
        /// The request.
        fingerprint: RequestFingerprint,
    },
}
