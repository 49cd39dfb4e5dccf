//! A request that waits or runs.

use std::time::Duration;

use crate::{
    endpoint::{messages::WorkOrder, speed::RunCost},
    ids::{Timestamp, TokenCount},
    outcome::AttemptKey,
};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// It waits; it has not run.
    Queued,
    /// The engine was told to start it and has not confirmed; it may be running.
    Starting,
    /// The engine works on it.
    Running,
}

/// A request that was accepted and has not ended.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    /// The newest attempt; its sink takes the answer.
    pub(crate) key: AttemptKey,
    /// The attempt that was started on the engine.
    pub(crate) started: Option<AttemptKey>,
    /// The order.
    pub(crate) order: WorkOrder,
    /// How far it has come.
    pub(crate) phase: RequestPhase,
    /// Memory that it needs.
    pub(crate) need: TokenCount,
    /// What it is predicted to take.
    pub(crate) cost: RunCost,
    /// When it has to have ended.
    pub(crate) deadline: Timestamp,
    /// When something is to be decided about it next.
    pub(crate) due: Timestamp,
    /// Since when nobody takes the answer.
    pub(crate) sink_lost: Option<Timestamp>,
    /// When the engine was told to start it.
    pub(crate) started_at: Timestamp,
    /// When the first bytes came.
    pub(crate) first_bytes_at: Option<Timestamp>,
    /// Bytes of the answer so far.
    pub(crate) delivered: u64,
}

impl RequestEntry {
    /// A request that begins to wait.
    pub(crate) fn new(
        now: Timestamp,
        order: WorkOrder,
        need: TokenCount,
        cost: RunCost,
        deadline: Timestamp,
    ) -> Self {
        Self {
            key: order.key,
            started: None,
            order,
            phase: RequestPhase::Queued,
            need,
            cost,
            deadline,
            due: deadline,
            sink_lost: None,
            started_at: now,
            first_bytes_at: None,
            delivered: 0,
        }
    }

    /// Whether it waits.
    pub(crate) fn is_queued(&self) -> bool {
        self.phase == RequestPhase::Queued
    }

    /// Whether the loss of its sink ends it. A non-idempotent request that has started goes on,
    /// so that its answer can be recorded for the caller's next try.
    pub(crate) fn ends_without_sink(&self) -> bool {
        self.is_queued() || !self.order.non_idempotent
    }

    /// The last moment at which a start can still meet the deadline, for a request that waits.
    pub(crate) fn latest_start(&self) -> Option<Timestamp> {
        let total = self.cost.total();
        if !self.is_queued() || total.is_zero() {
            return None;
        }
        Some(self.deadline.saturating_sub(total))
    }

    /// Prefill time that is predicted to be left.
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
