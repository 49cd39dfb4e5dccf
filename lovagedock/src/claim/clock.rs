//! The clock of a partition, which determines when claims lapse and expire.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time of a partition: never ahead of the real time that passed between its writes.
///
/// The gateways' clocks are never compared. Each write stores the partition's time. A reader adds
/// only the time that its own monotonic clock measured since it received the value. An age is thus
/// never overstated, and a claim is kept for at least its window, even if the writer was paused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionClock {
    base_ms: u64,
    since: Timestamp,
}

impl PartitionClock {
    /// Creates the clock of a value that was read or written at `since`.
    ///
    /// A newer value always replaces the older one, even if its time is behind the current time of
    /// the older one. The claims in it carry the time of its writer, and a clock ahead of the
    /// writer's would overstate their age.
    pub(crate) fn new(base_ms: u64, since: Timestamp) -> Self {
        Self { base_ms, since }
    }

    pub(crate) fn read(&self, now: Timestamp) -> u64 {
        self.base_ms + whole_ms(now.saturating_sub(self.since))
    }
}

pub(crate) fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
