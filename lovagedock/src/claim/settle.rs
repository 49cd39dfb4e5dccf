//! Decides pending operations from the last known value of the partition.

use super::{
    answer::ReplayRead,
    clock::whole_ms,
    entry::{ClaimEntry, RunState},
    partition::{ClaimPartition, KnownObject},
    pending::{PendingRecord, WaitingClaim},
    types::{ClaimAction, KeyHash},
};
use crate::{codes::ResultCode, ids::Timestamp};
use bytes::{Bytes, BytesMut};

/// The pending operations that an event can decide. The arrival of an operation does not affect
/// those that already wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SettleScope {
    All,
    LastClaim,
    LastRecord,
}

/// The decision on a waiting claim from the last known value.
enum ClaimVerdict {
    /// The key is free, and the claim goes into the next write.
    Free,
    /// The claim is in the store.
    Granted,
    /// The answer is recorded inline.
    Answer(Bytes),
    /// The answer is recorded in separate objects.
    Split(Box<ReplayRead>),
    /// Another request holds the key.
    Running { due: Timestamp },
    /// The request is refused.
    Refused(ResultCode),
    /// The value is older than the claim and must be read again.
    Reread,
}

impl ClaimPartition {
    /// Ends all operations whose deadline has passed.
    pub(super) fn expire_operations(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let is_expired = |waiting: &mut WaitingClaim| waiting.claim.deadline <= now;
        let over: Vec<WaitingClaim> = self.claims.extract_if(.., is_expired).collect();
        for waiting in over {
            self.abandon_if_sent(&waiting);
            let code = match waiting.in_progress_reported {
                true => ResultCode::KeyInProgress,
                false => ResultCode::ClaimUnavailable,
            };
            actions.push(refuse_claim(&waiting, code));
        }
        self.replays.retain(|replay| {
            let over = replay.deadline <= now;
            if over {
                actions.push(ClaimAction::Refuse {
                    request: replay.request,
                    code: ResultCode::ClaimUnavailable,
                });
            }
            !over
        });
        let late = self.records.iter_mut().filter(|record| !record.late);
        for record in late.filter(|record| record.deadline <= now) {
            record.late = true;
            let request = record.request;
            actions.push(ClaimAction::NotRecorded { request });
        }
    }

    /// Ends the operations that the last known value decides.
    pub(super) fn settle(
        &mut self,
        now: Timestamp,
        scope: SettleScope,
        actions: &mut Vec<ClaimAction>,
    ) {
        if self.known.is_none() {
            return;
        }
        let (claims, records) = match scope {
            SettleScope::All => (0, 0),
            SettleScope::LastClaim => (self.claims.len().saturating_sub(1), self.records.len()),
            SettleScope::LastRecord => (self.claims.len(), self.records.len().saturating_sub(1)),
        };
        for waiting in self.claims.split_off(claims) {
            self.settle_claim(now, waiting, actions);
        }
        for record in self.records.split_off(records) {
            self.settle_record(now, record, actions);
        }
        self.settle_abandons();
    }

    fn settle_claim(
        &mut self,
        now: Timestamp,
        mut waiting: WaitingClaim,
        actions: &mut Vec<ClaimAction>,
    ) {
        let request = waiting.claim.request;
        waiting.read_due = None;
        waiting.free = false;
        match self.claim_verdict(now, &waiting) {
            ClaimVerdict::Free => {
                waiting.free = true;
                self.claims.push(waiting);
            }
            ClaimVerdict::Granted => actions.push(ClaimAction::Grant { request }),
            ClaimVerdict::Answer(answer) => actions.push(ClaimAction::Replay { request, answer }),
            ClaimVerdict::Split(replay) => self.replays.push(*replay),
            ClaimVerdict::Refused(code) => actions.push(refuse_claim(&waiting, code)),
            ClaimVerdict::Reread => {
                waiting.read_due = Some(now);
                self.claims.push(waiting);
            }
            ClaimVerdict::Running { due } => {
                waiting.read_due = Some(due);
                self.report_in_progress(&mut waiting, actions);
                self.claims.push(waiting);
            }
        }
    }

