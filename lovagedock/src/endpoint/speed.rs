//! Reported and learned speed of the engine.

use std::time::Duration;

use crate::{
    cost::{CostModel, CostParameters, PredictionError, PrefillObservation},
    ids::TokenCount,
    length::LengthBucket,
};

/// Weight of the newest observation.
const LEARNING_RATE: f64 = 0.2;
/// An answer whose bytes all arrive within this time counts as not streamed.
const UNSTREAMED_MAX_DECODE: Duration = Duration::from_micros(200);
/// Initial estimate of the share of the answer limit that is used.
const INITIAL_ANSWER_SHARE: f64 = 0.5;

/// Predicted run time of a request after its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RunCost {
    /// Time until the first token.
    pub(crate) prefill: Duration,
    /// Time from the first token to the last.
    pub(crate) decode: Duration,
}

impl RunCost {
    /// Returns the sum of both.
    pub(crate) fn total(&self) -> Duration {
        self.prefill + self.decode
    }
}

/// An observed run of a request on the engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSample {
    /// Number of prompt tokens counted by the engine.
    pub(crate) prompt: TokenCount,
    /// Number of prompt tokens found in the engine's cache.
    pub(crate) cached: TokenCount,
    /// Number of requests in the same batch.
    pub(crate) batch: u32,
    /// Time from the start to the first bytes.
    pub(crate) prefill: Duration,
    /// Time from the first bytes to the end.
    pub(crate) decode: Duration,
    /// Number of answer tokens.
    pub(crate) answer_tokens: TokenCount,
    /// Maximum number of answer tokens that the caller requested.
    pub(crate) answer_limit: TokenCount,
}

impl RunSample {
    /// Whether the answer was not streamed, so that its first bytes do not mark its first token.
    fn is_unstreamed(&self) -> bool {
        self.answer_tokens > 1 && self.decode < UNSTREAMED_MAX_DECODE
    }
}

/// Speed of an engine. Predictions are zero until parameters have been reported or learned.
///
/// Parameters reported by the engine take precedence over learned ones.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpeed {
    reported: CostParameters,
    model: CostModel,
    answer_share: f64,
}

impl EngineSpeed {
    /// Creates a speed without observations.
    pub(crate) fn new() -> Self {
        Self {
            reported: CostParameters::default(),
            model: CostModel::new(),
            answer_share: INITIAL_ANSWER_SHARE,
        }
    }

    /// Sets the parameters reported by the engine.
    pub(crate) fn set_reported(&mut self, reported: CostParameters) {
        self.reported = reported;
    }

    /// Learns from an observed run.
    pub(crate) fn observe(&mut self, sample: RunSample) {
        if !sample.is_unstreamed() {
            self.model.observe_prefill(&PrefillObservation {
                prompt_tokens: sample.prompt,
                cached_tokens: sample.cached,
                queue_wait: Duration::ZERO,
                first_token: sample.prefill,
                batch: sample.batch,
            });
            if let Some(interval) = decode_interval(sample) {
                self.model.observe_decode(sample.batch, interval);
            }
        }
        if sample.answer_limit > 0 {
            let share = sample.answer_tokens as f64 / sample.answer_limit as f64;
            self.answer_share += LEARNING_RATE * (share.min(1.0) - self.answer_share);
        }
    }

    /// Predicts a run whose first `prefilled` prompt tokens are already prefilled on the engines of
    /// a span. All times are zero until parameters have been reported or learned.
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

    /// Returns the known cost parameters. Unknown ones are zero.
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

    /// Returns the error of the predictions for a length bucket.
    pub(crate) fn error(&self, bucket: LengthBucket) -> PredictionError {
        self.model.error(bucket)
    }
}

fn decode_interval(sample: RunSample) -> Option<Duration> {
    let gaps = u32::try_from(sample.answer_tokens.checked_sub(1)?).ok()?;
    sample.decode.checked_div(gaps)
}
