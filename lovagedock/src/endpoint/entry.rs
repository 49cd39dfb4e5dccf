//! State of a queued or running request.

use std::time::Duration;

use crate::{
    endpoint::{messages::WorkOrder, speed::RunCost},
    ids::{Timestamp, TokenCount},
    outcome::AttemptKey,
};

/// Phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// The request is queued and has not run.
    Queued,
    /// The start was sent to the engine and has not been confirmed. The request may be running.
    Starting,
    /// The engine is running the request.
    Running,
}

/// A request that was accepted and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    /// The newest attempt. Its sink receives the answer.
    pub(crate) key: AttemptKey,
    /// The attempt that was started on the engine.
    pub(crate) started_attempt: Option<AttemptKey>,
    /// The submitted request.
    pub(crate) order: WorkOrder,
    /// Current phase.
    pub(crate) phase: RequestPhase,
    /// Memory that the request needs, in tokens.
    pub(crate) need: TokenCount,
    /// Predicted run time.
    pub(crate) cost: RunCost,
    /// Time by which the request must have ended.
    pub(crate) deadline: Timestamp,
    /// Time of the next decision about the request.
    pub(crate) due: Timestamp,
    /// Time since which the answer has no sink.
    pub(crate) sink_lost_at: Option<Timestamp>,
    /// Time at which the start was sent to the engine.
    pub(crate) started_at: Timestamp,
    /// Time at which the first bytes of the answer were received.
    pub(crate) first_bytes_at: Option<Timestamp>,
    /// Number of answer bytes received so far.
    pub(crate) delivered: u64,
}

impl RequestEntry {
    /// Creates the entry of a newly queued request.
    pub(crate) fn new(
        now: Timestamp,
        order: WorkOrder,
        need: TokenCount,
        cost: RunCost,
        deadline: Timestamp,
    ) -> Self {
        Self {
            key: order.key,
            started_attempt: None,
            order,
            phase: RequestPhase::Queued,
            need,
            cost,
            deadline,
            due: deadline,
            sink_lost_at: None,
            started_at: now,
            first_bytes_at: None,
            delivered: 0,
        }
    }

    /// Whether the request is queued.
    pub(crate) fn is_queued(&self) -> bool {
        self.phase == RequestPhase::Queued
    }

    /// Whether the request ends when its sink is lost. A started non-idempotent request continues,
    /// so that its answer can be recorded for a retry by the caller.
    pub(crate) fn ends_without_sink(&self) -> bool {
        self.is_queued() || !self.order.non_idempotent
    }

    /// Returns the latest start time with which a queued request can still meet its deadline.
    pub(crate) fn latest_start(&self) -> Option<Timestamp> {
        let total = self.cost.total();
        if !self.is_queued() || total.is_zero() {
            return None;
        }
        Some(self.deadline.saturating_sub(total))
    }

    /// Returns the predicted remaining prefill time.
    pub(crate) fn prefill_left(&self, now: Timestamp) -> Duration {
        match (self.phase, self.first_bytes_at) {
            (_, Some(_)) => Duration::ZERO,
            (RequestPhase::Queued, None) => self.cost.prefill,
            (RequestPhase::Starting | RequestPhase::Running, None) => self
                .cost
                .prefill
                .saturating_sub(now.saturating_sub(self.started_at)),
        }
    }
}
