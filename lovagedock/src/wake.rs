//! The time at which a decision wants its next tick.

use crate::ids::Timestamp;

/// Keeps the last time that a machine named, for the task that drives it.
///
/// A machine names a time once, and none when nothing is due any more. A task that kept a time
/// after it had come would wake at once again and again, and a core would be busy with nothing;
/// taking the time forgets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WakeTimer {
    at: Option<Timestamp>,
}

impl WakeTimer {
    /// A timer that is not set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time; it replaces the one before.
    pub fn set(&mut self, at: Timestamp) {
        self.at = Some(at);
    }

    /// The time to wake, at the latest after `longest` from now.
    pub fn next(&self, now: Timestamp, longest: Timestamp) -> Timestamp {
        let latest = now.saturating_add(longest);
        self.at.map_or(latest, |at| at.min(latest))
    }

    /// Whether the time has come; if so, it is forgotten.
    pub fn clear_if_due(&mut self, now: Timestamp) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}
