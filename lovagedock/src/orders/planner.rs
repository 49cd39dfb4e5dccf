//! State machine that gives the orders of one pool.

use std::collections::BTreeMap;

use super::{
    artifact::{ArtifactSet, LoadOrder},
    endpoint::{PoolEndpoint, SentCall},
    types::{OrderAction, OrderAnswer, OrderEvent, OrderLimits, OrderStatus},
};
use crate::{
    codes::ResultCode,
    ids::{EndpointId, Epoch, Timestamp},
};

/// Compares the artifacts that the engines of a pool have loaded with the configuration and orders
/// the missing ones, a few engines at a time.
///
/// Every call requires the pool's lease. A new holder polls each engine before it gives it an
/// order. The poll announces the fencing number, so that no former holder can change the engine
/// after the reported state.
#[derive(Debug)]
pub struct OrderPlanner {
    limits: OrderLimits,
    lease: Option<PlannerLease>,
    /// Highest fencing number of another holder that a sidecar has reported. Leases of this process
    /// up to this number are not used, even if they are valid by its own clock.
    superseded: Epoch,
    wanted: Option<ArtifactSet>,
    endpoints: BTreeMap<EndpointId, PoolEndpoint>,
    sequence: u64,
    wake_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct PlannerLease {
    epoch: Epoch,
    expires_at: Timestamp,
}

impl OrderPlanner {
    /// Creates a planner without a lease or a configuration.
    pub fn new(limits: OrderLimits) -> Self {
        Self {
            limits,
            lease: None,
            superseded: 0,
            wanted: None,
            endpoints: BTreeMap::new(),
            sequence: 0,
            wake_at: None,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Lease { epoch, expires_at } => self.set_lease(epoch, expires_at),
            OrderEvent::LeaseLost => self.lease = None,
            OrderEvent::Configure { wanted, endpoints } => self.configure(wanted, endpoints),
            OrderEvent::Answered {
                endpoint,
                sequence,
                answer,
            } => self.on_answered(now, &endpoint, sequence, answer),
            OrderEvent::Tick => {}
        }
        let mut actions = Vec::new();
        self.drive(now, &mut actions);
        self.schedule_wake(now, &mut actions);
        actions
    }

    /// Returns the state for a dump, or `None` before the first configuration.
    pub fn status(&self) -> Option<OrderStatus> {
        let wanted = self.wanted.clone()?;
        let endpoints = self.endpoints.values();
        let met = endpoints.filter(|endpoint| self.next_load_order(endpoint).is_none());
        let met = met.filter(|endpoint| endpoint.loaded.is_some()).count();
        let failed = self.endpoints.iter().filter(|(_, it)| self.has_failed(it));
        Some(OrderStatus {
            met,
            loading: self.loading_count(),
            failed: failed.map(|(id, _)| id.clone()).collect(),
            wanted,
        })
    }

    fn set_lease(&mut self, epoch: Epoch, expires_at: Timestamp) {
        if epoch <= self.superseded {
            return;
        }
        let is_new = self.lease.is_none_or(|lease| lease.epoch != epoch);
        self.lease = Some(PlannerLease { epoch, expires_at });
        if is_new {
            // Another holder may have changed the engines since the last reports.
            self.endpoints.values_mut().for_each(PoolEndpoint::reset);
        }
    }

    fn configure(&mut self, wanted: ArtifactSet, endpoints: Vec<EndpointId>) {
        if self.wanted.as_ref() != Some(&wanted) {
            self.endpoints.values_mut().for_each(PoolEndpoint::reset);
        }
        self.wanted = Some(wanted);
        self.endpoints.retain(|id, _| endpoints.contains(id));
        for endpoint in endpoints {
            self.endpoints.entry(endpoint).or_default();
        }
    }

    fn on_answered(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        sequence: u64,
        answer: OrderAnswer,
    ) {
        if answer.code == ResultCode::FenceStale {
            self.yield_lease(&answer);
        }
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let Some(sent) = endpoint.call.take_if(|call| call.sequence == sequence) else {
            return;
        };
        endpoint.apply_answer(now, &sent, answer, &self.limits);
    }

