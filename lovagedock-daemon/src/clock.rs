//! Monotonic time since the process started.

use std::time::Instant;

use lovagedock::prelude::Timestamp;

/// Source of [`Timestamp`]s for the decisions of one process.
///
/// Clones share the same start. The clock never goes backwards and does not follow changes of the
/// wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Timestamp {
        self.start.elapsed()
    }

    /// The instant that corresponds to a timestamp, for timers.
    pub fn instant_at(&self, timestamp: Timestamp) -> Instant {
        self.start + timestamp
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}
