//! What the engine's speed has shown itself to be.

use std::time::Duration;

use crate::{cost::CostParameters, ids::TokenCount};

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
    reported: CostParameters,
    prefill_ns: f64,
    decode_ns: f64,
    answer_share: f64,
}

impl EngineSpeed {
    /// Nothing known.
    pub(crate) fn new() -> Self {
        Self {
            reported: CostParameters::default(),
            prefill_ns: 0.0,
            decode_ns: 0.0,
            answer_share: FIRST_ANSWER_SHARE,
        }
    }

    /// Takes over what the engine reports.
    pub(crate) fn set_reported(&mut self, reported: CostParameters) {
        self.reported = reported;
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
        let parameters = self.parameters();
        RunCost {
            prefill: parameters.prefill(prompt, 0),
            decode: parameters.decode(answer).mul_f64(self.answer_share),
        }
    }

    fn parameters(&self) -> CostParameters {
        let mut parameters = self.reported;
        if parameters.prefill_ns_per_token == 0.0 {
            parameters.prefill_ns_per_token = self.prefill_ns;
        }
        if parameters.decode_ns == 0.0 {
            parameters.decode_ns = self.decode_ns;
        }
        parameters
    }
}

fn blend(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + LEARNING_RATE * (new - old)
}
