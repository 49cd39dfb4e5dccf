//! Comparisons with random peers, and pulls of newer generations.

use std::collections::BTreeMap;

use rand::RngExt;

use super::{
    state::AdoptionState,
    types::{AdoptionAction, AdoptionSource, ProcessId, PullAnswer},
};
use crate::ids::{Generation, Timestamp};

/// Pulls that are due or in flight.
#[derive(Debug, Default)]
pub(super) struct RepairState {
    /// The next pull requests a complete bundle, because the last bundle was damaged.
    pub(super) needs_full_bundle: bool,
    compare_at: Option<Timestamp>,
    due: BTreeMap<ProcessId, Timestamp>,
    in_flight: Option<ProcessId>,
}

impl RepairState {
    pub(super) fn schedule_pull(&mut self, peer: ProcessId, at: Timestamp) {
        let due = self.due.entry(peer).or_insert(at);
        *due = at.min(*due);
    }

    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let due = self.due.values().copied();
        let due = due.filter(|_| self.in_flight.is_none()).min();
        due.into_iter().chain(self.compare_at).min()
    }
}

impl AdoptionState {
    /// Handles the generation reported by a peer. If it is newer, it is pulled after a delay in
    /// which the push from the parent usually arrives.
    pub(super) fn on_peer_reported(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        generation: Generation,
    ) {
        self.record_generation(generation);
        self.record_contact(now, &from);
        if generation > self.generation() {
            let delay = self.jitter(self.limits.offer_delay);
            self.repair.schedule_pull(from, now + delay);
            return;
        }
        self.record_receiver(now, &from, generation);
    }

    pub(super) fn drive_repair(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        self.schedule_comparison(now);
        if self.repair.in_flight.is_some() {
            return;
        }
        let due = self.repair.due.iter().filter(|(_, due)| **due <= now);
        let first = due.min_by_key(|(_, due)| **due);
        let Some(from) = first.map(|(peer, _)| peer.clone()) else {
            return;
        };
        self.repair.due.remove(&from);
        self.repair.in_flight = Some(from.clone());
        let above = match self.repair.needs_full_bundle {
            true => 0,
            false => self.generation(),
        };
        actions.push(AdoptionAction::Pull { from, above });
    }

    /// Schedules a comparison with a random peer. Failures never raise the rate of comparisons, so
    /// there is no burst when regions reconnect or the store recovers.
    fn schedule_comparison(&mut self, now: Timestamp) {
        if self.role.peers.is_empty() || self.generation() == 0 {
            self.repair.compare_at = None;
            return;
        }
        match self.repair.compare_at {
            None => {}
            Some(at) if at > now => return,
            Some(_) => {
                let index = self.rng.random_range(0..self.role.peers.len());
                let peer = self.role.peers[index].clone();
                self.repair.schedule_pull(peer, now);
            }
        }
        let pause = self.jitter(self.limits.compare_interval);
        self.repair.compare_at = Some(now + pause);
    }

    pub(super) fn on_pulled(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        answer: Option<PullAnswer>,
        actions: &mut Vec<AdoptionAction>,
    ) {
        if self.repair.in_flight.as_ref() == Some(&from) {
            self.repair.in_flight = None;
        }
        let Some(answer) = answer else {
            self.record_startup_answer(&from, None);
            return;
        };
        self.record_contact(now, &from);
        self.record_generation(answer.generation);
        self.record_receiver(now, &from, answer.generation);
        if self.record_startup_answer(&from, Some(&answer)) {
            return;
        }
        let Some(bundle) = answer.bundle else {
            return;
        };
        let source = AdoptionSource::Pull(from.clone());
        self.apply_bundle(now, from, &bundle, source, actions);
        // Pulls that are due from other peers would most likely return the same generation. Those
        // from higher-ranked relays stay, since a standby needs them to detect which are alive.
        if self.generation() >= self.highest_seen {
            self.repair
                .due
                .retain(|peer, _| self.role.higher_ranked.contains(peer));
        }
    }
}