    /// Stops using the lease because a sidecar has seen a later holder. The clock or the store of
    /// this process is wrong, so it gives no more orders under this lease.
    fn yield_lease(&mut self, answer: &OrderAnswer) {
        let highest = answer.report.as_ref().map_or(0, |report| report.highest);
        if self.lease.is_some_and(|lease| lease.epoch < highest) {
            self.superseded = highest;
            self.lease = None;
        }
    }

    fn drive(&mut self, now: Timestamp, actions: &mut Vec<OrderAction>) {
        // The process may have been paused beyond the end of the lease.
        let Some(lease) = self.lease.filter(|lease| now < lease.expires_at) else {
            return;
        };
        let names: Vec<EndpointId> = self.endpoints.keys().cloned().collect();
        for name in names {
            let endpoint = &self.endpoints[&name];
            if endpoint.call.is_some() || now < endpoint.retry_at {
                continue;
            }
            let needs_poll = endpoint.loaded.is_none() || now >= endpoint.poll_at;
            let order = self.next_load_order(endpoint).filter(|_| !needs_poll);
            let may_load = order
                .as_ref()
                .is_some_and(|order| self.within_limits(&name, order));
            if needs_poll || may_load {
                self.send(lease.epoch, name, order, actions);
            }
        }
    }

    fn send(
        &mut self,
        epoch: Epoch,
        name: EndpointId,
        order: Option<LoadOrder>,
        actions: &mut Vec<OrderAction>,
    ) {
        self.sequence += 1;
        let sequence = self.sequence;
        if let Some(endpoint) = self.endpoints.get_mut(&name) {
            let order = order.clone();
            endpoint.call = Some(SentCall { sequence, order });
        }
        actions.push(OrderAction::Send {
            endpoint: name,
            epoch,
            sequence,
            order,
        });
    }

    fn next_load_order(&self, endpoint: &PoolEndpoint) -> Option<LoadOrder> {
        let loaded = endpoint.loaded.as_ref()?;
        self.wanted.as_ref()?.first_missing(loaded)
    }

    fn loading_count(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints.filter(|endpoint| endpoint.is_loading()).count()
    }

    fn has_failed(&self, endpoint: &PoolEndpoint) -> bool {
        let is_met = endpoint.loaded.is_some() && self.next_load_order(endpoint).is_none();
        endpoint.model_failed && !is_met
    }

    fn is_out_of_service(&self, endpoint: &PoolEndpoint) -> bool {
        endpoint.is_replacing() || self.has_failed(endpoint)
    }

    /// Whether one more load stays within the limits.
    ///
    /// All engines of a pool lack a new version at the same time. Without the limit on loads, all
    /// of them would read from the weight store at once and be refused by its rate limit. Without
    /// the limit on replaced models, no engine would be left to serve, and weights that do not load
    /// would take down the whole pool. A failed engine counts as out of service until it has loaded
    /// its model, so a bad version does not spread to further engines.
    fn within_limits(&self, name: &EndpointId, order: &LoadOrder) -> bool {
        if self.endpoints[name].busy || self.loading_count() >= self.limits.max_loads {
            return false;
        }
        if !order.replaces_model() {
            return true;
        }
        let others = self.endpoints.iter().filter(|(id, _)| *id != name);
        let out_of_service = others.filter(|(_, endpoint)| self.is_out_of_service(endpoint));
        let max_replaced = self.endpoints.len() * self.limits.max_replaced_percent / 100;
        out_of_service.count() < max_replaced.max(1)
    }

    fn schedule_wake(&mut self, now: Timestamp, actions: &mut Vec<OrderAction>) {
        let held = self.lease.filter(|lease| now < lease.expires_at);
        let idle = self.endpoints.values().filter(|it| it.call.is_none());
        let due =
            idle.map(
                |endpoint| match endpoint.loaded.is_some() && endpoint.retry_at <= now {
                    true => endpoint.poll_at,
                    false => endpoint.retry_at,
                },
            );
        let next = due.filter(|at| *at > now).min().filter(|_| held.is_some());
        if next != self.wake_at {
            self.wake_at = next;
            actions.extend(next.map(OrderAction::WakeAt));
        }
    }
}
