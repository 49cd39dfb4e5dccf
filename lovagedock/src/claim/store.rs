//! Reads and writes of the partition's object.

use super::{
    batch::{BatchDraft, BatchInput},
    clock::PartitionClock,
    object::PartitionObject,
    partition::{ClaimPartition, KnownObject},
    types::ClaimAction,
};
use crate::{
    codes::ResultCode,
    ids::{RequestId, Timestamp},
    store_call::{
        ObjectName, ObjectVersion, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome,
    },
};

/// The single call for the partition's object that may be in flight.
#[derive(Debug)]
pub(super) enum StoreCall {
    Idle,
    Reading {
        sent_at: Timestamp,
    },
    Writing {
        nonce: WriteNonce,
        sent_at: Timestamp,
        value: PartitionObject,
    },
}

impl ClaimPartition {
    pub(super) fn is_writing(&self) -> bool {
        matches!(self.call, StoreCall::Writing { .. })
    }

    /// Starts the calls that are due.
    pub(super) fn drive(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        if now < self.retry_at {
            return;
        }
        self.drive_parts(actions);
        self.drive_replays(actions);
        self.drive_deletion(now, actions);
        if !matches!(self.call, StoreCall::Idle) {
            return;
        }
        if self.needs_read(now) {
            self.call = StoreCall::Reading { sent_at: now };
            let object = self.object.clone();
            actions.push(ClaimAction::Read { object });
            return;
        }
        if now >= self.write_at {
            self.write(now, actions);
        }
    }

    fn needs_read(&self, now: Timestamp) -> bool {
        if self.known.is_none() || self.stale {
            let waits = !self.claims.is_empty() || !self.records.is_empty();
            return waits || !self.abandons.is_empty();
        }
        let mut reads = self.claims.iter().filter_map(|waiting| waiting.read_due);
        reads.any(|due| due <= now)
    }

    fn write(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let has_operations = !self.abandons.is_empty()
            || self.claims.iter().any(|waiting| waiting.free)
            || self.records.iter().any(|record| record.is_ready());
        let Some(known) = self.known.as_ref().filter(|_| has_operations) else {
            return;
        };
        let input = BatchInput {
            now,
            clock_ms: known.clock.read(now),
            owner: self.owner,
            limits: &self.limits,
            safeguards: &self.safeguards,
            deleted: &self.deleted,
        };
        let version = known.version;
        let mut draft = BatchDraft::new(&known.value, &input);
        draft.sweep_entries(&input);
        for abandon in &self.abandons {
            draft.abandon_claim(&input, abandon);
        }
        for record in &mut self.records {
            draft.record_answer(&input, record);
        }
        let mut refused = Vec::new();
        let mut granted = Vec::new();
        self.claims.retain_mut(|waiting| {
            let request = waiting.claim.request;
            let was_sent = waiting.sent;
            let fits = draft.claim_key(&input, waiting);
            if !fits && !was_sent {
                refused.push(request);
                return false;
            }
            // With the safeguard off, the grant does not wait for the confirmation. The write may
            // then be refused because another gateway's write won.
            if !self.safeguards.confirmed_grants && waiting.sent {
                granted.push(request);
                return false;
            }
            true
        });
        push_refusals(refused, actions);
        actions.extend(
            granted
                .into_iter()
                .map(|request| ClaimAction::Grant { request }),
        );
        // An abandoned claim may still reach the store by the write whose confirmation was lost.
        // Another write on the same version settles this, because one of the two is refused.
        let settles = self.unsettled.is_some() && !self.abandons.is_empty();
        if draft.changed || settles {
            self.send_write(now, version, draft.object, actions);
        }
    }

    fn send_write(
        &mut self,
        now: Timestamp,
        version: Option<ObjectVersion>,
        value: PartitionObject,
        actions: &mut Vec<ClaimAction>,
    ) {
        let nonce = self.nonces.next_nonce();
        let condition = match version {
            _ if !self.safeguards.conditional_writes => WriteCondition::Always,
            Some(version) => WriteCondition::Version(version),
            None => WriteCondition::Absent,
        };
        actions.push(ClaimAction::Write {
            object: self.object.clone(),
            condition,
            bytes: value.encode(),
            nonce,
        });
        self.write_at = now + self.limits.write_interval;
        self.call = StoreCall::Writing {
            nonce,
            sent_at: now,
            value,
        };
    }

