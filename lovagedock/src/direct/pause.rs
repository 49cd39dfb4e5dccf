//! Detection of pauses of the whole process.

use std::time::Duration;

use crate::ids::Timestamp;

/// Delay of a tick beyond its interval that indicates a pause. Ticks of a busy process are late by
/// some tens of milliseconds.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Time after a pause in which messages that arrived meanwhile are processed. Peers' messages wait
/// in the socket, and the next ones arrive within some 30 ms of each other.
const CATCH_UP_TIME: Duration = Duration::from_millis(60);

/// Separates the state from before a process pause from messages received since.
///
/// After a pause of several seconds, a gateway would place its waiting requests by outdated loads
/// and entries, on engines that are full or gone, although the updates are already in its sockets.
/// All peers would also appear silent, and their loads would be dropped.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    last_tick_at: Timestamp,
    resumed_at: Option<Timestamp>,
}

impl PauseDetector {
    /// Creates the state of a process that has just started.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a tick, which is due once per `interval`. Returns the length of the pause if the
    /// process was paused.
    pub fn record_tick(&mut self, now: Timestamp, interval: Duration) -> Option<Duration> {
        let since = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        let was_paused = since > interval + PAUSE_THRESHOLD;
        if was_paused {
            self.resumed_at = Some(now);
        }
        was_paused.then_some(since)
    }

    /// Returns how much longer a decision has to wait for messages that arrived during a pause.
    pub fn remaining_wait(&self, now: Timestamp, interval: Duration) -> Option<Duration> {
        if now.saturating_sub(self.last_tick_at) > interval + PAUSE_THRESHOLD {
            // The process has just resumed, and its next tick is due now.
            return Some(CATCH_UP_TIME);
        }
        let resumed_at = self.resumed_at?;
        let left = (resumed_at + CATCH_UP_TIME).saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}
