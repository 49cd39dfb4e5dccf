//! Reads and writes of the lease's object.

use super::{holder::LeaseHolder, record::LeaseRecord, types::LeaseAction};
use crate::{
    ids::{Epoch, Incarnation, Timestamp},
    store_call::{ObjectVersion, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

/// The single call that may be in flight.
#[derive(Debug)]
pub(super) enum LeaseCall {
    Idle,
    Reading,
    Writing(SentWrite),
}

/// A write that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentWrite {
    pub(super) nonce: WriteNonce,
    pub(super) requested_at: Timestamp,
    pub(super) epoch: Epoch,
    pub(super) holder: Option<Incarnation>,
}

/// The last value that this process has read or written.
#[derive(Debug)]
pub(super) struct KnownRecord {
    /// `None` if the object does not exist.
    pub(super) version: Option<ObjectVersion>,
    pub(super) record: Option<LeaseRecord>,
    /// When this process first saw this version.
    pub(super) first_seen_at: Timestamp,
    /// When this version was last confirmed by a read or write.
    pub(super) confirmed_at: Timestamp,
}

impl LeaseHolder {
    /// Returns when the next call is due.
    pub(super) fn next_call_at(&self, now: Timestamp) -> Option<Timestamp> {
        let Some(known) = self.known.as_ref().filter(|_| !self.stale) else {
            return Some(self.retry_at.max(now));
        };
        let due = match (&self.held, &known.record) {
            (Some(held), _) => held.renew_at,
            (None, None) => known.first_seen_at,
            (None, Some(record)) => self.expiry_of(known, record),
        };
        Some(due.max(self.retry_at))
    }

    pub(super) fn drive(&mut self, now: Timestamp, actions: &mut Vec<LeaseAction>) {
        let idle = matches!(self.call, LeaseCall::Idle);
        if !idle || !self.wanted || self.next_call_at(now).is_none_or(|at| at > now) {
            return;
        }
        let known = self.known.as_ref().filter(|_| !self.stale);
        let Some(known) = known.filter(|known| self.is_expiry_checked(known)) else {
            self.call = LeaseCall::Reading;
            let object = self.object.clone();
            actions.push(LeaseAction::Read { object });
            return;
        };
        let last = known.record.as_ref().map_or(0, |record| record.epoch);
        let epoch = self.held.map_or(last + 1, |held| held.epoch);
        self.write(now, Some(self.owner), epoch, actions);
    }

    /// Whether a read after the expiry of another holder's lease has shown that it was not renewed.
    /// Such a read is cheaper than a refused write.
    fn is_expiry_checked(&self, known: &KnownRecord) -> bool {
        let Some(record) = known.record.as_ref().filter(|_| self.held.is_none()) else {
            return true;
        };
        known.confirmed_at >= self.expiry_of(known, record)
    }

    pub(super) fn write(
        &mut self,
        now: Timestamp,
        holder: Option<Incarnation>,
        epoch: Epoch,
        actions: &mut Vec<LeaseAction>,
    ) {
        let nonce = self.nonces.next_nonce();
        let record = LeaseRecord {
            holder,
            epoch,
            duration_ms: self.limits.duration.as_millis() as u64,
            nonce,
        };
        let version = self.known.as_ref().and_then(|known| known.version);
        let condition = match version {
            _ if !self.safeguards.conditional_writes => WriteCondition::Always,
            Some(version) => WriteCondition::Version(version),
            None => WriteCondition::Absent,
        };
        self.call = LeaseCall::Writing(SentWrite {
            nonce,
            requested_at: now,
            epoch,
            holder,
        });
        actions.push(LeaseAction::Write {
            object: self.object.clone(),
            condition,
            bytes: record.encode(),
            nonce,
        });
    }

    pub(super) fn on_write_ended(
        &mut self,
        now: Timestamp,
        nonce: WriteNonce,
        outcome: WriteOutcome,
        actions: &mut Vec<LeaseAction>,
    ) {
        let LeaseCall::Writing(sent) = self.call else {
            return;
        };
        if sent.nonce != nonce {
            return;
        }
        self.call = LeaseCall::Idle;
        match outcome {
            WriteOutcome::Applied(version) => self.on_write_applied(now, sent, version, actions),
            // Another process wrote, or an earlier write of this process took effect late.
            WriteOutcome::Conflict => self.stale = true,
            WriteOutcome::Unknown => {
                self.unsettled.push(sent);
                self.stale = true;
                self.retry_at = now + self.jitter(self.limits.retry);
            }
            WriteOutcome::Unavailable | WriteOutcome::RateLimited => {
                self.retry_at = now + self.jitter(self.limits.retry);
            }
        }
    }

    fn on_write_applied(
        &mut self,
        now: Timestamp,
        sent: SentWrite,
        version: ObjectVersion,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.unsettled.clear();
        self.known = Some(KnownRecord {
            version: Some(version),
            record: Some(LeaseRecord {
                holder: sent.holder,
                epoch: sent.epoch,
                duration_ms: self.limits.duration.as_millis() as u64,
                nonce: sent.nonce,
            }),
            first_seen_at: now,
            confirmed_at: now,
        });
        if sent.holder.is_some() {
            self.hold_lease(now, sent, actions);
        }
    }

    pub(super) fn on_read(
        &mut self,
        now: Timestamp,
        outcome: ReadOutcome,
        actions: &mut Vec<LeaseAction>,
    ) {
        if !matches!(self.call, LeaseCall::Reading) {
            return;
        }
        self.call = LeaseCall::Idle;
        match outcome {
            ReadOutcome::Unavailable | ReadOutcome::RateLimited => {
                self.retry_at = now + self.jitter(self.limits.retry);
            }
            ReadOutcome::Absent => self.install_record(now, None, None, actions),
            ReadOutcome::Found { version, bytes } => match LeaseRecord::decode(&bytes) {
                Some(record) => self.install_record(now, Some(version), Some(record), actions),
                None => {
                    // The epoch is unknown, so a successor cannot choose a higher one.
                    self.damaged = true;
                    self.retry_at = now + self.jitter(self.limits.duration);
                }
            },
        }
    }

    fn install_record(
        &mut self,
        now: Timestamp,
        version: Option<ObjectVersion>,
        record: Option<LeaseRecord>,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.stale = false;
        self.damaged = false;
        let known = self.known.as_ref().filter(|known| known.version == version);
        let first_seen_at = known.map_or(now, |known| known.first_seen_at);
        let is_unchanged = known.is_some();
        let nonce = record.as_ref().map(|record| record.nonce);
        let is_own = record
            .as_ref()
            .is_some_and(|r| r.holder == Some(self.owner));
        self.known = Some(KnownRecord {
            version,
            record,
            first_seen_at,
            confirmed_at: now,
        });
        if is_unchanged {
            return;
        }
        // After a lost confirmation, the nonce shows that the write took effect. The lease then
        // counts from when that write was sent.
        let settled = self.unsettled.iter().find(|sent| Some(sent.nonce) == nonce);
        let settled = settled.copied();
        self.unsettled.clear();
        match settled.filter(|sent| sent.holder.is_some()) {
            Some(sent) => self.hold_lease(now, sent, actions),
            None if !is_own => self.drop_lease(actions),
            None => {}
        }
    }
}
