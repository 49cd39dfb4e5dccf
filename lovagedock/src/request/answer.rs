//! Frames of an answer: which are delivered, which are dropped, and when the answer is whole.

use super::{event::RequestAction, machine::RequestMachine, phase::RequestPhase};
use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, Timestamp},
    outcome::AnswerEnd,
};

/// How much of the answer the caller has.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerProgress {
    /// Bytes that were delivered in order.
    pub(super) delivered: u64,
    head_seen: bool,
    head_given: bool,
}

enum ChunkPlace {
    Fits { skip: u64 },
    Repeated,
    Gap,
}

impl AnswerProgress {
    pub(super) fn begin_attempt(&mut self) {
        self.head_seen = false;
    }

    fn locate(&self, offset: u64, length: u64) -> ChunkPlace {
        if !self.head_seen || offset > self.delivered {
            return ChunkPlace::Gap;
        }
        if offset.saturating_add(length) <= self.delivered {
            return ChunkPlace::Repeated;
        }
        ChunkPlace::Fits {
            skip: self.delivered - offset,
        }
    }
}

impl RequestMachine {
    /// The head waits for the first byte: until then the request can still run elsewhere, and a
    /// failure can still be told by the HTTP status.
    pub(super) fn head(&mut self, number: AttemptNumber) {
        if self.takes_frames(number) {
            self.answer.head_seen = true;
            self.mark_started();
        }
    }

    pub(super) fn chunk(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        offset: u64,
        length: u64,
    ) {
        if !self.takes_frames(number) {
            return;
        }
        self.mark_started();
        // A repeated frame would double bytes and a missing one would drop some, and the caller
        // would read a wrong answer. The offset tells both, whatever connection a frame came on.
        let place = if self.safeguards.check_offsets {
            self.answer.locate(offset, length)
        } else {
            ChunkPlace::Fits { skip: 0 }
        };
        match place {
            ChunkPlace::Fits { skip } => self.deliver(number, offset, length, skip),
            ChunkPlace::Repeated => {}
            ChunkPlace::Gap => self.repair_gap(now),
        }
    }

    pub(super) fn end(&mut self, now: Timestamp, number: AttemptNumber, end: AnswerEnd) {
        if !self.takes_frames(number) {
            return;
        }
        if end.code != ResultCode::Complete {
            self.attempt_failed(now, end);
            return;
        }
        self.mark_started();
        if !self.safeguards.check_end {
            self.complete(end);
            return;
        }
        let missing = !self.answer.head_seen || end.length > self.answer.delivered;
        if missing {
            self.repair_gap(now);
            return;
        }
        // A frame of another request or a lost byte would end as if the answer were whole. The
        // sidecar computed length and digest where the answer was made, so they tell.
        match end.digest {
            Some(expected) if end.length == self.answer.delivered => {
                self.phase = RequestPhase::Checking { end };
                self.actions.push(RequestAction::CheckDigest { expected });
            }
            _ => self.attempt_failed(now, damaged()),
        }
    }

    pub(super) fn digest_checked(&mut self, now: Timestamp, matches: bool) {
        let RequestPhase::Checking { end } = &self.phase else {
            return;
        };
        let end = end.clone();
        if matches {
            self.complete(end);
        } else {
            self.attempt_failed(now, damaged());
        }
    }

    /// Whether a frame is of the current attempt and the answer is still open.
    ///
    /// An answer of an attempt that was given up may still arrive, late, beside the answer of its
    /// successor; mixed, the caller would read parts of both. The attempt number tells them apart.
    fn takes_frames(&self, number: AttemptNumber) -> bool {
        let open = matches!(
            self.phase,
            RequestPhase::Submitting
                | RequestPhase::Attached
                | RequestPhase::Resuming { .. }
                | RequestPhase::Revoking { .. }
        );
        open && (number == self.attempts || !self.safeguards.drop_old_attempts)
    }

    fn deliver(&mut self, attempt: AttemptNumber, offset: u64, length: u64, skip: u64) {
        self.give_head(attempt);
        self.answer.delivered += length - skip;
        self.actions.push(RequestAction::Deliver {
            attempt,
            offset,
            skip,
        });
    }

    fn give_head(&mut self, attempt: AttemptNumber) {
        if !self.answer.head_given {
            self.answer.head_given = true;
            self.actions.push(RequestAction::DeliverHead { attempt });
        }
    }

    fn complete(&mut self, end: AnswerEnd) {
        self.give_head(self.attempts);
        self.conclude(end);
    }

    pub(super) fn mark_started(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.started = true;
        }
    }
}

fn damaged() -> AnswerEnd {
    AnswerEnd::new(ResultCode::AnswerDamaged).with_ran(RanState::Yes)
}
