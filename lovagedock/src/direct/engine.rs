//! How long an engine takes to read a prompt and to write answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::TokenCount;

/// Speed and memory of the engines of a service, as the operator declares them.
///
/// An engine works in passes. A pass in which somebody writes has a fixed number of steps, each
/// of which yields one token for every writer and reads a bounded piece of the prompts that wait.
/// So a long read that shares an engine with writers stretches every pass, and each writer's
/// events with it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// KV memory, in tokens.
    pub memory_tokens: TokenCount,
    /// Steps of a pass in which somebody writes; an event has as many tokens.
    pub steps_per_pass: u32,
    /// A step without writers, in ms.
    pub step_ms: f64,
    /// What each writer adds to a step, in ms.
    pub step_ms_per_writer: f64,
    /// What a thousand tokens of a writer's context add to a step, in ms.
    pub step_ms_per_1k_context: f64,
    /// Prompt tokens read in a ms.
    pub read_tokens_per_ms: f64,
    /// Reading time for each million pairs of a token and one before it, in ms.
    pub read_ms_per_1m_pairs: f64,
}

impl EngineProfile {
    /// Time to read a prompt on one idle engine.
    pub fn prefill_time(&self, prompt: TokenCount) -> Duration {
        let tokens = prompt as f64;
        let linear = tokens / self.read_tokens_per_ms.max(f64::MIN_POSITIVE);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.read_ms_per_1m_pairs;
        from_ms(linear + pairs)
    }

    /// Length of a pass with `writers` writers that have `context` tokens together, reading
    /// nothing.
    pub fn pass_time(&self, writers: u32, context: TokenCount) -> Duration {
        let step = self.step_ms
            + self.step_ms_per_writer * f64::from(writers)
            + self.step_ms_per_1k_context * context as f64 / 1e3;
        from_ms(step * f64::from(self.steps_per_pass.max(1)))
    }

    /// Length of a pass with all slots writing and the memory full, reading nothing.
    pub fn full_pass(&self) -> Duration {
        self.pass_time(self.slots, self.memory_tokens)
    }

    /// Time to write an answer of `answer` tokens in passes of length `pass`.
    pub fn decode_time(&self, answer: TokenCount, pass: Duration) -> Duration {
        let passes = answer.div_ceil(u64::from(self.steps_per_pass.max(1)));
        pass.saturating_mul(u32::try_from(passes).unwrap_or(u32::MAX))
    }
}

fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}
