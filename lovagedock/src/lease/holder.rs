//! State machine by which a process acquires, renews and loses a lease.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    record::LeaseRecord,
    store::{KnownRecord, LeaseCall, SentWrite},
    types::{LeaseAction, LeaseEvent, LeaseLimits, LeaseStatus},
};
use crate::{
    ids::{Epoch, Incarnation, Timestamp},
    safeguards::DurableSafeguards,
    store_call::{NonceSource, ObjectName},
};

/// A process that contends for a lease.
#[derive(Debug)]
pub struct LeaseHolder {
    pub(super) object: ObjectName,
    pub(super) owner: Incarnation,
    pub(super) limits: LeaseLimits,
    pub(super) safeguards: DurableSafeguards,
    pub(super) nonces: NonceSource,
    pub(super) wanted: bool,
    pub(super) held: Option<HeldLease>,
    pub(super) known: Option<KnownRecord>,
    pub(super) call: LeaseCall,
    /// Writes whose confirmation was lost, until a read shows whether they took effect.
    pub(super) unsettled: Vec<SentWrite>,
    pub(super) stale: bool,
    pub(super) damaged: bool,
    pub(super) retry_at: Timestamp,
    wake_at: Option<Timestamp>,
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeldLease {
    pub(super) epoch: Epoch,
    pub(super) expires_at: Timestamp,
    pub(super) renew_at: Timestamp,
}

impl LeaseHolder {
    /// Creates a process that does not contend yet. `owner` is the random id of its incarnation.
    pub fn new(object: ObjectName, owner: Incarnation, limits: LeaseLimits) -> Self {
        Self {
            object,
            owner,
            limits,
            safeguards: DurableSafeguards::default(),
            nonces: NonceSource::new(owner),
            wanted: false,
            held: None,
            known: None,
            call: LeaseCall::Idle,
            unsettled: Vec::new(),
            stale: false,
            damaged: false,
            retry_at: Timestamp::ZERO,
            wake_at: None,
        }
    }

    /// Replaces the safeguards; for tests only.
    pub fn with_safeguards(mut self, safeguards: DurableSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Returns the fencing number if the lease is held at `now`. Call this before each order.
    pub fn fence(&self, now: Timestamp) -> Option<Epoch> {
        let held = self.held.filter(|held| now < held.expires_at)?;
        Some(held.epoch)
    }

    /// Returns the state for a dump.
    pub fn status(&self, now: Timestamp) -> LeaseStatus {
        let record = self.known.as_ref().and_then(|known| known.record.as_ref());
        LeaseStatus {
            object: self.object.to_string(),
            held: self.fence(now),
            epoch: record.map_or(0, |record| record.epoch),
            wanted: self.wanted,
            damaged: self.damaged,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        self.drop_if_expired(now, &mut actions);
        match event {
            LeaseEvent::Want => self.wanted = true,
            LeaseEvent::Release => self.release(now, &mut actions),
            LeaseEvent::StoreReadEnded(outcome) => self.on_read(now, outcome, &mut actions),
            LeaseEvent::StoreWriteEnded { nonce, outcome } => {
                self.on_write_ended(now, nonce, outcome, &mut actions);
            }
            LeaseEvent::Tick => {}
        }
        self.drive(now, &mut actions);
        self.schedule_wake(now, &mut actions);
        actions
    }

    /// Drops the lease if its time is over, which may be noticed late after a pause of the process.
    fn drop_if_expired(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let is_expired = |held: &mut HeldLease| held.expires_at <= now;
        if let Some(held) = self.held.take_if(is_expired) {
            let epoch = held.epoch;
            actions.push(LeaseAction::Lost { epoch });
        }
    }

    fn release(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        self.wanted = false;
        let Some(held) = self.held.take() else {
            return;
        };
        let epoch = held.epoch;
        actions.push(LeaseAction::Lost { epoch });
        // The next holder can then acquire the lease at once. If this write is lost, it has to wait
        // until the lease expires.
        if matches!(self.call, LeaseCall::Idle) {
            self.write(now, None, epoch, actions);
        }
    }

    /// Starts or extends the lease after a write that took effect.
    ///
    /// A successor counts the duration from when it sees the write, so the holder must count from
    /// before it sent the write. If it counted from the confirmation, a slow reply would let both
    /// hold the lease at once.
    pub(super) fn hold_lease(
        &mut self,
        now: Timestamp,
        sent: SentWrite,
        actions: &mut Vec<LeaseAction>,
    ) {
        let from = match self.safeguards.lease_from_request {
            true => sent.requested_at,
            false => now,
        };
        let margin = self.limits.clock_margin_percent.min(90);
        let expires_at = from + percent_of(self.limits.duration, 100 - margin);
        let epoch = sent.epoch;
        if expires_at <= now || !self.wanted {
            return;
        }
        let renewed = self.held.is_some_and(|held| held.epoch == epoch);
        self.held = Some(HeldLease {
            epoch,
            expires_at,
            renew_at: from + percent_of(self.limits.duration, self.limits.renew_percent),
        });
        actions.push(match renewed {
            true => LeaseAction::Renewed { epoch, expires_at },
            false => LeaseAction::Acquired { epoch, expires_at },
        });
    }

    pub(super) fn drop_lease(&mut self, actions: &mut Vec<LeaseAction>) {
        if let Some(held) = self.held.take() {
            let epoch = held.epoch;
            actions.push(LeaseAction::Lost { epoch });
        }
    }

    /// Returns when the lease of another holder expires by this process's clock.
    pub(super) fn expiry_of(&self, known: &KnownRecord, record: &LeaseRecord) -> Timestamp {
        let is_free = record.holder.is_none_or(|holder| holder == self.owner);
        if !self.safeguards.wait_for_lease_expiry || is_free {
            return known.first_seen_at;
        }
        let margin = self.limits.clock_margin_percent;
        known.first_seen_at + percent_of(record.duration(), 100 + margin)
    }

    fn schedule_wake(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let held = self.held.as_ref();
        let expires_at = held.map(|held| held.expires_at);
        let idle = matches!(self.call, LeaseCall::Idle) && self.wanted;
        let next = self.next_call_at(now).filter(|_| idle);
        let wake_at = expires_at.into_iter().chain(next).min();
        if wake_at != self.wake_at {
            self.wake_at = wake_at;
            actions.extend(wake_at.map(LeaseAction::WakeAt));
        }
    }

    /// Spreads the retries of the contenders over the second half of a pause.
    pub(super) fn jitter(&self, pause: Duration) -> Duration {
        let hash = xxh3_64(&self.owner.to_le_bytes()) % 1024;
        pause / 2 + pause / 2 * hash as u32 / 1024
    }
}

pub(super) fn percent_of(duration: Duration, percent: u32) -> Duration {
    duration * percent / 100
}
