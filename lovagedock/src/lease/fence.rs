//! The receiver's side of a lease.

use crate::ids::Epoch;

/// Highest fencing number that a receiver of orders has seen.
///
/// If a holder is paused beyond the end of its lease, its order can arrive after the orders of its
/// successor and would undo them. Its number is lower, so the receiver refuses it. The mark must
/// survive a restart of the receiver, so it starts from the epoch in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceMark {
    highest: Epoch,
}

impl FenceMark {
    /// Creates a mark from the epoch of the lease in the store.
    pub fn new(highest: Epoch) -> Self {
        Self { highest }
    }

    /// Returns whether an order with this number may take effect, and stores a higher number.
    pub fn admit(&mut self, epoch: Epoch) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }

    /// Returns the highest number seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }
}
