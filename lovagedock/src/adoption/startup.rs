//! The first configuration of a process that has none in force.

use std::collections::BTreeMap;

use rand::seq::SliceRandom;

use super::{
    state::AdoptionState,
    types::{AdoptionAction, AdoptionSource, ProcessId, PullAnswer},
};
use crate::ids::Timestamp;

/// Peers that were asked at startup, and their answers; `None` for a peer that has not answered.
#[derive(Debug, Default)]
pub(super) struct StartupState {
    asked: BTreeMap<ProcessId, Option<PullAnswer>>,
    pending: usize,
    decide_at: Option<Timestamp>,
    ask_at: Option<Timestamp>,
}

impl StartupState {
    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        match self.asked.is_empty() {
            true => self.ask_at,
            false => self.decide_at,
        }
    }
}

impl AdoptionState {
    /// Asks several peers on other hosts and adopts the highest generation among their answers.
    ///
    /// A single peer may itself be behind, and a process that trusted it would refuse or admit
    /// requests by rules that were replaced long ago. The root is read from the store as well,
    /// which brings the process to the newest generation. Chunks are read from the store only if no
    /// peer has them.
    pub(super) fn drive_startup(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        if self.generation() > 0 {
            self.startup = StartupState::default();
            return;
        }
        let may_ask = self.startup.ask_at.is_none_or(|at| at <= now);
        if self.startup.asked.is_empty() && may_ask {
            self.ask_peers(now, actions);
            return;
        }
        let answers = self.startup.asked.values().flatten();
        let best = answers.map(|answer| answer.generation).max();
        // No peer can have a newer generation than the root in the store, if that was read.
        let is_newest = best.is_some() && best == self.fetch_generation();
        if best.is_some() && self.startup.decide_at.is_none() {
            self.startup.decide_at = Some(now + self.limits.startup_wait);
        }
        let is_due = self.startup.decide_at.is_some_and(|at| at <= now);
        if !self.startup.asked.is_empty() && (self.startup.pending == 0 || is_due || is_newest) {
            self.apply_startup_answers(now, actions);
        }
    }

    fn ask_peers(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let mut peers = self.role.peers.clone();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.limits.startup_peers);
        self.startup.pending = peers.len();
        let pause = self.jitter(self.limits.compare_interval);
        self.startup.ask_at = Some(now + pause);
        for from in peers {
            self.startup.asked.insert(from.clone(), None);
            actions.push(AdoptionAction::Pull { from, above: 0 });
        }
    }

    /// Stores an answer of a peer. Returns `false` if the peer was not asked at startup.
    pub(super) fn record_startup_answer(
        &mut self,
        from: &ProcessId,
        answer: Option<&PullAnswer>,
    ) -> bool {
        let Some(slot) = self.startup.asked.get_mut(from) else {
            return false;
        };
        self.startup.pending = self.startup.pending.saturating_sub(1);
        *slot = answer.cloned();
        true
    }

    fn apply_startup_answers(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let ask_at = self.startup.ask_at;
        let asked = std::mem::take(&mut self.startup).asked;
        self.startup.ask_at = ask_at;
        let mut answers: Vec<(ProcessId, PullAnswer)> = asked
            .into_iter()
            .filter_map(|(peer, answer)| Some((peer, answer?)))
            .collect();
        answers.sort_by_key(|(_, answer)| std::cmp::Reverse(answer.generation));
        for (from, answer) in answers {
            let Some(bundle) = answer.bundle else {
                continue;
            };
            let source = AdoptionSource::Pull(from.clone());
            self.apply_bundle(now, from, &bundle, source, actions);
            if self.generation() > 0 {
                return;
            }
        }
    }
}
