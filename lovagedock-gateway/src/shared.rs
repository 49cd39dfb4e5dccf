//! What request drivers share beside the context.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lovagedock::{RetryAllowance, RetryBudget, prelude::*};
use lovagedock_daemon::ShutdownSignal;
use parking_lot::Mutex;

use crate::{
    claims::ClaimDesk, context::GatewayContext, limits::LimitDesk, suspects::SuspectDesk,
    trail::TrailBook,
};

/// Shared by all drivers of a gateway; cheap to clone.
///
/// Lock order: the retry budgets and the trail book are leaves.
#[derive(Clone)]
pub(crate) struct GatewayShared {
    /// Configuration, fleet, clock.
    pub(crate) context: GatewayContext,
    /// What was decided about recent requests.
    pub(crate) trails: TrailBook,
    /// Claims of idempotency keys.
    pub(crate) claims: ClaimDesk,
    /// Limits of organisations.
    pub(crate) limits: LimitDesk,
    /// Requests that end engines.
    pub(crate) suspects: SuspectDesk,
    /// Tells that the gateway drains.
    pub(crate) shutdown: ShutdownSignal,
    /// Time that requests in flight get when it does.
    pub(crate) drain_time: Duration,
    budgets: Arc<Mutex<HashMap<ServiceId, RetryBudget>>>,
}

impl GatewayShared {
    /// Shared state of a gateway that has served nothing yet.
    pub(crate) fn new(
        context: GatewayContext,
        claims: ClaimDesk,
        limits: LimitDesk,
        suspects: SuspectDesk,
    ) -> Self {
        Self {
            context,
            trails: TrailBook::default(),
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

    /// Takes a retry from the service's budget, if there is one.
    pub(crate) fn take_retry(&self, service: &ServiceId, now: Timestamp) -> bool {
        self.with_budget(service, now, |budget| budget.try_take(now))
    }

    /// Counts a request that completed.
    pub(crate) fn record_success(&self, service: &ServiceId, now: Timestamp) {
        self.with_budget(service, now, |budget| budget.record_success(now));
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        now: Timestamp,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now, RetryAllowance::default()));
        act(budget)
    }
}
