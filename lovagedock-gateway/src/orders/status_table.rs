//! Status of leases and orders, for operators.

use std::{collections::BTreeMap, sync::Arc};

use lovagedock::{LeaseStatus, OrderStatus, prelude::*};
use parking_lot::Mutex;
use serde::Serialize;

/// Status of the lease and the orders of one pool.
#[derive(Clone, Serialize)]
pub(crate) struct PoolOrderStatus {
    /// The lease, as this gateway sees it.
    pub(crate) lease: LeaseStatus,
    /// Status of the orders; absent before the first configuration.
    pub(crate) orders: Option<OrderStatus>,
}

/// Status of each pool whose lease this gateway competes for; cheap to clone.
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

    /// A copy of all entries.
    pub(crate) fn pools(&self) -> BTreeMap<PoolId, PoolOrderStatus> {
        self.pools.lock().clone()
    }
}
