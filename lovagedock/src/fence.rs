//! Orders to an endpoint: only of the newest lease holder, one at a time.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    codes::ResultCode,
    ids::{Epoch, PoolId},
};

/// Orders that wait at most; a holder gives one at a time, so more are a fault.
const MAX_WAITING_ORDERS: usize = 16;

/// An order to the endpoint, as far as the fence needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// Pool whose lease gives the right to the order.
    pub pool: PoolId,
    /// Fencing number of the lease.
    pub epoch: Epoch,
    /// Counts the orders of one holder from 1.
    pub sequence: u64,
}

/// Something that concerns the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceEvent {
    /// A lease holder, or the store's lease object, says that this is a fencing number of a pool.
    Seen {
        /// The pool.
        pool: PoolId,
        /// Its fencing number.
        epoch: Epoch,
    },
    /// A lease holder gives an order.
    Order(FencedOrder),
    /// The endpoint is done with the order that was passed to it, well or badly.
    Finished(FencedOrder),
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceAction {
    /// Carry the order out and report its end.
    Pass(FencedOrder),
    /// Tell the holder that the order is not carried out.
    Refuse {
        /// The order.
        order: FencedOrder,
        /// Why.
        code: ResultCode,
        /// The newest fencing number seen; 0 when none is known.
        highest: Epoch,
    },
    /// Tell the holder that this order has passed already.
    Repeated(FencedOrder),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolMark {
    epoch: Epoch,
    sequence: u64,
}

/// Lets an order pass only if no newer lease holder is known.
///
/// A holder that was paused past the lapse of its lease goes on as if it held it; its late order
/// would undo what its successor did, for instance unload the model that the successor has just
/// loaded. Some endpoints check the fencing number themselves. For the others this gate is the
/// only check, and it is enough because every order takes this door. Orders pass one at a time,
/// since two that overlap on the endpoint could take effect in either order.
///
/// The mark is in memory only. After a restart nothing passes for a pool until a number has been
/// announced for it: an order of a former holder, sent to an earlier life, could otherwise come
/// first. Who announces a number must have found its lease valid after this life began.
#[derive(Debug, Default)]
pub struct FenceGate {
    marks: BTreeMap<PoolId, PoolMark>,
    passing: Option<FencedOrder>,
    waiting: VecDeque<FencedOrder>,
}

impl FenceGate {
    /// A gate that knows no fencing number and lets nothing pass.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on an event.
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

    /// The newest fencing number seen for a pool.
    pub fn highest(&self, pool: &str) -> Option<Epoch> {
        self.marks.get(pool).map(|mark| mark.epoch)
    }

    /// The order that the endpoint is carrying out.
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

    /// Looks at the fence again when an order's turn comes: while it waited, a newer holder may
    /// have shown itself.
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