    pub(super) fn on_write_ended(
        &mut self,
        now: Timestamp,
        nonce: WriteNonce,
        outcome: WriteOutcome,
    ) {
        if self.on_part_write_ended(now, nonce, outcome) {
            return;
        }
        if self.on_deletion_ended(now, nonce, outcome) {
            return;
        }
        if !matches!(&self.call, StoreCall::Writing { nonce: sent, .. } if *sent == nonce) {
            return;
        }
        let call = std::mem::replace(&mut self.call, StoreCall::Idle);
        let StoreCall::Writing { sent_at, value, .. } = call else {
            return;
        };
        match outcome {
            WriteOutcome::Applied(version) => self.on_write_applied(sent_at, version, value),
            WriteOutcome::Conflict => self.on_conflict(now),
            WriteOutcome::Unknown => self.on_write_unknown(now),
            WriteOutcome::Unavailable | WriteOutcome::RateLimited => self.back_off(now),
        }
    }

    fn on_write_applied(
        &mut self,
        sent_at: Timestamp,
        version: ObjectVersion,
        value: PartitionObject,
    ) {
        self.conflicts = 0;
        self.unsettled = None;
        let is_removed = |request: &RequestId| !value.strays.iter().any(|s| s.request == *request);
        self.deleted.retain(|request| !is_removed(request));
        self.record_own_strays(&value);
        self.install_object(sent_at, sent_at, Some(version), value);
    }

    /// Handles a lost confirmation by reading the value back. The owner and the request of an entry
    /// are unique to this write, so they show whether the claims are in the store.
    fn on_write_unknown(&mut self, now: Timestamp) {
        self.stale = true;
        let version = self.known.as_ref().and_then(|known| known.version);
        self.unsettled.get_or_insert(version);
        self.back_off(now);
    }

    pub(super) fn on_read(
        &mut self,
        now: Timestamp,
        object: &ObjectName,
        outcome: ReadOutcome,
        actions: &mut Vec<ClaimAction>,
    ) {
        if *object != self.object {
            self.on_part_read(now, object, outcome, actions);
            return;
        }
        let StoreCall::Reading { sent_at } = self.call else {
            return;
        };
        self.call = StoreCall::Idle;
        match outcome {
            ReadOutcome::Unavailable | ReadOutcome::RateLimited => self.back_off(now),
            ReadOutcome::Absent => {
                self.install_read(sent_at, now, None, PartitionObject::default())
            }
            ReadOutcome::Found { version, bytes } => match PartitionObject::decode(&bytes) {
                Ok(value) => self.install_read(sent_at, now, Some(version), value),
                Err(_) => self.on_damaged_object(now),
            },
        }
    }

    /// Handles a value that cannot be decoded. No claim is granted, since the value may contain any
    /// key.
    fn on_damaged_object(&mut self, now: Timestamp) {
        self.damaged = true;
        self.known = None;
        self.back_off(now);
    }

    fn install_read(
        &mut self,
        sent_at: Timestamp,
        now: Timestamp,
        version: Option<ObjectVersion>,
        value: PartitionObject,
    ) {
        self.stale = false;
        self.damaged = false;
        self.failures = 0;
        if self.unsettled.is_some_and(|base| base != version) {
            self.unsettled = None;
        }
        let known = self.known.as_mut().filter(|known| known.version == version);
        if let Some(known) = known {
            // The value is unchanged, and its clock has been running since it was first read.
            known.as_of = sent_at;
            return;
        }
        self.install_object(sent_at, now, version, value);
    }

    fn install_object(
        &mut self,
        as_of: Timestamp,
        clock_since: Timestamp,
        version: Option<ObjectVersion>,
        value: PartitionObject,
    ) {
        self.failures = 0;
        self.known = Some(KnownObject {
            version,
            clock: PartitionClock::new(value.clock_ms, clock_since),
            value,
            as_of,
        });
    }
}

fn push_refusals(requests: Vec<RequestId>, actions: &mut Vec<ClaimAction>) {
    actions.extend(requests.into_iter().map(|request| ClaimAction::Refuse {
        request,
        code: ResultCode::ClaimUnavailable,
    }));
}