    fn claim_verdict(&self, now: Timestamp, waiting: &WaitingClaim) -> ClaimVerdict {
        let claim = &waiting.claim;
        let Some((known, entry)) = self.live_entry(now, &claim.key) else {
            return ClaimVerdict::Free;
        };
        if entry.is_held_by(self.owner, claim.request) {
            return ClaimVerdict::Granted;
        }
        let is_current = known.as_of >= waiting.arrived_at || entry.owner == self.owner;
        if !is_current && !entry.is_answered() {
            return ClaimVerdict::Reread;
        }
        if entry.body != claim.body {
            return ClaimVerdict::Refused(ResultCode::KeyReused);
        }
        match &entry.run {
            RunState::Inline(answer) => ClaimVerdict::Answer(answer.clone()),
            RunState::Split(split) => ClaimVerdict::Split(Box::new(ReplayRead {
                request: claim.request,
                deadline: claim.deadline,
                source: entry.request,
                split: split.clone(),
                bytes: BytesMut::new(),
                next: 0,
                in_flight: false,
            })),
            RunState::Claimed => self.running_verdict(now, known, entry),
        }
    }

    /// Decides on a claim whose key is held by another request without an answer.
    ///
    /// A lapsed claim is never taken over. Its owner may be paused or cut off, and its request may
    /// have run. The caller of the repeat gets `AnswerLost`, which leaves open whether the request
    /// ran. If the owner is still running, it abandons the claim or records the answer later.
    fn running_verdict(
        &self,
        now: Timestamp,
        known: &KnownObject,
        entry: &ClaimEntry,
    ) -> ClaimVerdict {
        if entry.has_lapsed(known.clock.read(now)) {
            return match self.safeguards.retain_expired_claims {
                true => ClaimVerdict::Refused(ResultCode::AnswerLost),
                false => ClaimVerdict::Free,
            };
        }
        let due = match entry.owner == self.owner {
            true => now + entry.time_to_lapse(known.clock.read(now)),
            false => now.max(known.as_of + self.limits.poll_interval),
        };
        ClaimVerdict::Running { due }
    }

    fn report_in_progress(&self, waiting: &mut WaitingClaim, actions: &mut Vec<ClaimAction>) {
        let known = self.known.as_ref();
        let entry = known.and_then(|known| known.value.entries.get(&waiting.claim.key));
        let Some(entry) = entry.filter(|_| !waiting.in_progress_reported) else {
            return;
        };
        waiting.in_progress_reported = true;
        actions.push(ClaimAction::InProgress {
            request: waiting.claim.request,
            owner: entry.owner,
            running: entry.request,
        });
    }

    fn settle_record(
        &mut self,
        now: Timestamp,
        record: PendingRecord,
        actions: &mut Vec<ClaimAction>,
    ) {
        let request = record.request;
        let entry = self.live_entry(now, &record.key).map(|(_, entry)| entry);
        let entry = entry.filter(|entry| entry.is_held_by(self.owner, request));
        let end = match entry {
            Some(entry) if !entry.is_answered() => {
                self.records.push(record);
                return;
            }
            Some(_) => ClaimAction::Recorded { request },
            None => ClaimAction::NotRecorded { request },
        };
        if !record.late {
            actions.push(end);
        }
    }

    /// Drops abandons whose claim is not in the store and cannot get there by a write in flight.
    fn settle_abandons(&mut self) {
        if self.unsettled.is_some() || self.is_writing() {
            return;
        }
        let Some(known) = &self.known else {
            return;
        };
        let owner = self.owner;
        self.abandons.retain(|abandon| {
            let entry = known.value.entries.get(&abandon.key);
            entry.is_some_and(|entry| {
                entry.is_held_by(owner, abandon.request) && !entry.is_answered()
            })
        });
    }

    /// Returns the entry of a key, unless its window is over.
    fn live_entry(&self, now: Timestamp, key: &KeyHash) -> Option<(&KnownObject, &ClaimEntry)> {
        let known = self.known.as_ref()?;
        let entry = known.value.entries.get(key)?;
        let clock_ms = known.clock.read(now);
        let expired = entry.has_expired(clock_ms, whole_ms(self.limits.window));
        (!expired).then_some((known, entry))
    }
}

fn refuse_claim(waiting: &WaitingClaim, code: ResultCode) -> ClaimAction {
    ClaimAction::Refuse {
        request: waiting.claim.request,
        code,
    }
}
