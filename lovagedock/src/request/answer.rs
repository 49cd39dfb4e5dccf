//! Delivers the frames of an answer to the caller and detects repeated, missing and damaged frames.

use super::{event::RequestAction, machine::RequestMachine, phase::RequestPhase};
use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, Timestamp},
    outcome::AnswerEnd,
};

/// How much of the answer has been delivered to the caller.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerProgress {
    /// Number of bytes delivered in order.
    pub(super) delivered: u64,
    head_seen: bool,
    head_delivered: bool,
}

enum ChunkPosition {
    Fits { skip: u64 },
    Repeated,
    Gap,
}

impl AnswerProgress {
    pub(super) fn begin_attempt(&mut self) {
        self.head_seen = false;
    }

    fn locate(&self, offset: u64, length: u64) -> ChunkPosition {
        if !self.head_seen || offset > self.delivered {
            return ChunkPosition::Gap;
        }
        if offset.saturating_add(length) <= self.delivered {
            return ChunkPosition::Repeated;
        }
        ChunkPosition::Fits {
            skip: self.delivered - offset,
        }
    }
}

impl RequestMachine {
    /// Records the head of the answer without delivering it.
    ///
    /// The head is delivered together with the first byte. Until then the request can still run on
    /// another endpoint, and a failure can still be reported by the HTTP status.
    pub(super) fn on_head(&mut self, number: AttemptNumber) {
        if self.accepts_frames(number) {
            self.answer.head_seen = true;
            self.mark_started();
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Timestamp,
        number: AttemptNumber,
        offset: u64,
        length: u64,
    ) {
        if !self.accepts_frames(number) {
            return;
        }
        self.mark_started();
        // A repeated frame would duplicate bytes and a missing frame would drop some, so the caller
        // would read a wrong answer. The offset reveals both cases on any connection.
        let position = if self.safeguards.check_offsets {
            self.answer.locate(offset, length)
        } else {
            ChunkPosition::Fits { skip: 0 }
        };
        match position {
            ChunkPosition::Fits { skip } => self.deliver_chunk(number, offset, length, skip),
            ChunkPosition::Repeated => {}
            ChunkPosition::Gap => self.repair_gap(now),
        }
    }

    pub(super) fn on_end(&mut self, now: Timestamp, number: AttemptNumber, end: AnswerEnd) {
        if !self.accepts_frames(number) {
            return;
        }
        if end.code != ResultCode::Complete {
            self.on_attempt_failed(now, end);
            return;
        }
        self.mark_started();
        if !self.safeguards.check_end {
            self.complete_answer(end);
            return;
        }
        let missing = !self.answer.head_seen || end.length > self.answer.delivered;
        if missing {
            self.repair_gap(now);
            return;
        }
        // Without this check, an answer with a frame of another request or a lost byte would end
        // as complete. The sidecar computes length and digest next to the engine, so they show the
        // difference.
        match end.digest {
            Some(expected) if end.length == self.answer.delivered => {
                self.phase = RequestPhase::Checking { end };
                self.actions.push(RequestAction::CheckDigest { expected });
            }
            _ => self.on_attempt_failed(now, damaged_end()),
        }
    }

    pub(super) fn on_digest_checked(&mut self, now: Timestamp, matches: bool) {
        let RequestPhase::Checking { end } = &self.phase else {
            return;
        };
        let end = end.clone();
        if matches {
            self.complete_answer(end);
        } else {
            self.on_attempt_failed(now, damaged_end());
        }
    }

    /// Whether a frame belongs to the current attempt and the answer is still open.
    ///
    /// Frames of an abandoned attempt can arrive late, together with those of the next attempt.
    /// Without the comparison of attempt numbers the caller would read parts of both answers.
    fn accepts_frames(&self, number: AttemptNumber) -> bool {
        let open = matches!(
            self.phase,
            RequestPhase::Submitting
                | RequestPhase::Attached
                | RequestPhase::Resuming { .. }
                | RequestPhase::Revoking { .. }
        );
        open && (number == self.attempts || !self.safeguards.drop_old_attempts)
    }

    fn deliver_chunk(&mut self, attempt: AttemptNumber, offset: u64, length: u64, skip: u64) {
        self.deliver_head(attempt);
        self.answer.delivered += length - skip;
        self.actions.push(RequestAction::Deliver {
            attempt,
            offset,
            skip,
        });
    }

    fn deliver_head(&mut self, attempt: AttemptNumber) {
        if !self.answer.head_delivered {
            self.answer.head_delivered = true;
            self.actions.push(RequestAction::DeliverHead { attempt });
        }
    }

    fn complete_answer(&mut self, end: AnswerEnd) {
        self.deliver_head(self.attempts);
        self.conclude(end);
    }

    pub(super) fn mark_started(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.started = true;
        }
    }
}

fn damaged_end() -> AnswerEnd {
    AnswerEnd::new(ResultCode::AnswerDamaged).with_ran(RanState::Yes)
}
