//! What the last known value means for each request that waits.

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

/// What an event can have changed; an arrival says nothing about those that wait already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SettleScope {
    All,
    LastClaim,
    LastRecord,
}

/// What the last known value says about a waiting claim.
enum ClaimVerdict {
    /// The key is free; the claim goes into the next write.
    Free,
    /// The claim is in the store.
    Granted,
    /// The recorded answer.
    Answer(Bytes),
    /// The recorded answer is in other objects.
    Split(Box<ReplayRead>),
    /// Another request holds the key.
    Running { due: Timestamp },
    /// The end of the request.
    Refused(ResultCode),
    /// The value is older than the claim; it has to be read again.
    Reread,
}

impl ClaimPartition {
    /// Ends what ran out of time.
    pub(super) fn expire(&mut self, now: Timestamp, actions: &mut Vec<ClaimAction>) {
        let is_expired = |waiting: &mut WaitingClaim| waiting.claim.deadline <= now;
        let over: Vec<WaitingClaim> = self.claims.extract_if(.., is_expired).collect();
        for waiting in over {
            self.abandon_if_sent(&waiting);
            let code = match waiting.in_progress_reported {
                true => ResultCode::KeyInProgress,
                false => ResultCode::ClaimUnavailable,
            };
            actions.push(refuse(&waiting, code));
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

    /// Ends what the last known value decides.
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
        match self.verdict(now, &waiting) {
            ClaimVerdict::Free => {
                waiting.free = true;
                self.claims.push(waiting);
            }
            ClaimVerdict::Granted => actions.push(ClaimAction::Grant { request }),
            ClaimVerdict::Answer(answer) => actions.push(ClaimAction::Replay { request, answer }),
            ClaimVerdict::Split(replay) => self.replays.push(*replay),
            ClaimVerdict::Refused(code) => actions.push(refuse(&waiting, code)),
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

    fn verdict(&self, now: Timestamp, waiting: &WaitingClaim) -> ClaimVerdict {
        let claim = &waiting.claim;
        let Some((known, entry)) = self.live_entry(now, &claim.key) else {
            return ClaimVerdict::Free;
        };
        if entry.is_of(self.owner, claim.request) {
            return ClaimVerdict::Granted;
        }
        let is_current = known.as_of >= waiting.arrived || entry.owner == self.owner;
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

    /// A lapsed claim is never taken over: its owner may be paused or cut off, and its request may
    /// have run. The caller of the repeat sees that the answer is lost and that the run is unknown;
    /// that is enough, since whoever knows better abandons the claim or records the answer.
    fn running_verdict(
        &self,
        now: Timestamp,
        known: &KnownObject,
        entry: &ClaimEntry,
    ) -> ClaimVerdict {
        if entry.has_lapsed(known.clock.read(now)) {
            return match self.safeguards.lapsed_claims_stay {
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
        let entry = entry.filter(|entry| entry.is_of(self.owner, request));
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

    /// Drops what is no longer in the store and cannot come into it by a write that is under way.
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
            entry.is_some_and(|entry| entry.is_of(owner, abandon.request) && !entry.is_answered())
        });
    }

    /// The entry of a key, unless its window is over.
    fn live_entry(&self, now: Timestamp, key: &KeyHash) -> Option<(&KnownObject, &ClaimEntry)> {
        let known = self.known.as_ref()?;
        let entry = known.value.entries.get(key)?;
        let clock_ms = known.clock.read(now);
        let expired = entry.has_expired(clock_ms, whole_ms(self.limits.window));
        (!expired).then_some((known, entry))
    }
}

fn refuse(waiting: &WaitingClaim, code: ResultCode) -> ClaimAction {
    ClaimAction::Refuse {
        request: waiting.claim.request,
        code,
    }
}
