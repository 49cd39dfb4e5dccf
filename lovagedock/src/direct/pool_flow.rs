//! Arrivals and starts of a service over all gateways.

use serde::{Deserialize, Serialize};

/// Short form of a service's name in messages between gateways.
pub type ServiceTag = u32;

/// Returns the short form of a service's name.
pub fn service_tag(name: &str) -> ServiceTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as ServiceTag
}

/// Requests of a service that compete for the same capacity: short prompts and plain requests for
/// slots, long prompts for prefill time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FlowLane {
    /// Short prompts and plain requests.
    Short,
    /// Long prompts.
    Long,
}

impl FlowLane {
    /// Returns the lane of a request.
    pub fn new(is_long: bool) -> Self {
        match is_long {
            false => Self::Short,
            true => Self::Long,
        }
    }
}

/// Flow of one service and lane at one gateway, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FlowUpdate {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// First attempts that arrive, per second.
    pub arrivals: f32,
    /// Requests that are placed, per second.
    pub starts: f32,
    /// Requests that are refused for lack of capacity, per second.
    pub refusals: f32,
    /// Requests that wait at the gateway.
    pub waiting: u16,
}
