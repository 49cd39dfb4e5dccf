//! Failure domains that operators have drained.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::listing::StorePosition;
use crate::ids::{DomainId, Timestamp};

/// Time for which a drained domain that a restored store no longer lists stays drained. Operators
/// write their entries again within two seconds of the restore.
const REAPPEAR_TIMEOUT: Duration = Duration::from_millis(2200);

/// Drained domains as known to one gateway, as sent to peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainSnapshot {
    /// Position in the store's history up to which changes are included.
    pub position: StorePosition,
    /// Domains that the store lists as drained.
    pub domains: BTreeSet<DomainId>,
    /// Domains that stay drained although a restored store does not list them.
    pub missing: BTreeSet<DomainId>,
}

/// Change of the set of drained domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainChange {
    /// Domains to whose endpoints nothing may be sent from now on.
    pub drained: Vec<DomainId>,
    /// Domains whose endpoints accept work again.
    pub restored: Vec<DomainId>,
}

/// Tracks which failure domains are drained.
///
/// No request is sent to the endpoints of a drained domain; requests that run there run to their
/// end. The state has the position at which the store was read, so an older state never replaces a
/// newer one, whoever reports it.
///
/// A store that is restored from a copy may have lost the entry of a domain that is still drained.
/// The domain therefore stays drained until the operator has had time to write the entry again.
#[derive(Clone, Debug, Default)]
pub struct DomainDrains {
    position: Option<StorePosition>,
    listed: BTreeSet<DomainId>,
    missing: BTreeMap<DomainId, Timestamp>,
}

impl DomainDrains {
    /// Creates the state of a gateway that knows of no drained domain yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether the store or a peer has reported the drained domains.
    pub fn is_known(&self) -> bool {
        self.position.is_some()
    }

    /// Returns whether nothing may be sent to the endpoints of `domain`.
    pub fn is_drained(&self, domain: &DomainId) -> bool {
        self.listed.contains(domain) || self.missing.contains_key(domain)
    }

    /// Returns the drained domains.
    pub fn domains(&self) -> BTreeSet<DomainId> {
        let missing = self.missing.keys();
        self.listed.iter().chain(missing).cloned().collect()
    }

    /// Returns the state to be sent to peers, or `None` while it is unknown.
    pub fn snapshot(&self) -> Option<DrainSnapshot> {
        Some(DrainSnapshot {
            position: self.position?,
            domains: self.listed.clone(),
            missing: self.missing.keys().cloned().collect(),
        })
    }

    /// Applies a complete state from the store or a peer unless a newer one is known.
    pub fn apply_snapshot(&mut self, now: Timestamp, snapshot: DrainSnapshot) -> DrainChange {
        if self
            .position
            .is_some_and(|position| snapshot.position <= position)
        {
            return DrainChange::default();
        }
        let before = self.domains();
        let is_restored = self
            .position
            .is_some_and(|position| snapshot.position.era > position.era);
        let mut missing: Vec<DomainId> = snapshot.missing.into_iter().collect();
        if is_restored {
            missing.extend(std::mem::take(&mut self.listed));
        }
        self.position = Some(snapshot.position);
        self.listed = snapshot.domains;
        for domain in missing {
            let until = now + REAPPEAR_TIMEOUT;
            self.missing.entry(domain).or_insert(until);
        }
        self.missing
            .retain(|domain, _| !self.listed.contains(domain));
        self.change_since(&before)
    }

    /// Applies one change that the store made up to `position`. Changes of one position may be
    /// applied one after the other.
    pub fn apply_entry(
        &mut self,
        position: StorePosition,
        domain: DomainId,
        is_drained: bool,
    ) -> DrainChange {
        if self.position.is_some_and(|known| position < known) {
            return DrainChange::default();
        }
        let before = self.domains();
        self.position = Some(position);
        self.missing.remove(&domain);
        match is_drained {
            true => self.listed.insert(domain),
            false => self.listed.remove(&domain),
        };
        self.change_since(&before)
    }

    /// Ends the drain of domains that did not reappear in the restored store in time.
    pub fn settle(&mut self, now: Timestamp) -> DrainChange {
        let before = self.domains();
        self.missing.retain(|_, until| now < *until);
        self.change_since(&before)
    }

    fn change_since(&self, before: &BTreeSet<DomainId>) -> DrainChange {
        let after = self.domains();
        DrainChange {
            drained: after.difference(before).cloned().collect(),
            restored: before.difference(&after).cloned().collect(),
        }
    }
}

impl DrainChange {
    /// Returns whether no domain was drained or restored.
    pub fn is_empty(&self) -> bool {
        self.drained.is_empty() && self.restored.is_empty()
    }
}
