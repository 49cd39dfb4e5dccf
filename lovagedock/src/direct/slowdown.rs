//! Measured speed of engines relative to the speed that their operator declared.

use std::{collections::HashMap, time::Duration};

use super::process::EndpointProcess;
use crate::ids::Timestamp;

/// Number of latest gaps, of which only the shortest is used. A pass that also prefills prompts
/// takes longer, but at least one of a few consecutive passes prefills next to nothing.
const GAP_WINDOW: usize = 4;

/// Weight of a new sample. An engine that becomes slow is detected within half a second.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Time in which a slowdown without new samples decays by two thirds towards 1, so that an engine
/// that was avoided is tried again.
pub(super) const DECAY_TIME: Duration = Duration::from_secs(3);

/// Lower and upper bound of a sample.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 10.0);

/// Slowdown below which an engine counts as fast as declared. Predictions are off by as much.
pub(super) const TOLERANCE: f64 = 1.6;

/// Measures the slowdown of engines by the gaps between their events.
///
/// An engine may take several times as long for everything while its health checks pass and nothing
/// fails. Placement by declared speed would still give it an equal share of the requests, all of
/// which would be late. With a fifth of the engines at a quarter of their speed, one run each, the
/// payoff is 0.857 without this tracker and 0.882 with it.
#[derive(Clone, Debug, Default)]
pub struct SlowdownTracker {
    endpoints: HashMap<EndpointProcess, SlowdownRecord>,
}

#[derive(Clone, Debug)]
struct SlowdownRecord {
    gaps: [f64; GAP_WINDOW],
    next: usize,
    slowdown: f64,
    measured_at: Timestamp,
}

impl SlowdownTracker {
    /// Creates a tracker in which every engine is as fast as declared.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a gap between two events of one response, and the expected gap.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        gap: Duration,
        expected: Duration,
    ) {
        let ratio = gap.as_secs_f64() / expected.as_secs_f64().max(f64::MIN_POSITIVE);
        let record = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| SlowdownRecord {
                gaps: [1.0; GAP_WINDOW],
                next: 0,
                slowdown: 1.0,
                measured_at: now,
            });
        record.gaps[record.next] = ratio;
        record.next = (record.next + 1) % GAP_WINDOW;
        let shortest = record.gaps.iter().copied().fold(f64::INFINITY, f64::min);
        let shortest = shortest.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        record.slowdown += SAMPLE_WEIGHT * (shortest - record.slowdown);
        record.measured_at = now;
    }

    /// Returns the ratio of measured to declared time of an engine, or 1 if it is about as fast as
    /// declared.
    pub fn slowdown(&self, now: Timestamp, endpoint: &EndpointProcess) -> f64 {
        let Some(record) = self.endpoints.get(endpoint) else {
            return 1.0;
        };
        let age = now.saturating_sub(record.measured_at);
        let kept = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let slowdown = 1.0 + (record.slowdown - 1.0) * kept;
        if slowdown < TOLERANCE { 1.0 } else { slowdown }
    }

    /// Removes the measurements of an engine that is gone.
    pub fn forget(&mut self, endpoint: &EndpointProcess) {
        self.endpoints.remove(endpoint);
    }
}
