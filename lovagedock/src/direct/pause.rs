//! Notices that the whole process was stopped for a while.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time beyond the usual between two looks that means the process did not run: a busy one is late by
/// some tens of milliseconds.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Time after waking in which what was told meanwhile is read: peers' messages wait in the socket, and
/// the next ones come within some 30 ms of each other.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// Tells what a gateway believed before it was stopped from what it has heard since.
///
/// The failure that it answers: a process that was stopped for seconds goes on with requests that wait,
/// by loads and entries from before, and places them on engines that are full or gone. The news of all
/// that is in its sockets already. All peers look silent as well, and would be forgotten with what they
/// placed.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_tick_at: Timestamp,
    resumed_at: Option<Timestamp>,
}

impl PauseDetector {
    /// A process that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a look, of which there is one each `interval`; returns for how long the process was
    /// stopped, if it was.
    pub fn record_tick(&mut self, now: Timestamp, interval: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        let was_paused = since > interval + PAUSE_THRESHOLD;
        if was_paused {
            self.resumed_at = Some(now);
        }
        was_paused.then_some(since)
    }

    /// How much longer a decision has to wait for what was told while the process was stopped.
    pub fn remaining_wait(&self, now: Timestamp, interval: Duration) -> Option<Duration> {
        if now.saturating_sub(self.last_tick_at) > interval + PAUSE_THRESHOLD {
            // It woke just now, and the next look comes in this moment.
            return Some(CATCH_UP_TIME);
        }
        let resumed_at = self.resumed_at?;
        let left = (resumed_at + CATCH_UP_TIME).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}
