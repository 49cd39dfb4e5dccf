//! Distinguishes the gateways of this fleet from those of other fleets.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a fleet's name.
///
/// Guards against an address that is reassigned to a gateway of another fleet. Its load would be
/// counted here, and its configuration, if newer, would be applied, so that callers get 404 for
/// existing routes. Messages and pulls therefore carry the tag of their fleet, and those of other
/// fleets are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetTag(u64);

impl FleetTag {
    /// Returns the tag of the fleet `name`.
    pub(crate) fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for FleetTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
