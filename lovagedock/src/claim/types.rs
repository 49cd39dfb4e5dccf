//! Events, actions and limits of a claim partition.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    codes::ResultCode,
    ids::{Incarnation, RequestId, Timestamp},
    store_call::{ObjectName, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

/// First 128 bits of the BLAKE3 hash of a key, its organisation and its service.
pub type KeyHash = [u8; 16];
/// First 128 bits of the BLAKE3 hash of a request's method, path and body.
pub type BodyDigest = [u8; 16];
/// Index of a partition, starting at 0.
pub type PartitionIndex = u32;

/// A keyed request that is to run or to get the recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: KeyHash,
    /// Id of this request. A repeat with the same key has another id.
    pub request: RequestId,
    /// Digest of the request that uses the key.
    pub body: BodyDigest,
    /// Deadline of the request by the clock of this process. After it, the request must not be
    /// running, or it must at least be cancelled and never be started.
    pub deadline: Timestamp,
}

/// An event that a claim partition reacts to.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A keyed request arrived.
    Claim(ClaimRequest),
    /// A granted request ended with this answer, whose delivery has not ended yet.
    Record {
        /// The key.
        key: KeyHash,
        /// The request that was granted.
        request: RequestId,
        /// The whole answer, encoded by the user of this module.
        answer: Bytes,
        /// Time until which the delivery can wait for the record.
        deadline: Timestamp,
    },
    /// A granted request did not run and never will.
    Abandon {
        /// The key.
        key: KeyHash,
        /// The request that was granted.
        request: RequestId,
    },
    /// The caller of an undecided claim disconnected.
    Withdraw {
        /// The request, which is not granted yet.
        request: RequestId,
    },
    /// A write or deletion ended.
    StoreWriteEnded {
        /// Nonce of the action.
        nonce: WriteNonce,
        /// Result of the write or deletion.
        outcome: WriteOutcome,
    },
    /// A read ended.
    StoreReadEnded {
        /// Name of the object.
        object: ObjectName,
        /// Result of the read.
        outcome: ReadOutcome,
    },
    /// The time of the last [`ClaimAction::WakeAt`] is due.
    Tick,
}

/// An action to carry out for a claim partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read an object and report [`ClaimEvent::StoreReadEnded`].
    Read {
        /// Name of the object.
        object: ObjectName,
    },
    /// Write an object and report [`ClaimEvent::StoreWriteEnded`].
    Write {
        /// Name of the object.
        object: ObjectName,
        /// Condition for the write.
        condition: WriteCondition,
        /// The new value.
        bytes: Bytes,
        /// Identifies this write in [`ClaimEvent::StoreWriteEnded`].
        nonce: WriteNonce,
    },
    /// Delete an object, if it exists, and report [`ClaimEvent::StoreWriteEnded`].
    Delete {
        /// Name of the object.
        object: ObjectName,
        /// Identifies this deletion in [`ClaimEvent::StoreWriteEnded`].
        nonce: WriteNonce,
    },
    /// The request may run once.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// The request ran before under this key. Deliver its recorded answer.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer as it was recorded.
        answer: Bytes,
    },
    /// Another request with the key is running, and this one waits for its answer.
    InProgress {
        /// The request that waits.
        request: RequestId,
        /// Incarnation of the gateway that runs the other request.
        owner: Incarnation,
        /// The other request.
        running: RequestId,
    },
    /// End the request with this code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason for the refusal.
        code: ResultCode,
    },
    /// The answer is in the store, and the delivery may end cleanly.
    Recorded {
        /// The granted request.
        request: RequestId,
    },
    /// The answer is not in the store, and the delivery must not end cleanly.
    NotRecorded {
        /// The granted request.
        request: RequestId,
    },
    /// Send [`ClaimEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Sizes and times of a partition. They must be the same at all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Minimum time that a claim and its answer are kept. Longer than the deadline of any request.
    pub window: Duration,
    /// Maximum size of an answer that is kept inside the partition's object, in bytes.
    pub inline_bytes: usize,
    /// Size of the objects into which larger answers are split, in bytes.
    pub part_bytes: usize,
    /// Maximum number of objects for one answer.
    pub max_parts: u16,
    /// Maximum size of the partition's object, in bytes.
    pub partition_bytes: usize,
    /// Maximum number of requests that wait in the partition at one gateway.
    pub max_waiting: usize,
    /// Minimum time between two writes of the partition by one gateway. With 0, a write follows as
    /// soon as the previous one ends.
    pub write_interval: Duration,
    /// Time between reads while a repeat waits for another gateway's answer.
    pub poll_interval: Duration,
    /// First pause after the store failed or refused a call. It doubles up to `max_backoff`.
    pub backoff: Duration,
    /// Maximum pause after the store failed or refused a call.
    pub max_backoff: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(3_600),
            inline_bytes: 2_048,
            part_bytes: 900_000,
            max_parts: 16,
            partition_bytes: 900_000,
            max_waiting: 10_000,
            write_interval: Duration::ZERO,
            poll_interval: Duration::from_millis(250),
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// State of a partition for a dump.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ClaimStatus {
    /// The partition.
    pub partition: PartitionIndex,
    /// Number of keys in the last known object.
    pub keys: usize,
    /// Size of the last known object, in bytes.
    pub bytes: usize,
    /// Number of requests that wait for a claim or an answer.
    pub waiting: usize,
    /// Number of answers that wait to be recorded.
    pub recording: usize,
    /// Whether the object could not be decoded, so that no claim is granted.
    pub damaged: bool,
}
