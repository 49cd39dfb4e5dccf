//! Scheduled returns of refused requests.

use std::time::Duration;

use lovagedock::{
    FlowKey, FlowLane, QueueKind, RefusedRequest, RequestFingerprint, ReturnDecision,
    ReturnOutcome, ReturnUpdate, prelude::*, service_tag,
};
use serde::Serialize;

use super::{GatewayState, flows::flow_key};

/// Returns of one service and lane that are due, by this gateway's knowledge.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct ReturnReport {
    pub(crate) service: String,
    pub(crate) lane: &'static str,
    /// Returns in each of the next slots of 100 ms.
    pub(crate) slots: Vec<u32>,
}

/// When the caller of a refused request is told to return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReturnAdvice {
    pub(crate) delay: Duration,
    pub(crate) is_scheduled: bool,
    /// Wait that is expected for a new request, if the flow over all gateways is known.
    pub(crate) expected_wait: Option<Duration>,
}

/// A request that is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) queue: QueueKind,
    pub(crate) fingerprint: RequestFingerprint,
    /// Time until its deadline.
    pub(crate) time_left: Duration,
    /// Time until which it cannot be placed.
    pub(crate) unavailable_for: Duration,
    /// Whether its caller will return once more.
    pub(crate) may_return: bool,
    /// Delay of a request that is not scheduled.
    pub(crate) unscheduled_delay: Duration,
}

impl GatewayState {
    /// Counts a refusal for lack of capacity, and schedules the return of the request if the flow over
    /// all gateways is known.
    pub(crate) fn advise_return(&self, refusal: &Refusal<'_>) -> ReturnAdvice {
        let mut advice = ReturnAdvice {
            delay: refusal.unscheduled_delay,
            is_scheduled: false,
            expected_wait: None,
        };
        if !self.overload.scheduled_returns {
            return advice;
        }
        let now = self.clock.now();
        let key = flow_key(refusal.service, refusal.queue);
        let settings = refusal.queue.settings();
        let mut fleet = self.fleet.lock();
        fleet.flow.record_refusal(now, key);
        let Some(totals) = fleet.flow_totals(now, refusal.service, refusal.queue) else {
            return advice;
        };
        let wait = totals.expected_wait(settings.min_rate);
        advice.expected_wait = wait;
        if !refusal.may_return {
            return advice;
        }
        let min_delay = settings.min_retry_after.max(refusal.unavailable_for);
        let request = RefusedRequest {
            fingerprint: refusal.fingerprint,
            key,
            min_delay: min_delay.max(wait.unwrap_or_default()),
            max_delay: refusal.time_left.mul_f64(settings.max_retry_share),
        };
        match fleet
            .returns
            .schedule(now, &request, &totals, rand::random())
        {
            ReturnDecision::Scheduled(delay) => {
                metrics::counter!("lovagedock_returns_scheduled_total").increment(1);
                advice.delay = delay;
                advice.is_scheduled = true;
            }
            ReturnDecision::NoRoom => {
                advice.delay = request.max_delay.max(refusal.unavailable_for);
            }
            ReturnDecision::NotSchedulable => {}
        }
        drop(fleet);
        if advice.is_scheduled {
            self.urgent_update.notify_one();
        }
        advice
    }

    /// Records that a request arrives, and returns how it returns if it has a schedule.
    pub(crate) fn record_return(&self, fingerprint: RequestFingerprint) -> Option<ReturnOutcome> {
        if !self.overload.scheduled_returns {
            return None;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let outcome = fleet.returns.record_return(now, fingerprint)?;
        let has_unsent = fleet.returns.has_unsent();
        drop(fleet);
        metrics::counter!("lovagedock_returns_total", "outcome" => outcome.as_str()).increment(1);
        if has_unsent {
            self.urgent_update.notify_one();
        }
        Some(outcome)
    }

    /// Returns the changes of scheduled returns that are due to be sent to peers.
    pub(crate) fn take_return_updates(&self) -> Vec<ReturnUpdate> {
        if !self.overload.scheduled_returns {
            return Vec::new();
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let updates = fleet.returns.take_updates(now);
        if fleet.returns.has_unsent() {
            self.urgent_update.notify_one();
        }
        updates
    }

    /// Applies changes of scheduled returns that a peer reported.
    pub(crate) fn apply_peer_returns(&self, updates: Vec<ReturnUpdate>) {
        if !self.overload.scheduled_returns || updates.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        for update in &updates {
            fleet.returns.apply_update(now, update);
        }
    }

    /// Returns the scheduled returns of each service and lane.
    pub(crate) fn return_report(&self) -> Vec<ReturnReport> {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let service = |key: FlowKey| {
            let mut services = fleet.services.keys();
            services.find(|service| service_tag(service) == key.0)
        };
        let slots = fleet.returns.slots(now);
        let reports = slots.filter_map(|(key, slots): ((u32, FlowLane), _)| {
            Some(ReturnReport {
                service: service(key)?.to_string(),
                lane: key.1.as_str(),
                slots,
            })
        });
        reports.collect()
    }
}
