//! Writes the parts of large answers before the record, and reads them for repeated requests.

use super::{
    answer::{part_bytes, part_name},
    partition::ClaimPartition,
    types::ClaimAction,
};
use crate::{
    codes::ResultCode,
    ids::Timestamp,
    store_call::{ObjectName, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

impl ClaimPartition {
    /// Writes the next part of each large answer. The entry refers to the parts only once all of
    /// them are written, so a repeat never finds an incomplete answer.
    pub(super) fn drive_parts(&mut self, actions: &mut Vec<ClaimAction>) {
        for record in &mut self.records {
            let Some(split) = &mut record.split else {
                continue;
            };
            if split.is_written() || split.in_flight.is_some() {
                continue;
            }
            let nonce = self.nonces.next_nonce();
            split.in_flight = Some(nonce);
            actions.push(ClaimAction::Write {
                object: part_name(record.request, split.written),
                condition: WriteCondition::Absent,
                bytes: part_bytes(&record.answer, split.written, &self.limits),
                nonce,
            });
        }
    }

    /// Handles the result of a write. Returns `false` if the nonce belongs to no part.
    pub(super) fn on_part_write_ended(
        &mut self,
        now: Timestamp,
        nonce: WriteNonce,
        outcome: WriteOutcome,
    ) -> bool {
        let mut splits = self.records.iter_mut().filter_map(|r| r.split.as_mut());
        let Some(split) = splits.find(|split| split.in_flight == Some(nonce)) else {
            return false;
        };
        split.in_flight = None;
        match outcome {
            // The name contains the request id, so an existing object comes from an earlier try of
            // this write.
            WriteOutcome::Applied(_) | WriteOutcome::Conflict => split.written += 1,
            WriteOutcome::Unknown | WriteOutcome::Unavailable | WriteOutcome::RateLimited => {
                self.back_off(now);
            }
        }
        true
    }

    pub(super) fn drive_replays(&mut self, actions: &mut Vec<ClaimAction>) {
        for replay in &mut self.replays {
            if !replay.in_flight {
                replay.in_flight = true;
                let object = replay.next_name();
                actions.push(ClaimAction::Read { object });
            }
        }
    }

    pub(super) fn on_part_read(
        &mut self,
        now: Timestamp,
        object: &ObjectName,
        outcome: ReadOutcome,
        actions: &mut Vec<ClaimAction>,
    ) {
        let failed = matches!(outcome, ReadOutcome::Unavailable | ReadOutcome::RateLimited);
        let verified = self.safeguards.verified_replays;
        let mut any_failed = false;
        self.replays.retain_mut(|replay| {
            if !replay.in_flight || replay.next_name() != *object {
                return true;
            }
            let request = replay.request;
            let bytes = match &outcome {
                ReadOutcome::Found { bytes, .. } => bytes,
                ReadOutcome::Absent => {
                    let code = ResultCode::AnswerLost;
                    actions.push(ClaimAction::Refuse { request, code });
                    return false;
                }
                ReadOutcome::Unavailable | ReadOutcome::RateLimited => {
                    replay.in_flight = false;
                    any_failed = true;
                    return true;
                }
            };
            let Some(answer) = replay.add(bytes) else {
                return true;
            };
            // Without this check, the caller would get a damaged or wrong object as a clean answer
            // with other bytes than before.
            let end = match !verified || replay.matches(&answer) {
                true => ClaimAction::Replay { request, answer },
                false => ClaimAction::Refuse {
                    request,
                    code: ResultCode::AnswerDamaged,
                },
            };
            actions.push(end);
            false
        });
        if failed && any_failed {
            self.back_off(now);
        }
    }
}
