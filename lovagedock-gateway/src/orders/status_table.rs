//! What operators see of leases and orders.

use std::{collections::BTreeMap, sync::Arc};

use lovagedock::{LeaseStatus, OrderStatus, prelude::*};
use parking_lot::Mutex;
use serde::Serialize;

/// Lease and orders of one pool.
#[derive(Clone, Serialize)]
pub(crate) struct PoolOrderStatus {
    /// The lease, as this gateway sees it.
    pub(crate) lease: LeaseStatus,
    /// What engines have to load; absent before a configuration.
    pub(crate) orders: Option<OrderStatus>,
}

/// The pools that this gateway competes for; cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct OrderStatusTable {
    pools: Arc<Mutex<BTreeMap<PoolId, PoolOrderStatus>>>,
}

impl OrderStatusTable {
    pub(crate) fn set(&self, pool: &PoolId, orders: PoolOrderStatus) {
        self.pools.lock().insert(pool.clone(), orders);
    }

    pub(crate) fn remove(&self, pool: &PoolId) {
        self.pools.lock().remove(pool);
    }

    /// Copy of everything.
    pub(crate) fn pools(&self) -> BTreeMap<PoolId, PoolOrderStatus> {
        self.pools.lock().clone()
    }
}
