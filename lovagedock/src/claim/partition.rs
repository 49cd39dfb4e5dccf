//! The group-commit state machine of one partition.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::{
    answer::{ReplayRead, parts_needed},
    clock::PartitionClock,
    object::PartitionObject,
    pending::{PendingAbandon, PendingRecord, SplitProgress, WaitingClaim},
    settle::SettleScope,
    store::StoreCall,
    sweep::StrayDeletion,
    types::{
        ClaimAction, ClaimEvent, ClaimLimits, ClaimRequest, ClaimStatus, KeyHash, PartitionIndex,
    },
};
use crate::{
    codes::ResultCode,
    ids::{Incarnation, RequestId, Timestamp},
    safeguards::DurableSafeguards,
    store_call::{NonceSource, ObjectName, ObjectVersion},
};

/// Claims of one partition at one gateway.
///
/// At most one read or write of the partition's object is in flight. Operations that arrive in the
/// meantime go into the next write together. A write is conditional on the version that it
/// replaces. If two gateways write the same partition, one is refused, reads the other's value and
/// retries on top of it.
///
/// Each claim ends with a grant, a replay or a refusal. A granted request stays claimed until
/// [`ClaimEvent::Record`] or [`ClaimEvent::Abandon`]. If neither arrives, the key stays claimed and
/// its request counts as possibly run. Repeats are then refused as [`ResultCode::AnswerLost`] once
/// the time that the request had is over.
#[derive(Debug)]
pub struct ClaimPartition {
    pub(super) index: PartitionIndex,
    pub(super) owner: Incarnation,
    pub(super) object: ObjectName,
    pub(super) limits: ClaimLimits,
    pub(super) safeguards: DurableSafeguards,
    pub(super) nonces: NonceSource,
    pub(super) known: Option<KnownObject>,
    pub(super) call: StoreCall,
    /// The last known value may be out of date and must be read before the next write.
    pub(super) stale: bool,
    /// A write on this version may still take effect.
    pub(super) unsettled: Option<Option<ObjectVersion>>,
    pub(super) damaged: bool,
    pub(super) claims: Vec<WaitingClaim>,
    pub(super) records: Vec<PendingRecord>,
    pub(super) abandons: Vec<PendingAbandon>,
    pub(super) replays: Vec<ReplayRead>,
    pub(super) deletion: Option<StrayDeletion>,
    pub(super) deleted: Vec<RequestId>,
    /// Requests whose stray parts were found by this gateway's own writes.
    pub(super) own_strays: BTreeSet<RequestId>,
    pub(super) failures: u32,
    pub(super) conflicts: u32,
    pub(super) retry_at: Timestamp,
    pub(super) write_at: Timestamp,
    wake_at: Option<Timestamp>,
}

/// The last value of the object that this gateway has read or written.
#[derive(Debug)]
pub(super) struct KnownObject {
    /// `None` if the object does not exist.
    pub(super) version: Option<ObjectVersion>,
    pub(super) value: PartitionObject,
    pub(super) clock: PartitionClock,
    /// When the call that returned the value was sent.
    pub(super) as_of: Timestamp,
}

impl ClaimPartition {
    /// Creates a partition whose value is not known yet. `owner` is the random incarnation of this
    /// process.
    pub fn new(index: PartitionIndex, owner: Incarnation, limits: ClaimLimits) -> Self {
        Self {
            index,
            owner,
            object: format!("claims/partitions/{index}").into(),
            limits,
            safeguards: DurableSafeguards::default(),
            nonces: NonceSource::new(owner),
            known: None,
            call: StoreCall::Idle,
            stale: false,
            unsettled: None,
            damaged: false,
            claims: Vec::new(),
            records: Vec::new(),
            abandons: Vec::new(),
            replays: Vec::new(),
            deletion: None,
            deleted: Vec::new(),
            own_strays: BTreeSet::new(),
            failures: 0,
            conflicts: 0,
            retry_at: Timestamp::ZERO,
            write_at: Timestamp::ZERO,
            wake_at: None,
        }
    }

