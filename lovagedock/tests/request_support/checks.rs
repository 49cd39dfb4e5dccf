//! Checks a completed schedule: which attempts ran and which bytes the caller received.

use lovagedock::prelude::*;

use super::{
    FaultSchedule, Violation,
    sidecar::{ANSWER_BYTES, answer_bytes},
    simulation::RequestSimulation,
};

impl RequestSimulation {
    pub(super) fn violations(&self, schedule: &FaultSchedule) -> Vec<Violation> {
        let mut found = Vec::new();
        if schedule.non_idempotent && self.starts.len() > 1 {
            found.push(Violation::RanTwice);
        }
        match self.finishes.as_slice() {
            [] => found.push(Violation::NoFinalResult),
            [(at, outcome)] => {
                if *at > schedule.deadline_ms {
                    found.push(Violation::LateFinalResult);
                }
                if outcome.ran == RanState::No && !self.starts.is_empty() {
                    found.push(Violation::RanAfterNotRun);
                }
                let is_complete = (1..=outcome.attempts)
                    .any(|attempt| self.read == answer_bytes(attempt, 0, ANSWER_BYTES));
                if outcome.code == ResultCode::Complete && !is_complete {
                    found.push(Violation::WrongAnswer);
                }
            }
            _ => found.push(Violation::SecondFinalResult),
        }
        let is_from_one_attempt = (1..=9u32)
            .any(|attempt| answer_bytes(attempt, 0, ANSWER_BYTES).starts_with(&self.read));
        if !self.corrupted && !is_from_one_attempt {
            found.push(Violation::MixedAnswer);
        }
        found
    }
}
