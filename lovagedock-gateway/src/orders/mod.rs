//! Sends orders to the engines of the pools whose leases this gateway holds.
//!
//! One thread runs a task for each pool whose lease this gateway competes for. A task owns the
//! pool's [`LeaseHolder`](lovagedock::LeaseHolder) and [`OrderPlanner`](lovagedock::OrderPlanner)
//! and executes their decisions. Serving requests does not depend on it.

mod call;
mod pool;
mod status_table;

use std::{collections::BTreeMap, io, sync::Arc, thread, time::Duration};

use futures::future::join_all;
use lovagedock::{PoolKind, PoolSpec, pool_contenders, prelude::*};
use lovagedock_daemon::ShutdownSignal;
use lovagedock_platform::ObjectStore;
use slog::{Logger, warn};
use tokio::{
    runtime::{self, Handle},
    sync::{mpsc, watch},
    task::{JoinHandle, LocalSet, spawn_local},
    time::timeout,
};

pub(crate) use status_table::OrderStatusTable;

use crate::{
    active::ActiveConfig, connect::ConnectorFactory, context::GatewayContext, link::LinkTimes,
};
use pool::{PoolParts, PoolTask};

/// Number of gateways that compete for the lease of a pool: one holds it, the other can take over.
const CONTENDERS: usize = 2;
/// Time for releasing leases at shutdown; a lease that is not released expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Dependencies of the order thread.
pub(crate) struct DispatcherParts {
    /// Configuration and fleet.
    pub(crate) context: GatewayContext,
    /// The platform's store.
    pub(crate) store: Arc<dyn ObjectStore>,
    /// Opens connections to sidecars.
    pub(crate) connectors: ConnectorFactory,
    /// Intervals and timeouts of sessions.
    pub(crate) times: LinkTimes,
    /// Duration of a pool's lease.
    pub(crate) lease: Duration,
    /// Publishes each generation that comes into force.
    pub(crate) adopted: watch::Receiver<Generation>,
    /// Stops the thread.
    pub(crate) shutdown: ShutdownSignal,
    /// Log.
    pub(crate) log: Logger,
}

/// Handle of the order thread, which ends when the handle is dropped.
pub(crate) struct OrderDispatcher {
    status_table: OrderStatusTable,
    _stop: watch::Sender<()>,
}

impl OrderDispatcher {
    /// Starts the thread. Must be called on a runtime, which executes the store calls.
    pub(crate) fn start(parts: DispatcherParts) -> io::Result<Self> {
        let (stop, stopped) = watch::channel(());
        let status_table = OrderStatusTable::default();
        let worker = DispatcherWorker {
            parts,
            status_table: status_table.clone(),
            store_runtime: Handle::current(),
            pools: BTreeMap::new(),
        };
        thread::Builder::new()
            .name("orders".to_owned())
            .spawn(move || worker.run(stopped))?;
        Ok(Self {
            status_table,
            _stop: stop,
        })
    }

    /// Status of the orders, for operators.
    pub(crate) fn status_table(&self) -> OrderStatusTable {
        self.status_table.clone()
    }
}

/// The task of a pool; it releases its lease when the sender is dropped.
struct RunningPool {
    configs: mpsc::UnboundedSender<Arc<ActiveConfig>>,
    task: JoinHandle<()>,
}

struct DispatcherWorker {
    parts: DispatcherParts,
    status_table: OrderStatusTable,
    store_runtime: Handle,
    pools: BTreeMap<PoolId, RunningPool>,
}

impl DispatcherWorker {
    fn run(mut self, stopped: watch::Receiver<()>) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.parts.log, "cannot create the runtime for orders"; "error" => %error);
                return;
            }
        };
        LocalSet::new().block_on(&runtime, async {
            self.run_assignments(stopped).await;
            self.release_leases().await;
        });
    }

    async fn run_assignments(&mut self, mut stopped: watch::Receiver<()>) {
        let shutdown = self.parts.shutdown.clone();
        let mut adopted = self.parts.adopted.clone();
        loop {
            self.update_pool_tasks();
            tokio::select! {
                changed = adopted.changed() => if changed.is_err() { return },
                () = shutdown.wait() => return,
                _ = stopped.changed() => return,
            }
        }
    }

    async fn release_leases(&mut self) {
        let pools = std::mem::take(&mut self.pools).into_values();
        let ending = pools.map(|pool| {
            drop(pool.configs);
            pool.task
        });
        // A lease that is not released in time expires.
        let _late = timeout(RELEASE_TIMEOUT, join_all(ending)).await;
    }

    /// Starts and stops tasks so that each pool that this gateway competes for has one.
    fn update_pool_tasks(&mut self) {
        let active = self.parts.context.config.load_full();
        let own_pools: Vec<&PoolSpec> = active
            .fleet
            .pools
            .iter()
            .filter(|pool| self.competes_for_pool(&active.fleet, pool))
            .collect();
        self.pools
            .retain(|id, _| own_pools.iter().any(|pool| pool.id == *id));
        for pool in own_pools {
            if !self.pools.contains_key(&pool.id) {
                let running = self.start_pool(&pool.id);
                self.pools.insert(pool.id.clone(), running);
            }
            // The task ends only when its sender is dropped.
            let _running = self.pools[&pool.id].configs.send(Arc::clone(&active));
        }
    }

    fn competes_for_pool(&self, fleet: &FleetConfig, pool: &PoolSpec) -> bool {
        let PoolKind::Engines { .. } = pool.kind else {
            return false;
        };
        let gateways = fleet.gateways.iter().map(|gateway| &gateway.id);
        pool_contenders(&pool.id, gateways, CONTENDERS).contains(&&self.parts.context.name)
    }

    fn start_pool(&self, pool: &PoolId) -> RunningPool {
        let (configs, receiver) = mpsc::unbounded_channel();
        let task = PoolTask::new(PoolParts {
            pool: pool.clone(),
            context: self.parts.context.clone(),
            store: Arc::clone(&self.parts.store),
            store_runtime: self.store_runtime.clone(),
            connector: self.parts.connectors.connector(),
            times: self.parts.times,
            lease: self.parts.lease,
            status_table: self.status_table.clone(),
            log: self.parts.log.clone(),
        });
        RunningPool {
            configs,
            task: spawn_local(task.run(receiver)),
        }
    }
}