    /// Replaces the safeguards; for tests only.
    pub fn with_safeguards(mut self, safeguards: DurableSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// Name of the partition's object.
    pub fn object(&self) -> &ObjectName {
        &self.object
    }

    /// Returns the state for a dump.
    pub fn status(&self) -> ClaimStatus {
        let value = self.known.as_ref().map(|known| &known.value);
        ClaimStatus {
            partition: self.index,
            keys: value.map_or(0, |value| value.entries.len()),
            bytes: value.map_or(0, PartitionObject::bytes),
            waiting: self.claims.len() + self.replays.len(),
            recording: self.records.len(),
            damaged: self.damaged,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: ClaimEvent) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        let scope = match &event {
            ClaimEvent::Claim(_) => SettleScope::LastClaim,
            ClaimEvent::Record { .. } => SettleScope::LastRecord,
            _ => SettleScope::All,
        };
        match event {
            ClaimEvent::Claim(claim) => self.on_claim(now, claim, &mut actions),
            ClaimEvent::Record {
                key,
                request,
                answer,
                deadline,
            } => self.on_record(key, request, answer, deadline, &mut actions),
            ClaimEvent::Abandon { key, request } => self.abandon(key, request),
            ClaimEvent::Withdraw { request } => self.on_withdraw(request),
            ClaimEvent::StoreWriteEnded { nonce, outcome } => {
                self.on_write_ended(now, nonce, outcome);
            }
            ClaimEvent::StoreReadEnded { object, outcome } => {
                self.on_read(now, &object, outcome, &mut actions);
            }
            ClaimEvent::Tick => {}
        }
        self.advance(now, scope, &mut actions);
        actions
    }

    fn on_claim(&mut self, now: Timestamp, claim: ClaimRequest, actions: &mut Vec<ClaimAction>) {
        let too_long = claim.deadline.saturating_sub(now) >= self.limits.window;
        let is_full = self.claims.len() >= self.limits.max_waiting;
        // A request that outlives its claim could run at the same time as a repeat that finds no
        // claim.
        if too_long || is_full {
            actions.push(ClaimAction::Refuse {
                request: claim.request,
                code: ResultCode::ClaimUnavailable,
            });
            return;
        }
        self.claims.push(WaitingClaim::new(claim, now));
    }

    fn on_record(
        &mut self,
        key: KeyHash,
        request: RequestId,
        answer: Bytes,
        deadline: Timestamp,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Ok(parts) = parts_needed(answer.len(), &self.limits) else {
            actions.push(ClaimAction::NotRecorded { request });
            return;
        };
        self.records.push(PendingRecord {
            key,
            request,
            answer,
            deadline,
            late: false,
            split: parts.map(SplitProgress::new),
        });
    }

    pub(super) fn abandon(&mut self, key: KeyHash, request: RequestId) {
        let abandon = PendingAbandon { key, request };
        if !self.abandons.contains(&abandon) {
            self.abandons.push(abandon);
        }
    }

    fn on_withdraw(&mut self, request: RequestId) {
        self.replays.retain(|replay| replay.request != request);
        let Some(at) = self.claims.iter().position(|w| w.claim.request == request) else {
            return;
        };
        let waiting = self.claims.remove(at);
        self.abandon_if_sent(&waiting);
    }

    /// Abandons a claim that was not granted but may be in the store.
    pub(super) fn abandon_if_sent(&mut self, waiting: &WaitingClaim) {
        if waiting.sent {
            self.abandon(waiting.claim.key, waiting.claim.request);
        }
    }

    fn advance(&mut self, now: Timestamp, scope: SettleScope, actions: &mut Vec<ClaimAction>) {
        self.expire_operations(now, actions);
        self.settle(now, scope, actions);
        self.drive(now, actions);
        let wake_at = self.next_wake(now);
        if wake_at != self.wake_at {
            self.wake_at = wake_at;
            actions.extend(wake_at.map(ClaimAction::WakeAt));
        }
    }

    fn next_wake(&self, now: Timestamp) -> Option<Timestamp> {
        let deadlines = self.claims.iter().map(|waiting| waiting.claim.deadline);
        let replays = self.replays.iter().map(|replay| replay.deadline);
        let records = self.records.iter().filter(|record| !record.late);
        let records = records.map(|record| record.deadline);
        let reads = self.claims.iter().filter_map(|waiting| waiting.read_due);
        let pauses = [self.retry_at, self.write_at].into_iter();
        let pauses = pauses.filter(|_| self.has_work());
        deadlines
            .chain(replays)
            .chain(records)
            .chain(reads)
            .chain(pauses)
            .filter(|at| *at > now)
            .min()
    }

    fn has_work(&self) -> bool {
        let waits = !self.claims.is_empty() || !self.replays.is_empty();
        waits
            || !self.records.is_empty()
            || !self.abandons.is_empty()
            || !self.own_strays.is_empty()
    }
}
