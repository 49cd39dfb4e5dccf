//! Validity of a gateway's list of the endpoints in the platform's store.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Revision, StoreEra, Timestamp};

/// A position in the history of the platform's store.
///
/// A store that is restored from an older copy assigns its revisions again. If positions were
/// compared by revision alone, everything would appear outdated until the revisions exceed those
/// seen before the restore. New endpoints would not be used, and endpoints that have left would get
/// requests. So the era is compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Number of times that the store has been restored.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: Revision,
}

impl StorePosition {
    /// Creates a position.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }
}

/// Order of listings by age. Of two listings at the same position, the settled one is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListingVersion {
    /// Position at which the store was read.
    pub position: StorePosition,
    /// Whether endpoints that the store does not list count as gone.
    pub settled: bool,
}

/// Time after the store's recovery in which missing or lapsed entries may reappear. Endpoints write
/// their entries again within two seconds of the recovery.
const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2200);

/// Decides which listing is valid, and when an endpoint that it does not contain is gone.
///
/// After an outage, or in a copy from before they registered, entries of running endpoints are
/// missing. If these endpoints counted as gone at once, they would get no work until they have
/// written their entries again, and a fleet whose endpoints all registered recently would refuse
/// every request. So missing endpoints are kept for 2.2 s after the store was first read again, and
/// are then dropped unless their entries were written meanwhile.
#[derive(Clone, Debug, Default)]
pub struct EndpointListing {
    version: ListingVersion,
    missing: BTreeSet<EndpointId>,
    /// When missing endpoints count as gone. `None` while settled, and while waiting for the next
    /// read of the store or for a listing from a peer.
    settles_at: Option<Timestamp>,
}

impl EndpointListing {
    /// Creates the state of a gateway that has read no listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the listing.
    pub fn version(&self) -> ListingVersion {
        self.version
    }

    /// Returns the endpoints that are kept although the store does not list them.
    pub fn missing_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.missing.iter()
    }

    /// Applies a full read of the store at `position` that lacks the known endpoints `missing`.
    /// Returns the endpoints that are gone, or `None` if the read is older than the current
    /// listing. `after_outage` states that the store could not be read before.
    pub fn apply_read(
        &mut self,
        now: Timestamp,
        position: StorePosition,
        after_outage: bool,
        missing: Vec<EndpointId>,
    ) -> Option<Vec<EndpointId>> {
        if position < self.version.position {
            return None;
        }
        let is_new_era = position.era > self.version.position.era;
        let is_waiting = !self.version.settled && self.settles_at.is_none();
        self.version.position = position;
        if is_new_era || after_outage || is_waiting {
            self.version.settled = false;
            self.settles_at = Some(now + REAPPEAR_TIMEOUT);
        }
        if self.version.settled {
            return Some(missing);
        }
        self.missing = missing.into_iter().collect();
        Some(Vec::new())
    }

    /// Applies a peer's listing, like [`apply_read`](Self::apply_read). `missing` includes the
    /// endpoints that the peer keeps although the store does not list them.
    ///
    /// A listing that the peer has not settled does not settle this one. A gateway that knows the
    /// era keeps its own state; one that does not waits for a read of the store or for a peer that
    /// has settled.
    pub fn apply_peer_listing(
        &mut self,
        version: ListingVersion,
        missing: Vec<EndpointId>,
    ) -> Option<Vec<EndpointId>> {
        if version <= self.version {
            return None;
        }
        let is_new_era = version.position.era > self.version.position.era;
        let settled = version.settled || (self.version.settled && !is_new_era);
        self.version = ListingVersion { settled, ..version };
        if settled || is_new_era {
            self.settles_at = None;
        }
        if settled {
            self.missing.clear();
            return Some(missing);
        }
        self.missing = missing.into_iter().collect();
        Some(Vec::new())
    }

    /// Records that changes up to `position` are about to be applied. Returns `false` if the
    /// position is outdated.
    ///
    /// A slow watch may return changes that are older than a peer's listing. Applying them would
    /// bring back an endpoint that has left.
    pub fn advance(&mut self, position: StorePosition) -> bool {
        let is_newer = position >= self.version.position;
        if is_newer {
            self.version.position = position;
        }
        is_newer
    }

    /// Records that an endpoint's entry was written or removed.
    pub fn record_change(&mut self, id: &EndpointId) {
        self.missing.remove(id);
    }

    /// Records that the store is unreachable. Endpoints cannot write there either, so missing
    /// endpoints are kept until the store has been read again.
    pub fn suspend_settling(&mut self) {
        self.settles_at = None;
    }

    /// Returns the missing endpoints whose time to reappear has passed, and settles the listing.
    pub fn settle(&mut self, now: Timestamp) -> Vec<EndpointId> {
        if self.settles_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.settles_at = None;
        self.version.settled = true;
        std::mem::take(&mut self.missing).into_iter().collect()
    }
}
