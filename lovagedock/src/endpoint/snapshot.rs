//! What a sidecar shows of its decisions in dumps and load reports.

use std::time::Duration;

use serde::Serialize;

use crate::{
    cost::{CostParameters, PredictionError},
    endpoint::{
        core::EndpointCore,
        entry::{RequestEntry, RequestPhase},
        ledger::MemoryLedger,
    },
    ids::{OrganisationId, RequestId, ServiceId, Timestamp, TokenCount, format_request_id},
    length::LengthBucket,
    outcome::AttemptKey,
    placement::EndpointBacklog,
};

/// Counts for a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EndpointLoad {
    /// Whether new work is refused because the endpoint leaves.
    pub draining: bool,
    /// Whether the engine can be reached.
    pub engine_up: bool,
    /// KV memory of the engine in tokens.
    pub memory_tokens: TokenCount,
    /// Memory that a new request may take, in tokens.
    pub free_tokens: TokenCount,
    /// Memory that the engine holds for nobody, in tokens.
    pub orphaned_tokens: TokenCount,
    /// Memory reserved for spans, in tokens.
    pub reserved_tokens: TokenCount,
    /// Requests that wait.
    pub queued: usize,
    /// Memory that they need, in tokens.
    pub queued_tokens: TokenCount,
    /// Requests that run.
    pub running: usize,
    /// Prompt tokens of running requests that have no first token yet.
    pub prefill_tokens_left: TokenCount,
    /// Ended answers that are kept.
    pub answers_kept: usize,
    /// Attempts that are remembered as not to run.
    pub tombstones: usize,
    /// Tombstones that their count pushed out before their time; more than zero means that the
    /// bound is too small.
    pub tombstones_forgotten_early: u64,
}

/// One request in a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestSnapshot {
    /// The request id in hexadecimal.
    pub request: String,
    /// The newest attempt.
    pub attempt: u32,
    /// `queued`, `starting` or `running`.
    pub phase: &'static str,
    /// Service that the caller addressed.
    pub service: ServiceId,
    /// Organisation that pays.
    pub organisation: OrganisationId,
    /// Memory that it needs, in tokens.
    pub need_tokens: TokenCount,
    /// Bytes of the answer so far.
    pub delivered: u64,
    /// Deadline in milliseconds since the process started.
    pub deadline_ms: u128,
    /// Whether nobody takes the answer at the moment.
    pub sink_lost: bool,
}

/// The whole state, for a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointSnapshot {
    /// Life of the sidecar.
    pub incarnation: u64,
    /// Counts.
    pub load: EndpointLoad,
    /// The request that memory is being kept free for.
    pub waiting_head: Option<String>,
    /// Requests whose memory nobody owns.
    pub orphans: Vec<String>,
    /// Requests that wait or run.
    pub requests: Vec<RequestSnapshot>,
}

impl EndpointCore {
    /// Counts for a load report.
    pub fn load(&self) -> EndpointLoad {
        let running = self.running();
        let prefilling =
            running.filter(|entry| entry.first_bytes_at.is_none() && entry.order.span.is_empty());
        EndpointLoad {
            draining: self.draining,
            engine_up: self.engine_up,
            memory_tokens: self.ledger.memory(),
            // What is kept for a waiting request is free and yet not to be had: a gateway that
            // counted on it would send short prompts to wait behind a long one.
            free_tokens: self
                .ledger
                .free()
                .min(self.queue.available_beside_head(self.ledger.memory())),
            orphaned_tokens: self.ledger.orphaned(),
            reserved_tokens: self.ledger.reserved(),
            queued: self.queue.len(),
            queued_tokens: self.queue.tokens(),
            running: self.started.len(),
            prefill_tokens_left: prefilling.map(|entry| entry.order.prompt_tokens).sum(),
            answers_kept: self.answers.len(),
            tombstones: self.revoked.len() + self.refused.len(),
            tombstones_forgotten_early: self.revoked.forgotten_early()
                + self.refused.forgotten_early(),
        }
    }

    /// Running requests whose prompt has at least so many tokens.
    pub fn running_long(&self, long_tokens: TokenCount) -> usize {
        let long = self
            .running()
            .filter(|entry| entry.order.prompt_tokens >= long_tokens);
        long.count()
    }

    /// Learned cost of work on the engine; zeros where nothing is known.
    pub fn cost_parameters(&self) -> CostParameters {
        self.speed.parameters()
    }

    /// How far first-token predictions for a length were off.
    pub fn prediction_error(&self, bucket: LengthBucket) -> PredictionError {
        self.speed.error(bucket)
    }

    /// Time until a prompt that comes now would begin to be prefilled. Long prompts wait behind
    /// all others; short ones overtake the long ones, here and on the engine.
    pub fn backlog(&self, now: Timestamp, long_tokens: TokenCount) -> EndpointBacklog {
        let slot = self.slot_wait();
        let mut backlog = EndpointBacklog {
            all: slot,
            short: slot,
        };
        for entry in self.table.values() {
            let left = entry.prefill_left(now);
            backlog.all += left;
            if long_tokens == 0 || entry.order.prompt_tokens < long_tokens {
                backlog.short += left;
            }
        }
        backlog
    }

    /// Time until a place in the engine's batch is free, when all are taken.
    fn slot_wait(&self) -> Duration {
        let slots = self.concurrency().max(1);
        if self.running().count() < slots {
            return Duration::ZERO;
        }
        let total: Duration = self.running().map(|entry| entry.cost.total()).sum();
        let mean = total / u32::try_from(slots).unwrap_or(u32::MAX);
        let ahead = u32::try_from(self.queue.len() + 1).unwrap_or(u32::MAX);
        mean.saturating_mul(ahead) / u32::try_from(slots).unwrap_or(u32::MAX)
    }

    /// The memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// The newest attempt of a request that waits or runs.
    pub fn current_attempt(&self, request: RequestId) -> Option<AttemptKey> {
        self.table.get(&request).map(|entry| entry.key)
    }

    /// The newest attempts of the requests that run.
    pub fn running_attempts(&self) -> Vec<AttemptKey> {
        self.running().map(|entry| entry.key).collect()
    }

    /// The whole state, for a dump.
    pub fn snapshot(&self) -> EndpointSnapshot {
        EndpointSnapshot {
            incarnation: self.incarnation,
            load: self.load(),
            waiting_head: self.queue.waiting_head().map(format_request_id),
            orphans: self.ledger.orphans().map(format_request_id).collect(),
            requests: self.table.values().map(request_snapshot).collect(),
        }
    }
}

fn request_snapshot(entry: &RequestEntry) -> RequestSnapshot {
    RequestSnapshot {
        request: format_request_id(entry.key.request),
        attempt: entry.key.attempt,
        phase: match entry.phase {
            RequestPhase::Queued => "queued",
            RequestPhase::Starting => "starting",
            RequestPhase::Running => "running",
        },
        service: entry.order.service.clone(),
        organisation: entry.order.organisation.clone(),
        need_tokens: entry.need,
        delivered: entry.delivered,
        deadline_ms: entry.deadline.as_millis(),
        sink_lost: entry.sink_lost.is_some(),
    }
}
