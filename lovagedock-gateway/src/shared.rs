//! State that request drivers share in addition to the context.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lovagedock::{RequestTiming, RetryAllowance, RetryBudget, prelude::*};
use lovagedock_daemon::ShutdownSignal;
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::{
    claims::ClaimCoordinator, context::GatewayContext, limits::OrganisationLimiter,
    suspects::SuspectTracker, trail::RequestTrails,
};

/// State shared by all request drivers of a gateway; cheap to clone.
///
/// Lock order: the retry budgets and the request trails are leaves.
#[derive(Clone)]
pub(crate) struct GatewayShared {
    /// Configuration, fleet, clock.
    pub(crate) context: GatewayContext,
    /// Decisions about recent requests.
    pub(crate) trails: RequestTrails,
    /// Claims of idempotency keys.
    pub(crate) claims: ClaimCoordinator,
    /// Usage limits of organisations.
    pub(crate) limits: OrganisationLimiter,
    /// Requests that may have caused engines to exit.
    pub(crate) suspects: SuspectTracker,
    /// Signals that the gateway drains.
    pub(crate) shutdown: ShutdownSignal,
    drain_time: Duration,
    budgets: Arc<Mutex<HashMap<ServiceId, RetryBudget>>>,
}

impl GatewayShared {
    /// Creates the shared state of a gateway that has not served any request.
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

    /// Sets the drain signal and the time that requests in flight have after it.
    pub(crate) fn with_shutdown(mut self, shutdown: ShutdownSignal, drain_time: Duration) -> Self {
        self.shutdown = shutdown;
        self.drain_time = drain_time;
        self
    }

    /// Remaining time for requests in flight; the full drain time while the gateway is not
    /// draining.
    pub(crate) fn remaining_drain_time(&self) -> Duration {
        self.drain_time
            .saturating_sub(self.shutdown.time_since_trigger())
    }

    /// Returns when the gateway drains and the drain time is over.
    pub(crate) async fn wait_for_drain_end(&self) {
        self.shutdown.wait().await;
        sleep(self.remaining_drain_time()).await;
    }

    /// The deadline, or the end of the drain if the gateway drains and that is earlier.
    pub(crate) fn limit_to_drain(&self, deadline: Timestamp) -> Timestamp {
        if !self.shutdown.is_triggered() {
            return deadline;
        }
        let left = self.remaining_drain_time();
        deadline.min(self.context.clock.now() + left)
    }

    /// Whether a request that fails now, before its deadline, was cut by the end of the drain.
    ///
    /// A sidecar ends a request a little earlier than its gateway, so that its result arrives in
    /// time.
    pub(crate) fn is_cut_by_drain(&self, deadline: Timestamp) -> bool {
        let margin = RequestTiming::default().answer_margin;
        self.shutdown.is_triggered()
            && self.remaining_drain_time() <= margin
            && self.context.clock.now() + margin < deadline
    }

    /// Consumes a retry from the service's budget; false if none is left.
    pub(crate) fn consume_retry(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.with_retry_budget(service, now, |budget| budget.try_consume(now))
    }

    /// Records a completed request in the service's retry budget.
    pub(crate) fn record_success(&self, service: &ServiceId, now: Timestamp) {
        self.with_retry_budget(service, now, |budget| budget.record_success(now));
    }

    fn with_retry_budget<T>(
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
