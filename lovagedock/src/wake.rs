//! The time at which a state machine needs its next tick.

use crate::ids::Timestamp;

/// Stores the last wake-up time of a state machine for the task that drives it.
///
/// A machine requests each wake-up time only once, and requests none if nothing is due any more. If
/// the task kept a time after it was due, it would wake up again immediately and occupy a core
/// without doing any work.
/// [`Self::clear_if_due`] therefore clears the time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WakeTimer {
    at: Option<Timestamp>,
}

impl WakeTimer {
    /// Creates a timer that is not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time and replaces an earlier one.
    pub fn set(&mut self, at: Timestamp) {
        self.at = Some(at);
    }

    /// Returns the time to wake up, at most `max_delay` from now.
    pub fn next(&self, now: Timestamp, max_delay: Timestamp) -> Timestamp {
        let latest = now.saturating_add(max_delay);
        self.at.map_or(latest, |at| at.min(latest))
    }

    /// Returns whether the time is due, and clears it if so.
    pub fn clear_if_due(&mut self, now: Timestamp) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}
