//! Recent changes of a gateway's list of endpoints.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    endpoints::{DirectEndpoint, EndpointTable},
    listing::{ListingVersion, StorePosition},
};
use crate::ids::EndpointId;

/// Number of changes that are kept.
const MAX_CHANGES: usize = 512;

/// Maximum number of changes in a delta. At about 100 bytes each, they fit into a packet.
const MAX_DELTA: usize = 10;

/// Changes between two versions of a list of endpoints, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingDelta {
    /// Position to which the changes apply, or any later one.
    pub from: StorePosition,
    /// Version after the changes.
    pub to: ListingVersion,
    /// The changes.
    pub changes: Vec<EndpointChange>,
}

/// Change of one endpoint's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointChange {
    /// The endpoint is new or its entry changed.
    Listed(DirectEndpoint),
    /// The entry was removed.
    Removed(EndpointId),
}

/// Log of the changes to a list of endpoints.
///
/// A peer whose list is a few changes older gets only these. In a large fleet, a complete list for
/// each change at each gateway would be most of what gateways send to each other.
#[derive(Clone, Debug, Default)]
pub struct ListingLog {
    changes: VecDeque<(StorePosition, EndpointId)>,
    /// Position before the oldest change that is kept.
    start: StorePosition,
}

impl ListingLog {
    /// Creates a log without changes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an entry changed up to `position`.
    pub fn record(&mut self, position: StorePosition, id: &EndpointId) {
        if self.changes.len() == MAX_CHANGES
            && let Some((dropped, _)) = self.changes.pop_front()
        {
            self.start = dropped;
        }
        self.changes.push_back((position, id.clone()));
    }

    /// Records that the whole list was replaced by one at `position`.
    pub fn reset(&mut self, position: StorePosition) {
        self.changes.clear();
        self.start = position;
    }

    /// Returns the changes since `from` in a table of version `to`. Returns `None` if they are not
    /// known or too many; a peer then needs the whole list.
    pub fn delta(
        &self,
        table: &EndpointTable,
        from: ListingVersion,
        to: ListingVersion,
    ) -> Option<ListingDelta> {
        let is_covered = from.position >= self.start && from.position.era == to.position.era;
        if !is_covered || !from.settled || !to.settled {
            return None;
        }
        let later = self
            .changes
            .iter()
            .rev()
            .take_while(|(position, _)| *position > from.position);
        let ids: BTreeSet<&EndpointId> = later.map(|(_, id)| id).collect();
        // A deferred entry is neither listed nor removed.
        let is_deferred = table
            .deferred()
            .any(|endpoint| ids.contains(&endpoint.process.id));
        if ids.len() > MAX_DELTA || is_deferred {
            return None;
        }
        let changes = ids.into_iter().map(|id| match table.get(id) {
            Some(endpoint) => EndpointChange::Listed(endpoint.clone()),
            None => EndpointChange::Removed(id.clone()),
        });
        Some(ListingDelta {
            from: from.position,
            to,
            changes: changes.collect(),
        })
    }
}

impl ListingDelta {
    /// Returns whether the changes apply to a list of version `known` and are newer.
    pub fn applies_to(&self, known: ListingVersion) -> bool {
        known.settled
            && self.to.settled
            && known.position.era == self.to.position.era
            && known.position >= self.from
            && known.position < self.to.position
    }
}
