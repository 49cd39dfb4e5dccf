//! What the engine's speed has shown itself to be.

use std::time::Duration;

use crate::{
    cost::{CostModel, CostParameters, PredictionError, PrefillObservation},
    ids::TokenCount,
    length::LengthBucket,
};

/// Weight of the newest observation.
const LEARNING_RATE: f64 = 0.2;
/// An answer whose bytes all came within this time came in one piece.
const UNSTREAMED_MAX_DECODE: Duration = Duration::from_micros(200);
/// Share of the answer bound that is expected to be used before anything is known.
const INITIAL_ANSWER_SHARE: f64 = 0.5;

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
    /// Prompt tokens as the engine counted them.
    pub(crate) prompt: TokenCount,
    /// Those of them that its cache spared.
    pub(crate) cached: TokenCount,
    /// Requests that ran with it.
    pub(crate) batch: u32,
    /// From the start to the first bytes.
    pub(crate) prefill: Duration,
    /// From the first bytes to the end.
    pub(crate) decode: Duration,
    /// Answer tokens.
    pub(crate) answer_tokens: TokenCount,
    /// Bound of the answer that the caller asked for.
    pub(crate) answer_limit: TokenCount,
}

impl RunSample {
    /// Whether the answer came in one piece, so that its first bytes say nothing about its first
    /// token.
    fn is_unstreamed(&self) -> bool {
        self.answer_tokens > 1 && self.decode < UNSTREAMED_MAX_DECODE
    }
}

/// Learned speed of an engine; nothing is predicted while nothing is known.
///
/// The engine's own report goes before what was observed from outside.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpeed {
    reported: CostParameters,
    model: CostModel,
    answer_share: f64,
}

impl EngineSpeed {
    /// Nothing known.
    pub(crate) fn new() -> Self {
        Self {
            reported: CostParameters::default(),
            model: CostModel::new(),
            answer_share: INITIAL_ANSWER_SHARE,
        }
    }

    /// Takes over what the engine reports.
    pub(crate) fn set_reported(&mut self, reported: CostParameters) {
        self.reported = reported;
    }

    /// Learns from a run.
    pub(crate) fn observe(&mut self, sample: RunSample) {
        if !sample.is_unstreamed() {
            self.model.observe_prefill(&PrefillObservation {
                prompt_tokens: sample.prompt,
                cached_tokens: sample.cached,
                queue_wait: Duration::ZERO,
                first_token: sample.prefill,
                batch: sample.batch,
            });
            if let Some(interval) = interval(sample) {
                self.model.observe_decode(sample.batch, interval);
            }
        }
        if sample.answer_limit > 0 {
            let share = sample.answer_tokens as f64 / sample.answer_limit as f64;
            self.answer_share += LEARNING_RATE * (share.min(1.0) - self.answer_share);
        }
    }

    /// Predicts a run whose first `elsewhere` prompt tokens other engines hold; all zero while
    /// nothing is known.
    pub(crate) fn predict(
        &self,
        prompt: TokenCount,
        prefilled: TokenCount,
        answer: TokenCount,
    ) -> RunCost {
        let parameters = self.parameters();
        RunCost {
            prefill: parameters.prefill(prompt, prefilled),
            decode: parameters.decode(answer).mul_f64(self.answer_share),
        }
    }

    /// What is known of the cost of work; zeros where nothing is.
    pub(crate) fn parameters(&self) -> CostParameters {
        let learned = self.model.parameters();
        let mut parameters = self.reported;
        if parameters.prefill_ns_per_token == 0.0 {
            parameters.prefill_ns_per_token = learned.prefill_ns_per_token;
            parameters.prefill_ns_per_token_squared = learned.prefill_ns_per_token_squared;
        }
        if parameters.decode_ns == 0.0 {
            parameters.decode_ns = learned.decode_ns;
        }
        parameters
    }

    /// How far predictions for a length were off.
    pub(crate) fn error(&self, bucket: LengthBucket) -> PredictionError {
        self.model.error(bucket)
    }
}

fn interval(sample: RunSample) -> Option<Duration> {
    let gaps = u32::try_from(sample.answer_tokens.checked_sub(1)?).ok()?;
    sample.decode.checked_div(gaps)
}
