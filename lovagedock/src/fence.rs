//! Fencing of orders to an endpoint: only the newest lease holder may give orders, one at a time.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    codes::ResultCode,
    ids::{Epoch, PoolId},
};

/// Maximum number of waiting orders. A holder gives one order at a time, so more indicate a fault.
const MAX_WAITING_ORDERS: usize = 16;

/// The properties of an order to the endpoint that the fence needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// Pool whose lease authorises the order.
    pub pool: PoolId,
    /// Fencing number of the lease.
    pub epoch: Epoch,
    /// Sequence number of the order at its holder, starting at 1.
    pub sequence: u64,
}

/// An event that a fence gate reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceEvent {
    /// A lease holder or the lease object in the store announced a fencing number of a pool.
    Seen {
        /// The pool.
        pool: PoolId,
        /// Fencing number of the pool.
        epoch: Epoch,
    },
    /// A lease holder gives an order.
    Order(FencedOrder),
    /// The endpoint has finished the order that was passed to it, with or without success.
    Finished(FencedOrder),
}

/// An action that the daemon carries out for a fence gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// Carry out the order and report its end.
    Pass(FencedOrder),
    /// Report to the holder that the order is refused.
    Refuse {
        /// The order.
        order: FencedOrder,
        /// Reason for the refusal.
        code: ResultCode,
        /// The highest fencing number seen; 0 if none is known.
        highest: Epoch,
    },
    /// Report to the holder that this order repeats one that is waiting or has passed.
    Repeated(FencedOrder),
}

/// Highest fencing number seen for a pool, and the sequence number of the last order that passed
/// with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolMark {
    epoch: Epoch,
    sequence: u64,
}

/// Passes an order only if no newer lease holder is known.
///
/// A holder that was paused beyond the end of its lease continues as if it still held it. Its late
/// order would undo the work of its successor, for instance unload a model that the successor has
/// just loaded. Some endpoints check the fencing number themselves. For the others this gate is the
/// only check, and it is sufficient because every order goes through it. Orders pass one at a time,
/// since two orders that overlap on the endpoint could take effect in either order.
///
/// The highest number is kept in memory only. After a restart, no order passes for a pool until a
/// number has been announced for it. Otherwise an order that a former holder sent to an earlier
/// incarnation could arrive first. A process that announces a number must have found its lease
/// valid after this incarnation began.
#[derive(Debug, Default)]
pub struct FenceGate {
    marks: BTreeMap<PoolId, PoolMark>,
    passing: Option<FencedOrder>,
    waiting: VecDeque<FencedOrder>,
}

impl FenceGate {
    /// Creates a gate that knows no fencing number and passes no order.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: FenceEvent) -> Vec<FenceAction> {
        let mut actions = Vec::new();
        match event {
            FenceEvent::Seen { pool, epoch } => self.raise_mark(pool, epoch),
            FenceEvent::Order(order) => self.on_order(order, &mut actions),
            FenceEvent::Finished(order) => {
                if self.passing.as_ref() == Some(&order) {
                    self.passing = None;
                }
            }
        }
        self.pass_next(&mut actions);
        actions
    }

    /// Returns the highest fencing number seen for a pool.
    pub fn highest(&self, pool: &str) -> Option<Epoch> {
        self.marks.get(pool).map(|mark| mark.epoch)
    }

    /// Returns the order that the endpoint is carrying out.
    pub fn passing(&self) -> Option<&FencedOrder> {
        self.passing.as_ref()
    }

    fn raise_mark(&mut self, pool: PoolId, epoch: Epoch) {
        let first = PoolMark { epoch, sequence: 0 };
        let mark = self.marks.entry(pool).or_insert(first);
        *mark = (*mark).max(first);
    }

    fn on_order(&mut self, order: FencedOrder, actions: &mut Vec<FenceAction>) {
        let pending = self.passing.iter().chain(&self.waiting);
        if pending.into_iter().any(|other| *other == order) {
            actions.push(FenceAction::Repeated(order));
            return;
        }
        if let Some(refusal) = self.refusal(&order) {
            actions.push(refusal);
            return;
        }
        if self.waiting.len() >= MAX_WAITING_ORDERS {
            let highest = order.epoch;
            let code = ResultCode::TooManyStreams;
            actions.push(FenceAction::Refuse {
                order,
                code,
                highest,
            });
            return;
        }
        self.raise_mark(order.pool.clone(), order.epoch);
        self.waiting.push_back(order);
    }

    /// Passes the next order after checking it again, because a newer holder may have become known
    /// while it waited.
    fn pass_next(&mut self, actions: &mut Vec<FenceAction>) {
        while self.passing.is_none() {
            let Some(order) = self.waiting.pop_front() else {
                return;
            };
            if let Some(refusal) = self.refusal(&order) {
                actions.push(refusal);
                continue;
            }
            let mark = PoolMark {
                epoch: order.epoch,
                sequence: order.sequence,
            };
            self.marks.insert(order.pool.clone(), mark);
            self.passing = Some(order.clone());
            actions.push(FenceAction::Pass(order));
        }
    }

    fn refusal(&self, order: &FencedOrder) -> Option<FenceAction> {
        let Some(mark) = self.marks.get(&order.pool) else {
            return Some(FenceAction::Refuse {
                order: order.clone(),
                code: ResultCode::StoreUnavailable,
                highest: 0,
            });
        };
        if order.epoch < mark.epoch {
            return Some(FenceAction::Refuse {
                order: order.clone(),
                code: ResultCode::FenceStale,
                highest: mark.epoch,
            });
        }
        let passed = order.epoch == mark.epoch && order.sequence <= mark.sequence;
        passed.then(|| FenceAction::Repeated(order.clone()))
    }
}
