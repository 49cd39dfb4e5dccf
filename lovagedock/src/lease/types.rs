//! Events, actions and limits of a lease.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    ids::{Epoch, Timestamp},
    store_call::{ObjectName, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

/// An event that a lease holder reacts to.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// This process contends for the lease from now on.
    Want,
    /// This process releases the lease, or no longer contends for it.
    Release,
    /// A read of the lease's object ended.
    StoreReadEnded(ReadOutcome),
    /// A write of the lease's object ended.
    StoreWriteEnded {
        /// Nonce of the action.
        nonce: WriteNonce,
        /// Result of the write.
        outcome: WriteOutcome,
    },
    /// The time of the last [`LeaseAction::WakeAt`] is due.
    Tick,
}

/// An action to carry out for a lease holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease's object and report [`LeaseEvent::StoreReadEnded`].
    Read {
        /// Name of the object.
        object: ObjectName,
    },
    /// Write the lease's object and report [`LeaseEvent::StoreWriteEnded`].
    Write {
        /// Name of the object.
        object: ObjectName,
        /// Condition for the write.
        condition: WriteCondition,
        /// The new value.
        bytes: Bytes,
        /// Identifies this write in [`LeaseEvent::StoreWriteEnded`].
        nonce: WriteNonce,
    },
    /// The lease is held. Call [`super::LeaseHolder::fence`] before each order.
    Acquired {
        /// Fencing number of all orders.
        epoch: Epoch,
        /// When the lease expires unless it is renewed.
        expires_at: Timestamp,
    },
    /// The lease was extended.
    Renewed {
        /// Fencing number, unchanged.
        epoch: Epoch,
        /// When the lease expires unless it is renewed again.
        expires_at: Timestamp,
    },
    /// The lease is no longer held. Give no more orders.
    Lost {
        /// Fencing number of the lost lease.
        epoch: Epoch,
    },
    /// Send [`LeaseEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Times of a lease. They must be the same at all contenders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// How long a lease lasts without renewal.
    pub duration: Duration,
    /// Share of the duration after which a holder renews, in percent.
    pub renew_percent: u32,
    /// Maximum difference between the rates of two clocks, in percent. A holder subtracts this
    /// share from the duration, and a successor adds it.
    pub clock_margin_percent: u32,
    /// Pause after a store failure.
    pub retry: Duration,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(10),
            renew_percent: 33,
            clock_margin_percent: 5,
            retry: Duration::from_millis(500),
        }
    }
}

/// State of a lease for a dump.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct LeaseStatus {
    /// Name of the object.
    pub object: String,
    /// Fencing number, if this process holds the lease.
    pub held: Option<Epoch>,
    /// Highest epoch seen in the store.
    pub epoch: Epoch,
    /// Whether this process contends for the lease.
    pub wanted: bool,
    /// Whether the object could not be decoded, so that no process can acquire the lease.
    pub damaged: bool,
}
