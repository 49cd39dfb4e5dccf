use std::time::Duration;

use crate::ids::TokenCount;

/// Cost of work on one engine. It is small enough to be part of each load report.
///
/// Prefilling `n` tokens behind a cached prefix of `c` tokens takes
/// `n * ns_per_token + ((c + n)^2 - c^2) * ns_per_token_squared`. The second term is the attention
/// of each new token to all tokens before it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostParameters {
    /// Nanoseconds of prefill for each token; 0 while unknown.
    pub prefill_ns_per_token: f64,
    /// Growth of prefill time with length, in nanoseconds for each squared token.
    pub prefill_ns_per_token_squared: f64,
    /// Interval between the tokens of one answer at the current batch size, in nanoseconds.
    pub decode_ns: f64,
}

impl CostParameters {
    /// Parameters for an engine that has not reported yet: a conservative guess for a mid-size
    /// model.
    pub const ASSUMED: Self = Self {
        prefill_ns_per_token: 100_000.0,
        prefill_ns_per_token_squared: 0.2,
        decode_ns: 30_000_000.0,
    };

    /// Returns the parameters, with unknown ones replaced by the assumed ones.
    pub fn or_assumed(self) -> Self {
        if self.prefill_ns_per_token > 0.0 {
            return self;
        }
        Self {
            decode_ns: if self.decode_ns > 0.0 {
                self.decode_ns
            } else {
                Self::ASSUMED.decode_ns
            },
            ..Self::ASSUMED
        }
    }

    /// Returns the time to prefill a prompt whose first `cached` tokens are in the engine's cache.
    pub fn prefill(&self, prompt: TokenCount, cached: TokenCount) -> Duration {
        Duration::from_secs_f64(self.prefill_seconds(prompt, cached))
    }

    /// Returns the time to decode an answer after its first token.
    pub fn decode(&self, answer: TokenCount) -> Duration {
        Duration::from_secs_f64(self.decode_ns * answer as f64 / NS_PER_SECOND)
    }

    /// Returns the first-token time of a prompt that waits for `queue` before its prefill.
    pub fn predict_first_token(
        &self,
        queue: Duration,
        prompt: TokenCount,
        cached: TokenCount,
    ) -> Duration {
        queue + self.prefill(prompt, cached)
    }

    pub(crate) fn prefill_seconds(&self, prompt: TokenCount, cached: TokenCount) -> f64 {
        let cached = cached.min(prompt) as f64;
        let prompt = prompt as f64;
        let linear = (prompt - cached) * self.prefill_ns_per_token;
        let squared = (prompt * prompt - cached * cached) * self.prefill_ns_per_token_squared;
        (linear + squared) / NS_PER_SECOND
    }
}

impl Default for CostParameters {
    /// Returns zeros, which mean that the parameters are unknown.
    fn default() -> Self {
        Self {
            prefill_ns_per_token: 0.0,
            prefill_ns_per_token_squared: 0.0,
            decode_ns: 0.0,
        }
    }
}

pub(crate) const NS_PER_SECOND: f64 = 1e9;
