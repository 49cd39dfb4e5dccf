//! Pushes a new generation to the receivers in the plan.

use super::{
    state::AdoptionState,
    types::{AdoptionAction, AdoptionSource, ProcessId},
};
use crate::ids::{Generation, Timestamp};

/// Progress of pushing to one receiver.
#[derive(Clone, Debug, Default)]
pub(super) struct PushProgress {
    /// Generation that the receiver last reported.
    pub(super) reported_generation: Option<Generation>,
    /// Number of pushes sent for the generation in force.
    sent: u32,
    in_flight: bool,
    due: Option<Timestamp>,
}

impl AdoptionState {
    /// Starts the pushes and offers of a newly adopted generation.
    pub(super) fn propagate(
        &mut self,
        now: Timestamp,
        source: &AdoptionSource,
        actions: &mut Vec<AdoptionAction>,
    ) {
        let generation = self.generation();
        let sender = match source {
            AdoptionSource::Store => None,
            AdoptionSource::Push(peer) | AdoptionSource::Pull(peer) => Some(peer.clone()),
        };
        for child in self.push_receivers() {
            let progress = self.pushes.entry(child.clone()).or_default();
            progress.sent = 0;
            progress.due = (sender.as_ref() != Some(&child)).then_some(now);
        }
        let offers = self.role.offers.iter();
        for to in offers.filter(|peer| sender.as_ref() != Some(*peer)) {
            let to = to.clone();
            actions.push(AdoptionAction::Offer { to, generation });
        }
    }

    /// Returns the children in the plan and, if this process is an active standby, those of the
    /// watchers.
    fn push_receivers(&self) -> Vec<ProcessId> {
        let is_active_standby = self.upstream.watching && !self.role.watches;
        let others = self
            .role
            .standby_children
            .iter()
            .filter(|_| is_active_standby);
        self.role.children.iter().chain(others).cloned().collect()
    }

    pub(super) fn drive_pushes(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let generation = self.generation();
        if generation == 0 {
            return;
        }
        // Most receivers have the previous generation. A wrong guess costs one round trip.
        let guess = self.history.back().map_or(0, |old| old.generation);
        let due = self.pushes.iter().filter(|(_, progress)| {
            let is_due = progress.due.is_some_and(|due| due <= now);
            is_due && !progress.in_flight
        });
        let due: Vec<ProcessId> = due.map(|(peer, _)| peer.clone()).collect();
        let max_pushes = self.limits.max_pushes;
        for to in due {
            let progress = self.pushes.entry(to.clone()).or_default();
            progress.due = None;
            let reported = progress.reported_generation.unwrap_or(guess);
            if reported >= generation || progress.sent >= max_pushes {
                continue;
            }
            progress.sent += 1;
            progress.in_flight = true;
            let bundle = self.bundle(reported);
            actions.extend(bundle.map(|bundle| AdoptionAction::Push { to, bundle }));
        }
    }

    pub(super) fn on_push_answered(&mut self, now: Timestamp, to: ProcessId, reported: Generation) {
        self.record_generation(reported);
        let generation = self.generation();
        if reported > generation {
            self.repair.schedule_pull(to.clone(), now);
        }
        let Some(progress) = self.pushes.get_mut(&to) else {
            return;
        };
        progress.in_flight = false;
        progress.reported_generation = Some(reported);
        if reported < generation {
            progress.due = Some(now);
        }
    }

    pub(super) fn on_push_failed(&mut self, now: Timestamp, to: &ProcessId) {
        let pause = self.jitter(self.limits.push_retry);
        if let Some(progress) = self.pushes.get_mut(to) {
            progress.in_flight = false;
            progress.due = Some(now + pause);
        }
    }

    /// Records the generation that a receiver reported on its own. A receiver that is behind gets a
    /// push again, also from a process that only sends it offers, because its parent may be gone.
    pub(super) fn record_receiver(
        &mut self,
        now: Timestamp,
        peer: &ProcessId,
        reported: Generation,
    ) {
        let generation = self.generation();
        let retry = self.limits.push_retry;
        if self.role.offers.contains(peer) && reported < generation {
            self.pushes.entry(peer.clone()).or_default();
        }
        let Some(progress) = self.pushes.get_mut(peer) else {
            return;
        };
        progress.reported_generation = Some(reported);
        if reported < generation && !progress.in_flight && progress.due.is_none() {
            progress.sent = 0;
            progress.due = Some(now + retry);
        }
    }

    pub(super) fn next_push_at(&self) -> Option<Timestamp> {
        let idle = self.pushes.values().filter(|progress| !progress.in_flight);
        idle.filter_map(|progress| progress.due).min()
    }
}
