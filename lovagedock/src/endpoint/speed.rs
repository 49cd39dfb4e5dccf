//! What the engine's speed has shown itself to be.

use std::time::Duration;

use crate::{endpoint::messages::EngineReport, ids::TokenCount};

/// Weight of the newest observation.
const LEARNING_RATE: f64 = 0.2;
/// Share of the answer bound that is expected to be used before anything is known.
const FIRST_ANSWER_SHARE: f64 = 0.5;

/// Times that a request is predicted to take once it has started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunCost {
    /// Until the first token.
    pub(crate) prefill: Duration,
    /// From the first token to the last.
    pub(crate) decode: Duration,
}

impl RunCost {
    /// Both together.
    pub(crate) fn total(&self) -> Duration {
        self.prefill + self.decode
    }
}

/// One run, as seen from outside of the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSample {
    /// Prompt tokens that had to be prefilled.
    pub(crate) prefilled: TokenCount,
    /// From the start to the first bytes.
    pub(crate) prefill: Duration,
    /// From the first bytes to the end.
    pub(crate) decode: Duration,
    /// Answer tokens.
    pub(crate) answered: TokenCount,
    /// Bound of the answer that the caller asked for.
    pub(crate) asked: TokenCount,
}

/// Learned speed of an engine; zero means not known yet.
///
/// The engine's own report goes before what was observed from outside.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpeed {
    report: EngineReport,
    prefill_ns: f64,
    decode_ns: f64,
    answer_share: f64,
}

impl EngineSpeed {
    /// Nothing known.
    pub(crate) fn new() -> Self {
        Self {
            report: EngineReport::default(),
            prefill_ns: 0.0,
            decode_ns: 0.0,
            answer_share: FIRST_ANSWER_SHARE,
        }
    }

    /// Takes over what the engine reports.
    pub(crate) fn set_report(&mut self, report: EngineReport) {
        self.report = report;
    }

    /// Learns from a run.
    pub(crate) fn observe(&mut self, sample: RunSample) {
        if sample.prefilled > 0 {
            let ns = sample.prefill.as_nanos() as f64 / sample.prefilled as f64;
            self.prefill_ns = blend(self.prefill_ns, ns);
        }
        if sample.answered > 1 {
            let ns = sample.decode.as_nanos() as f64 / (sample.answered - 1) as f64;
            self.decode_ns = blend(self.decode_ns, ns);
        }
        if sample.asked > 0 {
            let share = sample.answered as f64 / sample.asked as f64;
            self.answer_share = blend(self.answer_share, share.min(1.0));
        }
    }

    /// Predicts a run; all zero while nothing is known.
    pub(crate) fn predict(&self, prompt: TokenCount, answer: TokenCount) -> RunCost {
        let prompt = prompt as f64;
        let square = self.report.prefill_ns_per_token_squared * prompt * prompt;
        let prefill = known(self.report.prefill_ns_per_token, self.prefill_ns) * prompt;
        let decode = known(self.report.decode_ns, self.decode_ns) * answer as f64;
        RunCost {
            prefill: nanoseconds(prefill + square),
            decode: nanoseconds(decode * self.answer_share),
        }
    }
}

fn known(reported: f64, observed: f64) -> f64 {
    if reported > 0.0 { reported } else { observed }
}

fn blend(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + LEARNING_RATE * (new - old)
}

fn nanoseconds(value: f64) -> Duration {
    Duration::from_nanos(value.max(0.0) as u64)
}
