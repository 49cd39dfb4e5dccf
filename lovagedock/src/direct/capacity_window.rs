//! Highest rate of starts within the last seconds.

use std::{collections::VecDeque, time::Duration};

use crate::ids::Timestamp;

/// Time for which the highest rate of starts is remembered, and the length of its steps.
const CAPACITY_TIME: Duration = Duration::from_secs(4);
const CAPACITY_STEP: Duration = Duration::from_millis(500);

/// Highest rate of the last seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct CapacityWindow {
    /// Highest rate of each step, oldest first.
    steps: VecDeque<(u128, f64)>,
}

impl CapacityWindow {
    /// Records the current rate, per second.
    pub(super) fn record(&mut self, now: Timestamp, rate: f64) {
        let step = capacity_step(now);
        match self.steps.back_mut() {
            Some((last, highest)) if *last == step => *highest = highest.max(rate),
            _ => self.steps.push_back((step, rate)),
        }
        let oldest = step.saturating_sub(capacity_step(CAPACITY_TIME));
        while self.steps.front().is_some_and(|(at, _)| *at <= oldest) && self.steps.len() > 1 {
            self.steps.pop_front();
        }
    }

    /// Returns the highest rate, per second.
    pub(super) fn highest(&self, now: Timestamp) -> f64 {
        let oldest = capacity_step(now).checked_sub(capacity_step(CAPACITY_TIME));
        let current = self
            .steps
            .iter()
            .filter(|(step, _)| oldest.is_none_or(|oldest| *step > oldest));
        current.map(|(_, rate)| *rate).fold(0.0, f64::max)
    }

    /// Removes the rate of a gateway that no longer reports and did so since `since`.
    pub(super) fn subtract(&mut self, since: Timestamp, rate: f64) {
        let first = capacity_step(since);
        for (step, highest) in &mut self.steps {
            if *step >= first {
                *highest = (*highest - rate).max(0.0);
            }
        }
    }
}

fn capacity_step(at: Timestamp) -> u128 {
    at.as_millis() / CAPACITY_STEP.as_millis()
}
