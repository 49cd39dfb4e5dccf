//! Delayed load reports, in the formats of two vendors.

use std::{collections::VecDeque, fmt::Write, time::Duration};

use serde::Serialize;

use super::{batch::BatchEngine, memory::BLOCK_TOKENS};

/// Load of the engine at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct LoadSample {
    #[serde(skip)]
    sampled_at: Duration,
    running: usize,
    waiting: usize,
    total_tokens: u64,
    free_tokens: u64,
    cached_tokens: u64,
    role: String,
    model: String,
    adapters: Vec<String>,
}

impl LoadSample {
    pub(crate) fn new(batch: &BatchEngine, role: &str, model: &str, adapters: &[String]) -> Self {
        let memory = batch.memory();
        Self {
            sampled_at: batch.now(),
            running: batch.running(),
            waiting: batch.waiting(),
            total_tokens: memory.total() * BLOCK_TOKENS,
            free_tokens: (memory.total() - memory.allocated()) * BLOCK_TOKENS,
            cached_tokens: memory.cached() * BLOCK_TOKENS,
            role: role.to_owned(),
            model: model.to_owned(),
            adapters: adapters.to_vec(),
        }
    }

    pub(crate) fn prometheus(&self) -> String {
        let used = self.total_tokens - self.free_tokens;
        let mut text = String::new();
        let mut gauge = |name: &str, value: u64| {
            let _ = writeln!(text, "# TYPE {name} gauge\n{name} {value}");
        };
        gauge("engine_num_requests_running", self.running as u64);
        gauge("engine_num_requests_waiting", self.waiting as u64);
        gauge("engine_kv_tokens_capacity", self.total_tokens);
        gauge("engine_kv_tokens_used", used);
        gauge("engine_prefix_cache_tokens", self.cached_tokens);
        let _ = writeln!(
            text,
            "# TYPE engine_info gauge\nengine_info{{role=\"{}\",model=\"{}\",adapters=\"{}\"}} 1",
            self.role,
            self.model,
            self.adapters.join(",")
        );
        text
    }
}

/// Recent load samples.
#[derive(Debug, Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

    /// Whether a new sample is due.
    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.samples
            .back()
            .is_none_or(|last| now >= last.sampled_at + Self::SAMPLE_INTERVAL)
    }

    pub(crate) fn push(&mut self, sample: LoadSample, lag: Duration) {
        let cutoff = sample.sampled_at.saturating_sub(lag);
        self.samples.push_back(sample);
        while self.samples.len() > 1 && self.samples[1].sampled_at <= cutoff {
            self.samples.pop_front();
        }
    }

    /// The sample that the engine reports as its load: the newest one that was at least as old as
    /// the lag at the last [`push`](Self::push), or the oldest one if there is none.
    pub(crate) fn reported(&self) -> Option<&LoadSample> {
        self.samples.front()
    }

    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
