//! The receiver's side of a lease.

use crate::ids::Epoch;

/// Highest fencing number that a receiver of orders has seen.
///
/// An order of a holder that was paused past its lapse arrives after those of its successor and
/// would undo them; its number is lower, so the receiver refuses it. The mark must outlive the
/// receiver's restart: it starts from the epoch in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceMark {
    highest: Epoch,
}

impl FenceMark {
    /// Starts from the epoch that the lease has in the store.
    pub fn new(highest: Epoch) -> Self {
        Self { highest }
    }

    /// Whether an order with this number may take effect; a higher number is remembered.
    pub fn admit(&mut self, epoch: Epoch) -> bool {
        if epoch < self.highest {
            return false;
        }
        self.highest = epoch;
        true
    }

    /// Highest number seen.
    pub fn highest(&self) -> Epoch {
        self.highest
    }
}
