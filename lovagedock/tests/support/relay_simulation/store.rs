//! Store calls of the processes.

use std::time::Duration;

use lovagedock::{AdoptionEvent, Generation, RootOutcome, Timestamp};

use super::{RelaySimulation, Step, WATCH_TIME};

impl RelaySimulation {
    pub(super) fn watch(
        &mut self,
        position: usize,
        incarnation: u32,
        above: Generation,
        since: Timestamp,
    ) {
        if !self.is_current(position, incarnation) {
            return;
        }
        let outcome = self.root_of(position);
        let is_new = matches!(&outcome, RootOutcome::Found(m) if m.generation > above);
        let is_over = self.now >= since + WATCH_TIME;
        if is_new || is_over || outcome == RootOutcome::Unavailable {
            let outcome = match is_new || outcome == RootOutcome::Unavailable {
                true => outcome,
                false => RootOutcome::Unchanged,
            };
            self.push(
                self.now,
                Step::Event(position, incarnation, AdoptionEvent::RootRead(outcome), 0),
            );
            return;
        }
        // A watch checks for a change every 100 ms, so a broken watch is not noticed at once.
        let at = self.now + Duration::from_millis(100);
        self.push(at, Step::Watch(position, incarnation, above, since));
    }

    pub(super) fn root_of(&self, position: usize) -> RootOutcome {
        match self.reaches_store(position) {
            true if self.accepted.generation > 0 => RootOutcome::Found(self.accepted.clone()),
            true => RootOutcome::Unchanged,
            false => RootOutcome::Unavailable,
        }
    }

    /// Whether a process can reach the store. The store is in region 0.
    pub(super) fn reaches_store(&self, position: usize) -> bool {
        self.store_up && !self.cut_regions.contains(&self.processes[position].region)
    }

    pub(super) fn store_latency(&mut self) -> Duration {
        self.millis(3..15)
    }
}
