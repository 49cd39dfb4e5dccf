use std::time::Duration;

use crate::{ids::TokenCount, length::LengthBucket};

use super::{
    decode::DecodeTable,
    error::{ErrorTable, PredictionError},
    parameters::{CostParameters, NS_PER_SECOND},
    prefill::PrefillEstimator,
};

/// Learns the cost of work on one engine from the observations of its sidecar.
#[derive(Clone, Debug)]
pub struct CostModel {
    prefill: PrefillEstimator,
    decode: DecodeTable,
    errors: ErrorTable,
    queue_seconds_per_token: f64,
    batch: u32,
}

/// An observed prefill of one prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillObservation {
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that came from the engine's cache.
    pub cached_tokens: TokenCount,
    /// Time before the engine started the prefill; included in `first_token`.
    pub queue_wait: Duration,
    /// Time from the arrival of the prompt to its first token.
    pub first_token: Duration,
    /// Number of requests in the same batch.
    pub batch: u32,
}

impl CostModel {
    /// Creates a model without observations.
    pub fn new() -> Self {
        Self {
            prefill: PrefillEstimator::new(&CostParameters::ASSUMED),
            decode: DecodeTable::default(),
            errors: ErrorTable::default(),
            queue_seconds_per_token: 0.0,
            batch: 1,
        }
    }

    /// Learns from one prefill. An observation without any time or tokens is ignored.
    pub fn observe_prefill(&mut self, observation: &PrefillObservation) {
        let seconds = observation
            .first_token
            .saturating_sub(observation.queue_wait);
        let seconds = seconds.as_secs_f64();
        let prompt = observation.prompt_tokens;
        let cached = observation.cached_tokens.min(prompt);
        if seconds <= 0.0 || cached == prompt {
            return;
        }
        if self.prefill.observations() > 0 {
            let predicted = self.parameters().prefill_seconds(prompt, cached);
            let bucket = LengthBucket::of(prompt);
            self.errors.record(bucket, predicted, seconds);
        }
        self.batch = observation.batch.max(1);
        let new = (prompt - cached) as f64;
        let squared = prompt as f64 * prompt as f64 - cached as f64 * cached as f64;
        self.prefill.observe(new, squared, seconds);
        self.learn_queue_rate(prompt, cached);
    }

    /// Learns from the interval between two tokens of an answer.
    pub fn observe_decode(&mut self, batch: u32, interval: Duration) {
        self.batch = batch.max(1);
        self.decode.observe(batch, interval.as_secs_f64());
    }

    /// Predicts the first-token time of a prompt behind `queue_tokens` tokens of queued prompts
    /// with the recently observed mix of lengths.
    pub fn predict_first_token(
        &self,
        queue_tokens: TokenCount,
        prompt: TokenCount,
        cached: TokenCount,
    ) -> Duration {
        let rate = if self.queue_seconds_per_token > 0.0 {
            self.queue_seconds_per_token
        } else {
            CostParameters::ASSUMED.prefill_ns_per_token / NS_PER_SECOND
        };
        let queue = Duration::from_secs_f64(queue_tokens as f64 * rate);
        let cost = self.parameters().or_assumed();
        cost.predict_first_token(queue, prompt, cached)
    }

    /// Returns the interval between tokens when `batch` requests run; `None` before the first
    /// observation.
    pub fn decode_interval(&self, batch: u32) -> Option<Duration> {
        self.decode
            .interval_seconds(batch)
            .map(Duration::from_secs_f64)
    }

    /// Returns the parameters sent in reports. Unknown parameters are zero.
    pub fn parameters(&self) -> CostParameters {
        let decode_ns = self.decode.interval_seconds(self.batch).unwrap_or(0.0) * NS_PER_SECOND;
        if self.prefill.observations() == 0 {
            return CostParameters {
                decode_ns,
                ..CostParameters::default()
            };
        }
        let (per_token, per_token_squared) = self.prefill.coefficients();
        CostParameters {
            prefill_ns_per_token: per_token,
            prefill_ns_per_token_squared: per_token_squared,
            decode_ns,
        }
    }

    /// Returns the error of the predictions for a length bucket.
    pub fn error(&self, bucket: LengthBucket) -> PredictionError {
        self.errors.get(bucket)
    }

    /// Updates the mean cost of a queued token. Prompts differ in length, so the tokens of a queue
    /// cost more than the linear coefficient. The mean is taken over recent prompts, each weighted
    /// by its number of tokens.
    fn learn_queue_rate(&mut self, prompt: TokenCount, cached: TokenCount) {
        let tokens = (prompt - cached) as f64;
        let rate = self.parameters().prefill_seconds(prompt, cached) / tokens;
        if self.queue_seconds_per_token == 0.0 {
            self.queue_seconds_per_token = rate;
            return;
        }
        let gain = tokens / (tokens + QUEUE_RATE_DECAY_TOKENS);
        self.queue_seconds_per_token += gain * (rate - self.queue_seconds_per_token);
    }
}

impl Default for CostModel {
    fn default() -> Self {
        Self::new()
    }
}

/// Number of tokens over which the mean cost of a queued token is averaged.
const QUEUE_RATE_DECAY_TOKENS: f64 = 1e6;
