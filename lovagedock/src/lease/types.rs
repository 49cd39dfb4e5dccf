//! Events, actions and limits of a lease.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    ids::{Epoch, Timestamp},
    store_call::{ObjectName, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

/// What happened.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// This process wants the lease from now on.
    Want,
    /// This process gives the lease up, or no longer wants it.
    Release,
    /// A read of the lease's object ended.
    StoreReadEnded(ReadOutcome),
    /// A write of the lease's object ended.
    StoreWriteEnded {
        /// Nonce of the action.
        nonce: WriteNonce,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// Time passed; due at the last [`LeaseAction::WakeAt`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease's object and report [`LeaseEvent::StoreReadEnded`].
    Read {
        /// Its name.
        object: ObjectName,
    },
    /// Write the lease's object and report [`LeaseEvent::StoreWriteEnded`].
    Write {
        /// Its name.
        object: ObjectName,
        /// What must hold.
        condition: WriteCondition,
        /// The new value.
        bytes: Bytes,
        /// Names this write in the report.
        nonce: WriteNonce,
    },
    /// The lease is held; ask [`super::LeaseHolder::fence`] before each order.
    Acquired {
        /// Fencing number of all orders.
        epoch: Epoch,
        /// When the lease lapses unless it is renewed.
        until: Timestamp,
    },
    /// The lease is held for longer.
    Renewed {
        /// Fencing number, as before.
        epoch: Epoch,
        /// When the lease lapses unless it is renewed again.
        until: Timestamp,
    },
    /// The lease is no longer held; give no more orders.
    Lost {
        /// Fencing number that it had.
        epoch: Epoch,
    },
    /// Send [`LeaseEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Times of a lease; the same at all that contend for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// How long a lease lasts without renewal.
    pub duration: Duration,
    /// A holder renews after this part of the duration, in percent.
    pub renew_percent: u32,
    /// By how much the rates of two clocks may differ, in percent: a holder counts so much less
    /// and a successor so much more than the duration.
    pub clock_margin_percent: u32,
    /// Pause after the store failed.
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

/// What a dump shows of a lease.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct LeaseStatus {
    /// Name of the object.
    pub object: String,
    /// Fencing number, if this process holds the lease.
    pub held: Option<Epoch>,
    /// Highest epoch seen in the store.
    pub epoch: Epoch,
    /// Whether this process wants the lease.
    pub wanted: bool,
    /// Whether the object could not be decoded, so that nobody takes it over.
    pub damaged: bool,
}
