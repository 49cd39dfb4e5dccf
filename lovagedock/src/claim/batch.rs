//! Combines all pending operations of a partition into one new value.

use super::{
    clock::whole_ms,
    entry::{ClaimEntry, ENTRY_BYTES, RunState, SplitAnswer},
    object::{PartitionObject, StrayParts},
    pending::{PendingAbandon, PendingRecord, SplitProgress, WaitingClaim},
    types::ClaimLimits,
};
use crate::{
    ids::{Incarnation, RequestId, Timestamp},
    safeguards::DurableSafeguards,
};

/// Inputs for the next value of a partition.
pub(crate) struct BatchInput<'a> {
    pub(crate) now: Timestamp,
    pub(crate) clock_ms: u64,
    pub(crate) owner: Incarnation,
    pub(crate) limits: &'a ClaimLimits,
    pub(crate) safeguards: &'a DurableSafeguards,
    pub(crate) deleted: &'a [RequestId],
}

/// The next value of a partition.
pub(crate) struct BatchDraft {
    pub(crate) object: PartitionObject,
    /// Whether `object` differs from the last value in anything but `clock_ms`.
    pub(crate) changed: bool,
    bytes: usize,
}

impl BatchDraft {
    pub(crate) fn new(base: &PartitionObject, input: &BatchInput<'_>) -> Self {
        let mut object = base.clone();
        object.clock_ms = input.clock_ms;
        let bytes = object.bytes();
        Self {
            object,
            changed: false,
            bytes,
        }
    }

    /// Removes entries whose window is over. This alone does not cause a write.
    pub(crate) fn sweep_entries(&mut self, input: &BatchInput<'_>) {
        let window_ms = whole_ms(input.limits.window);
        let max_parts = input.limits.max_parts;
        let mut strays = Vec::new();
        self.object.entries.retain(|_, entry| {
            let expired = entry.has_expired(input.clock_ms, window_ms);
            let parts = entry.parts(max_parts);
            if expired && parts > 0 {
                strays.push(StrayParts {
                    request: entry.request,
                    parts,
                    found_ms: input.clock_ms,
                });
            }
            !expired
        });
        self.object.strays.append(&mut strays);
        let deleted = input.deleted;
        self.object
            .strays
            .retain(|stray| !deleted.contains(&stray.request));
        self.bytes = self.object.bytes();
    }

    pub(crate) fn abandon_claim(&mut self, input: &BatchInput<'_>, abandon: &PendingAbandon) {
        let Some(entry) = self.object.entries.get(&abandon.key) else {
            return;
        };
        if !entry.is_held_by(input.owner, abandon.request) || entry.is_answered() {
            return;
        }
        self.object.entries.remove(&abandon.key);
        self.bytes = self.bytes.saturating_sub(ENTRY_BYTES);
        self.changed = true;
    }

    /// Records an answer inline, or by reference to objects that are already written.
    pub(crate) fn record_answer(&mut self, input: &BatchInput<'_>, record: &mut PendingRecord) {
        if !record.is_ready() {
            return;
        }
        let Some(entry) = self.object.entries.get_mut(&record.key) else {
            return;
        };
        if !entry.is_held_by(input.owner, record.request) || entry.is_answered() {
            return;
        }
        let inline = record.answer.len();
        let full = self.bytes + inline > input.limits.partition_bytes;
        if record.split.is_none() && full {
            record.split = Some(SplitProgress::new(1));
            return;
        }
        entry.run = match &record.split {
            None => RunState::Inline(record.answer.clone()),
            Some(split) => RunState::Split(SplitAnswer {
                parts: split.parts,
                length: inline as u64,
                digest: *blake3::hash(&record.answer).as_bytes(),
            }),
        };
        if record.split.is_none() {
            self.bytes += inline;
        }
        self.changed = true;
    }

    /// Claims a free key. Returns `false` if the partition is full.
    pub(crate) fn claim_key(&mut self, input: &BatchInput<'_>, waiting: &mut WaitingClaim) -> bool {
        let claim = &waiting.claim;
        if !self.is_free(input, waiting) {
            return true;
        }
        if self.bytes + ENTRY_BYTES > input.limits.partition_bytes {
            return false;
        }
        let entry = ClaimEntry {
            body: claim.body,
            owner: input.owner,
            request: claim.request,
            claimed_ms: input.clock_ms,
            stated_ms: whole_ms(claim.deadline.saturating_sub(input.now)) + 1,
            run: RunState::Claimed,
        };
        self.object.entries.insert(claim.key, entry);
        self.bytes += ENTRY_BYTES;
        self.changed = true;
        waiting.sent = true;
        true
    }

    fn is_free(&self, input: &BatchInput<'_>, waiting: &WaitingClaim) -> bool {
        let Some(entry) = self.object.entries.get(&waiting.claim.key) else {
            return true;
        };
        // With the safeguard on, a lapsed claim stays: its owner may be paused instead of dead.
        !input.safeguards.retain_expired_claims
            && !entry.is_answered()
            && entry.has_lapsed(input.clock_ms)
    }
}
