//! Model of the prefill and decode times of an engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::TokenCount;

/// Speed and memory of a service's engines, as declared by the operator.
///
/// An engine works in passes. A writer is a request in its decode phase. A pass with writers has a
/// fixed number of steps. Each step yields one token for every writer and prefills a bounded piece
/// of the waiting prompts. A long prefill on an engine with writers therefore lengthens every pass,
/// and with it the gaps between each writer's events.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory_tokens: TokenCount,
    /// Steps of a pass with writers; also the tokens per event.
    pub steps_per_pass: u32,
    /// Duration of a step without writers, in ms.
    pub step_ms: f64,
    /// Time that each writer adds to a step, in ms.
    pub step_ms_per_writer: f64,
    /// Time that each thousand tokens of writers' context add to a step, in ms.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens prefilled per ms.
    pub read_tokens_per_ms: f64,
    /// Prefill time per million pairs of a token and an earlier token, in ms.
    pub read_ms_per_1m_pairs: f64,
}

impl EngineProfile {
    /// Returns the time to prefill a prompt on one idle engine.
    pub fn prefill_time(&self, prompt: TokenCount) -> Duration {
        let tokens = prompt as f64;
        let linear = tokens / self.read_tokens_per_ms.max(f64::MIN_POSITIVE);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.read_ms_per_1m_pairs;
        from_ms(linear + pairs)
    }

    /// Returns the length of a pass without prefill, with `writers` writers that have `context`
    /// tokens together.
    pub fn pass_time(&self, writers: u32, context: TokenCount) -> Duration {
        let step = self.step_ms
            + self.step_ms_per_writer * f64::from(writers)
            + self.step_ms_per_1k_context * context as f64 / 1e3;
        from_ms(step * f64::from(self.steps_per_pass.max(1)))
    }

    /// Returns the length of a pass without prefill, with writers in all slots and full memory.
    pub fn full_pass(&self) -> Duration {
        self.pass_time(self.slots, self.memory_tokens)
    }

    /// Returns the time to decode a response of `answer` tokens in passes of length `pass`.
    pub fn decode_time(&self, answer: TokenCount, pass: Duration) -> Duration {
        let passes = answer.div_ceil(u64::from(self.steps_per_pass.max(1)));
        pass.saturating_mul(u32::try_from(passes).unwrap_or(u32::MAX))
    }
}

fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}
