//! Standbys: relays that watch the store when too few higher-ranked relays answer.

use std::collections::BTreeMap;

use super::{state::AdoptionState, types::ProcessId};
use crate::ids::Timestamp;

/// Time of the last contact with each higher-ranked relay.
#[derive(Debug, Default)]
pub(super) struct StandbyState {
    last_contact: BTreeMap<ProcessId, Timestamp>,
    check_at: Option<Timestamp>,
}

impl StandbyState {
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        self.check_at
    }
}

impl AdoptionState {
    /// Replaces the higher-ranked relays by those of a new plan. New ones count as alive at first.
    pub(super) fn set_higher_ranked(&mut self, now: Timestamp) {
        let old = std::mem::take(&mut self.standby.last_contact);
        let higher_ranked = self.role.higher_ranked.iter();
        let last_contact = higher_ranked.map(|peer| {
            let at = old.get(peer).copied().unwrap_or(now);
            (peer.clone(), at)
        });
        self.standby.last_contact = last_contact.collect();
        self.standby.check_at = (!self.role.higher_ranked.is_empty()).then_some(now);
    }

    pub(super) fn record_contact(&mut self, now: Timestamp, peer: &ProcessId) {
        if let Some(at) = self.standby.last_contact.get_mut(peer) {
            *at = now;
        }
    }

    /// Checks the higher-ranked relays periodically and decides whether to watch the store.
    ///
    /// If all watchers of a region die, no process there learns of a change until its next poll,
    /// minutes later. A standby detects this when it has had no contact with them for the timeout.
    /// If it takes over needlessly, the only cost is one more watch at the store.
    pub(super) fn drive_standby(&mut self, now: Timestamp) {
        if self.standby.check_at.is_some_and(|at| at <= now) {
            self.check_higher_ranked(now);
        }
        let timeout = self.limits.standby_timeout;
        let contacts = self.standby.last_contact.values();
        let alive = contacts.filter(|at| **at + timeout > now).count();
        let is_active_standby =
            !self.role.higher_ranked.is_empty() && alive < self.role.required_watchers;
        self.set_watching(now, self.role.watches || is_active_standby);
    }

    fn check_higher_ranked(&mut self, now: Timestamp) {
        let interval = self.limits.standby_check_interval;
        let contacts = self.standby.last_contact.iter();
        let quiet = contacts.filter(|(_, at)| **at + interval / 2 <= now);
        let quiet: Vec<ProcessId> = quiet.map(|(peer, _)| peer.clone()).collect();
        for peer in quiet {
            self.repair.schedule_pull(peer, now);
        }
        self.standby.check_at = Some(now + interval);
    }
}
