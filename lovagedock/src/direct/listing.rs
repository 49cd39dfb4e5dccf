//! How far a gateway knows the endpoints that the platform's store lists.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, Revision, StoreEra, Timestamp};

/// A point in the history of the platform's store.
///
/// A store that comes back from an older copy gives its revisions out again. Compared by revision
/// alone, all that it says from then on would look old until the count has passed what was seen before:
/// endpoints that register are not used, those that leave get requests. So the era goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// How often the store has come back.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: Revision,
}

impl StorePosition {
    /// A point.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }
}

/// Which of two listings is newer. Of two at the same point, the settled one is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListingVersion {
    /// The store's point that it was read at.
    pub position: StorePosition,
    /// Whether everything that the store does not list is gone.
    pub settled: bool,
}

/// Time after the store's return in which entries that it lost or that lapsed may come back. Endpoints
/// write again within two seconds of its return.
const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2200);

/// Decides which listing holds and when an endpoint that it does not name is gone.
///
/// The failure that it answers: after an outage, or in a copy from before they registered, entries of
/// endpoints are missing that serve. Taken as gone at once, these would get no work until they have
/// written again, and a fleet whose endpoints all registered lately would refuse every request. So
/// what is missing is kept for 2.2 s from the moment at which the store was read again, and
/// dropped then unless it was written meanwhile.
#[derive(Clone, Debug, Default)]
pub struct EndpointListing {
    version: ListingVersion,
    missing: BTreeSet<EndpointId>,
    /// When what is missing is gone; `None` while settled, and while this waits for the next reading
    /// or for the word of a peer.
    settles_at: Option<Timestamp>,
}

impl EndpointListing {
    /// A gateway that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// How far endpoints are known.
    pub fn version(&self) -> ListingVersion {
        self.version
    }

    /// Endpoints that are kept though the store does not list them.
    pub fn missing(&self) -> impl Iterator<Item = &EndpointId> {
        self.missing.iter()
    }

    /// Takes in that the store was read as a whole at `position` and does not list `missing`, of what
    /// was known; returns those that are gone, or `None` for a reading that is older than what is
    /// known. `after_outage` says that the store could not be read before.
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

    /// The same for a peer's listing. Of `missing` are also those that the peer itself only keeps.
    ///
    /// A peer that is in doubt settles it for nobody else: a gateway that knows the era keeps its own
    /// judgement, one that does not waits for a reading or for a peer that has waited.
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

    /// Takes in that changes up to `position` are about to be applied; an older one is refused.
    ///
    /// What a slow watch brings may be older than what a peer told: taken in, it would bring an
    /// endpoint back that has left.
    pub fn advance(&mut self, position: StorePosition) -> bool {
        let is_newer = position >= self.version.position;
        if is_newer {
            self.version.position = position;
        }
        is_newer
    }

    /// Takes in that an endpoint's entry was written or removed.
    pub fn record_change(&mut self, id: &EndpointId) {
        self.missing.remove(id);
    }

    /// Takes in that the store cannot be reached: endpoints cannot write there either, so what is
    /// missing is kept until it was read again.
    pub fn suspend_settling(&mut self) {
        self.settles_at = None;
    }

    /// Endpoints that had their time to come back and have not.
    pub fn settle(&mut self, now: Timestamp) -> Vec<EndpointId> {
        if self.settles_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.settles_at = None;
        self.version.settled = true;
        std::mem::take(&mut self.missing).into_iter().collect()
    }
}
