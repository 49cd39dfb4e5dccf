//! Tells this fleet's gateways from those of another.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Digest of a fleet's name.
///
/// The failure that it prevents: an address is given to a gateway of another fleet. What it tells
/// would be counted here, and its configuration, if newer, would be taken in force: callers get 404
/// for routes that are there. Messages and pulls name their fleet, and others are left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetTag(u64);

impl FleetTag {
    /// The tag of the fleet `name`.
    pub(crate) fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for FleetTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
