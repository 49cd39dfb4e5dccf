//! What request drivers share beside the context.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lovagedock::{RequestTiming, RetryAllowance, RetryBudget, prelude::*};
use lovagedock_daemon::ShutdownSignal;
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::{
    claims::ClaimCoordinator, context::GatewayContext, limits::OrganisationLimiter,
    suspects::SuspectTracker, trail::RequestTrails,
};

/// Shared by all drivers of a gateway; cheap to clone.
///
/// Lock order: the retry budgets and the trail book are leaves.
#[derive(Clone)]
pub(crate) struct GatewayShared {
    /// Configuration, fleet, clock.
    pub(crate) context: GatewayContext,
    /// What was decided about recent requests.
    pub(crate) trails: RequestTrails,
    /// Claims of idempotency keys.
    pub(crate) claims: ClaimCoordinator,
    /// Limits of organisations.
    pub(crate) limits: OrganisationLimiter,
    /// Requests that end engines.
    pub(crate) suspects: SuspectTracker,
    /// Tells that the gateway drains.
    pub(crate) shutdown: ShutdownSignal,
    drain_time: Duration,
    budgets: Arc<Mutex<HashMap<ServiceId, RetryBudget>>>,
}

impl GatewayShared {
    /// Shared state of a gateway that has served nothing yet.
    pub(crate) fn new(
        context: GatewayContext,
        claims: ClaimCoordinator,
        limits: OrganisationLimiter,
        suspects: SuspectTracker,
    ) -> Self {
        Self {
            context,
            trails: RequestTrails::default(),
            claims,
            limits,
            suspects,
            shutdown: ShutdownSignal::new(),
            drain_time: Duration::ZERO,
            budgets: Arc::default(),
        }
    }

    /// Sets what tells that the gateway drains, and how long requests in flight get then.
    pub(crate) fn with_shutdown(mut self, shutdown: ShutdownSignal, drain_time: Duration) -> Self {
        self.shutdown = shutdown;
        self.drain_time = drain_time;
        self
    }

    /// Time that requests in flight still get; all of the drain time while the gateway serves.
    pub(crate) fn remaining_drain_time(&self) -> Duration {
        self.drain_time
            .saturating_sub(self.shutdown.time_since_trigger())
    }

    /// Ends when the gateway drains and its requests have no time left.
    pub(crate) async fn drain_expired(&self) {
        self.shutdown.wait().await;
        sleep(self.remaining_drain_time()).await;
    }

    /// A deadline, or the end of the drain if the gateway drains and that comes first.
    pub(crate) fn limit_to_drain(&self, deadline: Timestamp) -> Timestamp {
        if !self.shutdown.is_triggered() {
            return deadline;
        }
        let left = self.remaining_drain_time();
        deadline.min(self.context.clock.now() + left)
    }

    /// Whether a request that ends now, in vain and before its deadline, ends with the drain.
    ///
    /// A sidecar gives up a little earlier than its gateway, so that its word arrives in time.
    pub(crate) fn is_cut_by_drain(&self, deadline: Timestamp) -> bool {
        let margin = RequestTiming::default().answer_margin;
        self.shutdown.is_triggered()
            && self.remaining_drain_time() <= margin
            && self.context.clock.now() + margin < deadline
    }

    /// Takes a retry from the service's budget, if there is one.
    pub(crate) fn consume_retry(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.with_budget(service, now, |budget| budget.try_consume(now))
    }

    /// Counts a request that completed.
    pub(crate) fn record_success(&self, service: &ServiceId, now: Timestamp) {
        self.with_budget(service, now, |budget| budget.record_success(now));
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        now: Timestamp,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, RetryAllowance::default()));
        action(budget)
    }
}
