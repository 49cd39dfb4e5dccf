//! What a process has to do for the relay.

use super::types::ProcessId;
use crate::ids::{DomainId, HostId};

/// A process that takes part in the relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMember {
    /// Unique name.
    pub process: ProcessId,
    /// Host that it runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: String,
    /// Whether it feeds others.
    pub kind: RelayKind,
}

/// Whether a process feeds others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RelayKind {
    /// It opens sessions to others, as gateways do.
    Relay,
    /// It is only fed, as sidecars are.
    Leaf,
}

/// Widths of the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLimits {
    /// Processes per region that watch the store, in different failure domains where there are
    /// several.
    pub watchers_per_region: usize,
    /// Relays that one relay feeds at each of its two places in the tree.
    pub fanout: usize,
    /// Relays per region that watch when too few of those before them answer.
    pub standbys_per_region: usize,
    /// Random peers that a relay knows for its comparisons.
    pub peers: usize,
}

impl Default for RelayLimits {
    fn default() -> Self {
        Self {
            watchers_per_region: 2,
            fanout: 4,
            standbys_per_region: 3,
            peers: 8,
        }
    }
}

/// What the plan asks of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRole {
    /// It watches the store.
    pub watches: bool,
    /// Processes that it pushes each new generation to.
    pub children: Vec<ProcessId>,
    /// Processes that it tells the number of each new generation.
    pub offers: Vec<ProcessId>,
    /// Processes that it compares itself with; hosts other than its own.
    pub peers: Vec<ProcessId>,
    /// Watchers and stand-ins that are ranked before it; empty unless it is a stand-in.
    pub higher_ranked: Vec<ProcessId>,
    /// How many of the higher_ranked have to answer, or it watches too.
    pub required_watchers: usize,
    /// Processes that it pushes to while it stands in: those that the watchers feed.
    pub standby_children: Vec<ProcessId>,
}
