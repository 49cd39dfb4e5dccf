//! Simulated engine that runs one prefill at a time, with KV memory and a prefix cache.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use lovagedock::{
    CostParameters, EndpointBacklog, EndpointReport, PREFIX_PIECE_TOKENS, TokenCount,
};

use crate::traffic::{TRUE_COST, conversation_hash};

pub(crate) const ENGINE_MEMORY: TokenCount = 450_000;
const LONG_TOKENS: TokenCount = 32_000;
const CACHE_TOKENS: TokenCount = 150_000;
/// Slowdown of prefill per decoding request.
const DECODE_SLOWDOWN: f64 = 0.01;

/// Scheduling order of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineOrder {
    /// First come, first served.
    Fifo,
    /// Prompts below 32,000 tokens interrupt longer ones.
    ShortFirst,
}

/// A request or one part of a span on one engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineJob {
    pub(crate) request: usize,
    pub(crate) prompt: TokenCount,
    pub(crate) memory: TokenCount,
    pub(crate) shared: Option<(u64, u64)>,
    /// Share of the prompt's prefill that runs on this engine.
    pub(crate) share: f64,
    /// Virtual time after which the job is no longer started.
    pub(crate) deadline: f64,
    /// Remaining seconds of prefill of a started job.
    pub(crate) remaining_seconds: Option<f64>,
}

impl EngineJob {
    /// Whether the sidecar drops the queued job. Parts of a span are kept because the other parts
    /// hold memory.
    fn expired(&self, now: f64) -> bool {
        self.remaining_seconds.is_none() && self.share == 1.0 && now > self.deadline
    }

    fn missing_memory(&self) -> TokenCount {
        if self.remaining_seconds.is_some() {
            0
        } else {
            self.memory
        }
    }
}

pub(crate) struct Engine {
    pub(crate) order: EngineOrder,
    pub(crate) cost: CostParameters,
    pub(crate) queue: VecDeque<EngineJob>,
    pub(crate) current: Option<(EngineJob, f64)>,
    /// Number of starts. It distinguishes the end of an interrupted prefill from that of a later
    /// one.
    pub(crate) starts: u64,
    pub(crate) used: TokenCount,
    pub(crate) decoding: u32,
    cache: VecDeque<(u64, u64)>,
}

impl Engine {
    pub(crate) fn new(order: EngineOrder, speed: f64) -> Self {
        Self {
            order,
            cost: CostParameters {
                prefill_ns_per_token: TRUE_COST.prefill_ns_per_token / speed,
                prefill_ns_per_token_squared: TRUE_COST.prefill_ns_per_token_squared / speed,
                decode_ns: TRUE_COST.decode_ns / speed,
            },
            queue: VecDeque::new(),
            current: None,
            starts: 0,
            used: 0,
            decoding: 0,
            cache: VecDeque::new(),
        }
    }

    pub(crate) fn enqueue(&mut self, now: f64, job: EngineJob) {
        if self.order == EngineOrder::Fifo || job.prompt >= LONG_TOKENS {
            self.queue.push_back(job);
            return;
        }
        let at = self
            .queue
            .iter()
            .position(|queued| queued.prompt >= LONG_TOKENS);
        self.queue.insert(at.unwrap_or(self.queue.len()), job);
        self.interrupt(now);
    }

    fn interrupt(&mut self, now: f64) {
        let long = self
            .current
            .as_ref()
            .is_some_and(|(job, _)| job.prompt >= LONG_TOKENS);
        let fits = self
            .queue
            .front()
            .is_some_and(|job| self.used + job.memory <= ENGINE_MEMORY);
        if !long || !fits {
            return;
        }
        if let Some((mut job, end)) = self.current.take() {
            job.remaining_seconds = Some(end - now);
            let at = self
                .queue
                .iter()
                .position(|queued| queued.prompt >= LONG_TOKENS);
            self.queue.insert(at.unwrap_or(self.queue.len()), job);
        }
    }

