//! The task that holds one pool's lease and sends its orders.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use lovagedock::{
    ArtifactSet, LeaseAction, LeaseEvent, LeaseHolder, LeaseLimits, LoadOrder, OrderAction,
    OrderEvent, OrderLimits, OrderPlanner, PoolKind, prelude::*,
};
use lovagedock_platform::{CallPurpose, ObjectStore};
use lovagedock_wire::OrderMessage;
use slog::{Logger, info};
use tokio::{runtime::Handle, sync::mpsc, task::spawn_local, time::sleep_until};

use super::{
    call::SidecarCall,
    status_table::{OrderStatusTable, PoolOrderStatus},
};
use crate::{
    active::ActiveConfig, connect::Connector, context::GatewayContext, link::LinkTimes, store_calls,
};

/// Maximum sleep before the wake times are checked again.
const MAX_SLEEP: Duration = Duration::from_secs(3_600);

/// Dependencies of a pool's task.
pub(super) struct PoolParts {
    pub(super) pool: PoolId,
    pub(super) context: GatewayContext,
    pub(super) store: Arc<dyn ObjectStore>,
    /// Runtime of the store's connections, which are shared with other parts of the gateway.
    pub(super) store_runtime: Handle,
    pub(super) connector: Rc<dyn Connector>,
    pub(super) times: LinkTimes,
    pub(super) lease: Duration,
    pub(super) status_table: OrderStatusTable,
    pub(super) log: Logger,
}

enum PoolEvent {
    Lease(LeaseEvent),
    Order(OrderEvent),
}

pub(super) struct PoolTask {
    parts: PoolParts,
    holder: Rc<RefCell<LeaseHolder>>,
    planner: OrderPlanner,
    addresses: HashMap<EndpointId, SocketAddr>,
    generation: Generation,
    lease_wake: Timestamp,
    order_wake: Timestamp,
    sender: mpsc::UnboundedSender<PoolEvent>,
    events: mpsc::UnboundedReceiver<PoolEvent>,
}

