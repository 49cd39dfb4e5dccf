//! Predicted times of teams, and how far all predictions are off.

use std::{collections::VecDeque, time::Duration};

/// Number of latest teams by which predictions are judged, and number without which they are assumed
/// to be right.
const BASELINE_TEAMS: usize = 96;
const MIN_BASELINE_TEAMS: usize = 48;

/// Share of the teams that are faster than the one that tells whether all predictions are too short.
/// With a fifth of the engines slow, a fifth of the teams of 2 to 16 engines have no slow member.
const BASELINE_SHARE: f64 = 0.025;

/// Ratio of the average team to this one if no engine is slow. Each prediction is off by up to a factor
/// of 1.5 either way.
const BASELINE_SPREAD: f64 = 1.45;

/// Predicted times of a team that shares the prefill of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamPrediction {
    /// Prefill time of each part at the declared speed.
    pub part_prefill_time: Duration,
    /// Time for the prefills placed on the team earlier, and for the passes from the end of the
    /// prefill to the first event.
    pub delay: Duration,
}

impl TeamPrediction {
    /// Returns the ratio of measured to predicted prefill time, or `None` if too little of the time to
    /// the first event is prefill time. Backlogs and passes are predicted less accurately.
    pub fn ratio(&self, first_event: Duration) -> Option<f64> {
        if self.part_prefill_time.is_zero() || self.delay > self.part_prefill_time {
            return None;
        }
        let measured = first_event.saturating_sub(self.delay).as_secs_f64();
        Some(measured / self.part_prefill_time.as_secs_f64())
    }
}

/// Ratios of measured to predicted prefill time of the latest teams, of this gateway and of peers.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamBaseline {
    ratios: VecDeque<f64>,
}

impl TeamBaseline {
    /// Records the ratio of a team.
    pub(super) fn record(&mut self, ratio: f64) {
        if self.ratios.len() >= BASELINE_TEAMS {
            self.ratios.pop_front();
        }
        self.ratios.push_back(ratio);
    }

    /// Returns the average ratio if all latest predictions were too short, or 1.
    pub(super) fn ratio(&self) -> f64 {
        if self.ratios.len() < MIN_BASELINE_TEAMS {
            return 1.0;
        }
        let mut ratios: Vec<f64> = self.ratios.iter().copied().collect();
        let position = (ratios.len() as f64 * BASELINE_SHARE) as usize;
        let (_, ratio, _) = ratios.select_nth_unstable_by(position, f64::total_cmp);
        match *ratio > 1.0 {
            true => *ratio * BASELINE_SPREAD,
            false => 1.0,
        }
    }
}
