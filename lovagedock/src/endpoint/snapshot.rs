//! State of the sidecar core for dumps and load reports.

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
    /// Whether new work is refused because the endpoint is draining.
    pub draining: bool,
    /// Whether the engine is reachable.
    pub engine_up: bool,
    /// Size of the engine's KV memory in tokens.
    pub memory_tokens: TokenCount,
    /// Memory available to new requests, in tokens.
    pub free_tokens: TokenCount,
    /// Memory that the engine holds without a lease, in tokens.
    pub orphaned_tokens: TokenCount,
    /// Memory reserved for spans, in tokens.
    pub reserved_tokens: TokenCount,
    /// Number of queued requests.
    pub queued: usize,
    /// Memory that the queued requests need, in tokens.
    pub queued_tokens: TokenCount,
    /// Number of running requests.
    pub running: usize,
    /// Prompt tokens of running requests that have not produced a first token.
    pub prefill_tokens_left: TokenCount,
    /// Number of retained answers.
    pub answers_kept: usize,
    /// Number of tombstones for attempts that must not run.
    pub tombstones: usize,
    /// Number of tombstones removed before their expiry because of the limit on their count. A
    /// value above zero means that the limit is too small.
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
    /// Organisation that the request is billed to.
    pub organisation: OrganisationId,
    /// Memory that the request needs, in tokens.
    pub need_tokens: TokenCount,
    /// Number of answer bytes received so far.
    pub delivered: u64,
    /// Deadline in milliseconds since the process started.
    pub deadline_ms: u128,
    /// Whether the answer currently has no sink.
    pub sink_lost: bool,
}

/// The complete state for a dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct EndpointSnapshot {
    /// Incarnation of the sidecar.
    pub incarnation: u64,
    /// Counts of requests, memory and tombstones.
    pub load: EndpointLoad,
    /// The request that memory is kept free for.
    pub waiting_head: Option<String>,
    /// Requests for which the engine holds memory without a lease.
    pub orphans: Vec<String>,
    /// Queued and running requests.
    pub requests: Vec<RequestSnapshot>,
}

impl EndpointCore {
    /// Returns the counts for a load report.
    pub fn load(&self) -> EndpointLoad {
        let running = self.running();
        let prefilling =
            running.filter(|entry| entry.first_bytes_at.is_none() && entry.order.span.is_empty());
        EndpointLoad {
            draining: self.draining,
            engine_up: self.engine_up,
            memory_tokens: self.ledger.memory(),
            // Memory kept for the head of the queue is free but not available. If gateways counted
            // it, they would send short prompts that then wait behind a long one.
            free_tokens: self
                .ledger
                .free()
                .min(self.queue.available_beside_head(self.ledger.memory())),
            orphaned_tokens: self.ledger.orphaned(),
            reserved_tokens: self.ledger.reserved(),
            queued: self.queue.len(),
            queued_tokens: self.queue.tokens(),
            running: self.started_requests.len(),
            prefill_tokens_left: prefilling.map(|entry| entry.order.prompt_tokens).sum(),
            answers_kept: self.answers.len(),
            tombstones: self.revoked.len() + self.refused.len(),
            tombstones_forgotten_early: self.revoked.forgotten_early()
                + self.refused.forgotten_early(),
        }
    }

    /// Returns the number of running requests whose prompt has at least this many tokens.
    pub fn running_long(&self, long_tokens: TokenCount) -> usize {
        let long = self
            .running()
            .filter(|entry| entry.order.prompt_tokens >= long_tokens);
        long.count()
    }

    /// Returns the known cost parameters of the engine. Unknown ones are zero.
    pub fn cost_parameters(&self) -> CostParameters {
        self.speed.parameters()
    }

    /// Returns the error of the first-token predictions for a length bucket.
    pub fn prediction_error(&self, bucket: LengthBucket) -> PredictionError {
        self.speed.error(bucket)
    }

    /// Predicts the time until the prefill of a prompt that arrives now would start. Long prompts
    /// wait behind all others. Short prompts overtake long ones in the queue and on the engine.
    pub fn backlog(&self, now: Timestamp, long_tokens: TokenCount) -> EndpointBacklog {
        let slot = self.slot_wait();
        let mut backlog = EndpointBacklog {
            all: slot,
            short: slot,
        };
        for entry in self.requests.values() {
            let left = entry.prefill_left(now);
            backlog.all += left;
            if long_tokens == 0 || entry.order.prompt_tokens < long_tokens {
                backlog.short += left;
            }
        }
        backlog
    }

    /// Predicts the time until a slot in the engine's batch is free; zero if one is free now.
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

    /// Returns the memory ledger.
    pub fn ledger(&self) -> &MemoryLedger {
        &self.ledger
    }

    /// Returns the newest attempt of a queued or running request.
    pub fn current_attempt(&self, request: RequestId) -> Option<AttemptKey> {
        self.requests.get(&request).map(|entry| entry.key)
    }

    /// Returns the newest attempts of all running requests.
    pub fn running_attempts(&self) -> Vec<AttemptKey> {
        self.running().map(|entry| entry.key).collect()
    }

    /// Returns the complete state for a dump.
    pub fn snapshot(&self) -> EndpointSnapshot {
        EndpointSnapshot {
            incarnation: self.incarnation,
            load: self.load(),
            waiting_head: self.queue.waiting_head().map(format_request_id),
            orphans: self.ledger.orphans().map(format_request_id).collect(),
            requests: self.requests.values().map(request_snapshot).collect(),
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
        sink_lost: entry.sink_lost_at.is_some(),
    }
}