impl PoolTask {
    /// Creates a task without a configuration.
    pub(super) fn new(parts: PoolParts) -> Self {
        let limits = LeaseLimits {
            duration: parts.lease,
            ..LeaseLimits::default()
        };
        let object = format!("leases/pools/{}", parts.pool).into();
        let holder = LeaseHolder::new(object, parts.context.incarnation, limits);
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            parts,
            holder: Rc::new(RefCell::new(holder)),
            planner: OrderPlanner::new(OrderLimits::default()),
            addresses: HashMap::new(),
            generation: 0,
            lease_wake: Timestamp::MAX,
            order_wake: Timestamp::MAX,
            sender,
            events,
        }
    }

    /// Runs until the sender of configurations is dropped, then releases the lease.
    pub(super) async fn run(mut self, mut configs: mpsc::UnboundedReceiver<Arc<ActiveConfig>>) {
        self.handle_lease_event(LeaseEvent::Want);
        loop {
            let latest = self.parts.context.clock.now() + MAX_SLEEP;
            let wake = self.lease_wake.min(self.order_wake).min(latest);
            let wake = self.parts.context.clock.instant_at(wake);
            tokio::select! {
                active = configs.recv() => match active {
                    Some(active) => self.configure(&active),
                    None => break,
                },
                Some(event) = self.events.recv() => self.handle_event(event),
                () = sleep_until(wake.into()) => self.tick(),
            }
            self.publish_status();
        }
        self.release_lease().await;
        self.parts.status_table.remove(&self.parts.pool);
    }

    fn handle_event(&mut self, event: PoolEvent) {
        match event {
            PoolEvent::Lease(event) => self.handle_lease_event(event),
            PoolEvent::Order(event) => self.handle_order_event(event),
        }
    }

    fn tick(&mut self) {
        self.lease_wake = Timestamp::MAX;
        self.order_wake = Timestamp::MAX;
        self.handle_lease_event(LeaseEvent::Tick);
        self.handle_order_event(OrderEvent::Tick);
    }

    fn publish_status(&self) {
        let lease = self.holder.borrow().status(self.parts.context.clock.now());
        let orders = self.planner.status();
        self.parts
            .status_table
            .set(&self.parts.pool, PoolOrderStatus { lease, orders });
    }

    fn configure(&mut self, active: &ActiveConfig) {
        let mut pools = active.fleet.pools.iter();
        let Some(pool) = pools.find(|pool| pool.id == self.parts.pool) else {
            return;
        };
        let PoolKind::Engines { model } = &pool.kind else {
            return;
        };
        let mut models = active.fleet.models.iter();
        let Some(model) = models.find(|spec| spec.id == *model) else {
            return;
        };
        self.generation = active.generation;
        let endpoints = pool.endpoints.iter();
        self.addresses = endpoints
            .map(|spec| (spec.id.clone(), spec.sidecar))
            .collect();
        self.handle_order_event(OrderEvent::Configure {
            wanted: ArtifactSet::wanted(model),
            endpoints: pool.endpoints.iter().map(|spec| spec.id.clone()).collect(),
        });
    }

    fn handle_lease_event(&mut self, event: LeaseEvent) {
        let now = self.parts.context.clock.now();
        let actions = self.holder.borrow_mut().handle(now, event);
        for action in actions {
            self.execute_lease_action(action);
        }
    }

    fn execute_lease_action(&mut self, action: LeaseAction) {
        let pool = &*self.parts.pool;
        match action {
            LeaseAction::WakeAt(at) => self.lease_wake = at,
            LeaseAction::Acquired { epoch, expires_at } => {
                info!(self.parts.log, "lease acquired"; "pool" => pool, "epoch" => epoch);
                self.handle_order_event(OrderEvent::Lease { epoch, expires_at });
            }
            LeaseAction::Renewed { epoch, expires_at } => {
                self.handle_order_event(OrderEvent::Lease { epoch, expires_at });
            }
            LeaseAction::Lost { epoch } => {
                info!(self.parts.log, "lease lost"; "pool" => pool, "epoch" => epoch);
                self.handle_order_event(OrderEvent::LeaseLost);
            }
            call @ (LeaseAction::Read { .. } | LeaseAction::Write { .. }) => {
                let sender = self.sender.clone();
                let calling = execute_store_call(Arc::clone(&self.parts.store), call);
                self.parts.store_runtime.spawn(async move {
                    if let Some(event) = calling.await {
                        // The send fails only if the task has ended.
                        let _ended = sender.send(PoolEvent::Lease(event));
                    }
                });
            }
        }
    }

    fn handle_order_event(&mut self, event: OrderEvent) {
        let now = self.parts.context.clock.now();
        for action in self.planner.handle(now, event) {
            match action {
                OrderAction::WakeAt(at) => self.order_wake = at,
                OrderAction::Send {
                    endpoint,
                    epoch,
                    sequence,
                    order,
                } => self.call_sidecar(endpoint, epoch, sequence, order),
            }
        }
    }

    fn call_sidecar(
        &self,
        endpoint: EndpointId,
        epoch: Epoch,
        sequence: u64,
        order: Option<LoadOrder>,
    ) {
        let Some(address) = self.addresses.get(&endpoint).copied() else {
            // Cannot happen: the planner's endpoints and the addresses come from the same
            // configuration.
            return;
        };
        let context = &self.parts.context;
        let call = SidecarCall {
            endpoint: endpoint.clone(),
            address,
            message: OrderMessage {
                pool: self.parts.pool.clone(),
                epoch,
                sequence,
                generation: self.generation,
                order,
            },
            connector: Rc::clone(&self.parts.connector),
            identity: context.identity(self.generation),
            times: self.parts.times,
            holder: Rc::clone(&self.holder),
            clock: context.clock,
            log: self.parts.log.clone(),
        };
        let sender = self.sender.clone();
        spawn_local(async move {
            let answered = OrderEvent::Answered {
                endpoint,
                sequence,
                answer: call.run().await,
            };
            let _ended = sender.send(PoolEvent::Order(answered));
        });
    }

    /// Releases the lease, so that the other contender finds it free at its next read and does not
    /// have to wait for it to expire.
    async fn release_lease(&mut self) {
        let now = self.parts.context.clock.now();
        let actions = self.holder.borrow_mut().handle(now, LeaseEvent::Release);
        for action in actions {
            if matches!(action, LeaseAction::Write { .. }) {
                let calling = execute_store_call(Arc::clone(&self.parts.store), action);
                // If the write fails, the lease expires.
                let _expires = self.parts.store_runtime.spawn(calling).await;
            }
        }
    }
}

/// Executes a store call; `None` for other actions.
async fn execute_store_call(
    store: Arc<dyn ObjectStore>,
    action: LeaseAction,
) -> Option<LeaseEvent> {
    let purpose = CallPurpose::Lease;
    match action {
        LeaseAction::Read { object } => {
            let outcome = store_calls::read(&*store, &object, purpose).await;
            Some(LeaseEvent::StoreReadEnded(outcome))
        }
        LeaseAction::Write {
            object,
            condition,
            bytes,
            nonce,
        } => {
            let outcome = store_calls::write(&*store, &object, bytes, condition, purpose).await;
            Some(LeaseEvent::StoreWriteEnded { nonce, outcome })
        }
        _ => None,
    }
}
