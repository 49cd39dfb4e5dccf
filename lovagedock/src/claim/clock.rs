//! The clock of a partition, by which claims lapse and expire.

use std::time::Duration;

use crate::ids::Timestamp;

/// Time of a partition: never ahead of the time that truly passed between its writes.
///
/// Gateways compare no clocks. Each write stores the partition's time; a reader adds only what its
/// own monotonic clock measured since the value reached it. So an age is never overstated, and a
/// claim is kept for its window or longer, also when the writer was paused.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartitionClock {
    base_ms: u64,
    since: Timestamp,
}

impl PartitionClock {
    /// A value that was read, or written, at `since`.
    ///
    /// A newer value always replaces the older one, even when it is behind what the older one
    /// would show by now: claims in it are stamped with its writer's clock, and a clock ahead of
    /// the writer's would overstate their age.
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
