//! How fast engines are against what their operator declared.

use std::{collections::HashMap, time::Duration};

use super::process::EndpointProcess;
use crate::ids::Timestamp;

/// Events over which the shortest gap counts. A pass that also reads prompts is longer; of a few in
/// a row, one at least reads next to nothing.
const GAP_WINDOW: usize = 4;

/// Weight of a new measurement. An engine that turns slow shows within half a second.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Time in which a pace without measurements loses two thirds of its distance to the declared one,
/// so that an engine that was avoided is tried again.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Longest and shortest pace that is believed.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 10.0);

/// Pace below which an engine counts as fast as declared; predictions miss by as much.
const TOLERANCE: f64 = 1.6;

/// Measures the pace of engines by the gaps between their events.
///
/// The load that it answers: some engines that take several times as long for everything, while
/// their health checks pass and nothing fails. Placement by declared speed goes on giving them an
/// equal share, and all of it comes late. Measured with a fifth of the engines at a quarter of their
/// speed, one run each: payoff 0.857 without it, 0.882 with it.
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
    /// A tracker that takes every engine for as fast as declared.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a gap between two events of one answer, and the one that was expected.
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

    /// How many times as long as declared an engine takes; 1 for one that is about as fast.
    pub fn slowdown(&self, now: Timestamp, endpoint: &EndpointProcess) -> f64 {
        let Some(record) = self.endpoints.get(endpoint) else {
            return 1.0;
        };
        let age = now.saturating_sub(record.measured_at);
        let kept = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        let slowdown = 1.0 + (record.slowdown - 1.0) * kept;
        if slowdown < TOLERANCE { 1.0 } else { slowdown }
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, endpoint: &EndpointProcess) {
        self.endpoints.remove(endpoint);
    }
}