    /// Starts the next prefill if possible. Returns its end time and its start number.
    pub(crate) fn start(&mut self, now: f64) -> Option<(f64, u64)> {
        if self.current.is_some() {
            return None;
        }
        self.queue.retain(|job| !job.expired(now));
        let free = ENGINE_MEMORY - self.used;
        let head_fits = self.queue.front()?.missing_memory() <= free;
        // An interrupted job continues if the first job must wait for memory that the interrupted
        // one holds.
        let at = match head_fits {
            true => 0,
            false => self
                .queue
                .iter()
                .position(|job| job.remaining_seconds.is_some())?,
        };
        let job = self.queue.remove(at)?;
        self.used += job.missing_memory();
        let slowdown = 1.0 + DECODE_SLOWDOWN * f64::from(self.decoding);
        let seconds = match job.remaining_seconds {
            Some(remaining_seconds) => remaining_seconds,
            None => self.prefill_seconds(&job) * slowdown,
        };
        self.touch_cache(job.shared);
        self.starts += 1;
        self.current = Some((job, now + seconds));
        Some((now + seconds, self.starts))
    }

    pub(crate) fn prefill_seconds(&self, job: &EngineJob) -> f64 {
        if let Some(remaining_seconds) = job.remaining_seconds {
            return remaining_seconds;
        }
        let cached = match job.shared {
            Some(shared) if self.cache.contains(&shared) => shared.1 * PREFIX_PIECE_TOKENS,
            _ => 0,
        };
        self.cost.prefill(job.prompt, cached).as_secs_f64() * job.share
    }

    fn touch_cache(&mut self, shared: Option<(u64, u64)>) {
        let Some(shared) = shared else {
            return;
        };
        self.cache.retain(|known| *known != shared);
        self.cache.push_front(shared);
        let mut tokens = 0;
        self.cache.retain(|(_, pieces)| {
            tokens += pieces * PREFIX_PIECE_TOKENS;
            tokens <= CACHE_TOKENS
        });
    }

    fn backlog(&self, now: f64) -> EndpointBacklog {
        let remaining_seconds = self.current.as_ref().map_or(0.0, |(_, end)| end - now);
        let waiting = |keep: &dyn Fn(&EngineJob) -> bool| -> f64 {
            let jobs = self.queue.iter().filter(|job| keep(job));
            jobs.map(|job| self.prefill_seconds(job)).sum()
        };
        let all = remaining_seconds + waiting(&|_| true);
        let is_short = |job: &EngineJob| job.prompt < LONG_TOKENS;
        let short = match self.order {
            EngineOrder::Fifo => all,
            EngineOrder::ShortFirst => {
                let running = self.current.as_ref().is_some_and(|(job, _)| is_short(job));
                waiting(&is_short) + if running { remaining_seconds } else { 0.0 }
            }
        };
        EndpointBacklog {
            all: Duration::from_secs_f64(all.max(0.0)),
            short: Duration::from_secs_f64(short.max(0.0)),
        }
    }

    pub(crate) fn report(&self, now: f64, with_backlog: bool) -> Arc<EndpointReport> {
        let queued_tokens = self.queue.iter().map(|job| job.prompt).sum();
        let remaining_seconds = self.current.as_ref().map_or(0.0, |(_, end)| end - now);
        let long = self
            .current
            .iter()
            .filter(|(job, _)| job.prompt >= LONG_TOKENS)
            .count() as u32;
        let left_tokens = self.current.as_ref().map_or(0, |(job, _)| {
            let all = self.cost.prefill(job.prompt, 0).as_secs_f64() * job.share;
            (job.prompt as f64 * (remaining_seconds / all).clamp(0.0, 1.0)) as u64
        });
        Arc::new(EndpointReport {
            memory_tokens: ENGINE_MEMORY,
            free_tokens: ENGINE_MEMORY - self.used,
            queued: self.queue.len() as u32,
            queued_tokens,
            running: self.decoding + u32::from(self.current.is_some()),
            running_long: long,
            prefill_tokens_left: left_tokens,
            backlog: with_backlog.then(|| self.backlog(now)),
            cost: self.cost,
            cached_prefixes: self
                .cache
                .iter()
                .map(|(c, pieces)| conversation_hash(*c, *pieces))
                .collect(),
        })
    }
}
