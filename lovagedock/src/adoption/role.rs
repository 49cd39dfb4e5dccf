//! The role of a process in the distribution of configurations.

use super::types::ProcessId;
use crate::ids::{DomainId, HostId};

/// A process that takes part in the distribution of configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMember {
    /// Unique name.
    pub process: ProcessId,
    /// Host that the process runs on.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: String,
    /// Whether the process pushes configurations to others.
    pub kind: RelayKind,
}

/// Whether a process pushes configurations to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RelayKind {
    /// The process opens sessions to others and pushes to them, as gateways do.
    Relay,
    /// The process only receives, as sidecars do.
    Leaf,
}

/// Size limits of a [`super::RelayPlan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLimits {
    /// Processes per region that watch the store, in different failure domains where there are
    /// several.
    pub watchers_per_region: usize,
    /// Maximum number of relays that one relay pushes to at each of its two positions in the tree.
    pub fanout: usize,
    /// Relays per region that watch the store when too few higher-ranked relays answer.
    pub standbys_per_region: usize,
    /// Number of random peers of a relay for its comparisons.
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

/// The tasks of one process in the plan.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRole {
    /// Whether the process watches the store.
    pub watches: bool,
    /// Processes that it pushes each new generation to.
    pub children: Vec<ProcessId>,
    /// Processes that it sends the number of each new generation.
    pub offers: Vec<ProcessId>,
    /// Processes on other hosts that it compares its generation with.
    pub peers: Vec<ProcessId>,
    /// Watchers and standbys that are ranked before it; empty unless it is a standby.
    pub higher_ranked: Vec<ProcessId>,
    /// Minimum number of higher-ranked relays that must answer. If fewer do, this process watches
    /// the store as well.
    pub required_watchers: usize,
    /// Children of the watchers, which it pushes to while it is an active standby.
    pub standby_children: Vec<ProcessId>,
}
