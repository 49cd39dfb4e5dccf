//! Stand-ins: relays that watch the store when too few of those ranked before them answer.

use std::collections::BTreeMap;

use super::{state::AdoptionState, types::ProcessId};
use crate::ids::Timestamp;

/// When each process that is ranked before this one was last heard.
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
    /// Forgets higher_ranked of an older plan; new ones get the benefit of the doubt.
    pub(super) fn set_higher_ranked(&mut self, now: Timestamp) {
        let old = std::mem::take(&mut self.standby.last_contact);
        let higher_ranked = self.role.higher_ranked.iter();
        let last_contact = higher_ranked.map(|senior| {
            let at = old.get(senior).copied().unwrap_or(now);
            (senior.clone(), at)
        });
        self.standby.last_contact = last_contact.collect();
        self.standby.check_at = (!self.role.higher_ranked.is_empty()).then_some(now);
    }

    pub(super) fn note_contact(&mut self, now: Timestamp, peer: &ProcessId) {
        if let Some(at) = self.standby.last_contact.get_mut(peer) {
            *at = now;
        }
    }

    /// Compares with each senior from time to time and decides whether to watch in its place.
    ///
    /// When all watchers of a region die, nobody there hears of a change until a poll, minutes
    /// later. The next in rank notices by their silence; a stand-in that is wrong about it costs
    /// the store one more watch and nothing else.
    pub(super) fn drive_standby(&mut self, now: Timestamp) {
        if self.standby.check_at.is_some_and(|at| at <= now) {
            self.check_higher_ranked(now);
        }
        let timeout = self.limits.standby_timeout;
        let heard = self.standby.last_contact.values();
        let alive = heard.filter(|at| **at + timeout > now).count();
        let is_standing_in =
            !self.role.higher_ranked.is_empty() && alive < self.role.required_watchers;
        self.set_watching(now, self.role.watches || is_standing_in);
    }

    fn check_higher_ranked(&mut self, now: Timestamp) {
        let interval = self.limits.standby_check_interval;
        let heard = self.standby.last_contact.iter();
        let quiet = heard.filter(|(_, at)| **at + interval / 2 <= now);
        let quiet: Vec<ProcessId> = quiet.map(|(senior, _)| senior.clone()).collect();
        for senior in quiet {
            self.repair.pull_at(senior, now);
        }
        self.standby.check_at = Some(now + interval);
    }
}
