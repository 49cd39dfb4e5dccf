//! Shares of organisations in the capacity of an overloaded service.

use serde::{Deserialize, Serialize};

use super::pool_flow::{FlowLane, ServiceTag};

/// Short form of an organisation's name in messages between gateways.
pub type OrganisationTag = u32;

/// Returns the short form of an organisation's name.
pub fn organisation_tag(name: &str) -> OrganisationTag {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as OrganisationTag
}

/// Demand of one organisation at one gateway, as sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The service.
    pub service: ServiceTag,
    /// The lane.
    pub lane: FlowLane,
    /// The organisation.
    pub organisation: OrganisationTag,
    /// Cost of the requests that arrive, per second: one for a short request, seconds of prefill
    /// for a long prompt.
    pub demand: f32,
    /// Cost of the requests that are placed, per second.
    pub served: f32,
}
