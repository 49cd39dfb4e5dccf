//! A request in the batch and its phases.

use lovagedock::prelude::{BlockCount, TokenCount};

use super::{
    batch::{SequenceKind, SequenceNumber, SequenceRequest},
    journal::JournalEvent,
    memory::KvMemory,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Waiting,
    Prefilling,
    Decoding,
    Held,
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) request: SequenceRequest,
    pub(super) arrival: SequenceNumber,
    pub(super) blocks: BlockCount,
    pub(super) phase: Phase,
    pub(super) prefilled: TokenCount,
    pub(super) produced: TokenCount,
    pub(super) cached_tokens: TokenCount,
    pub(super) has_output: bool,
    pub(super) is_paused: bool,
}

impl Sequence {
    pub(super) fn enter_batch(&mut self, memory: &mut KvMemory) {
        self.phase = Phase::Prefilling;
        if self.request.imported {
            self.phase = Phase::Decoding;
            return;
        }
        let cached = memory.cached_tokens(&self.request.prefix_hashes);
        // The last prompt token is always computed: its output is the first token of the answer.
        self.cached_tokens = cached.min(self.request.prompt_tokens - 1);
        self.prefilled = self.cached_tokens;
    }

    pub(super) fn has_id(&self, request_id: &str) -> bool {
        &*self.request.request_id == request_id
    }

    pub(super) fn is_segment(&self) -> bool {
        self.request.kind == SequenceKind::Segment
    }

    /// Whether `other` duplicates this request. Segments of one request differ in their start
    /// position.
    pub(super) fn is_duplicate(&self, other: &SequenceRequest) -> bool {
        let is_same_part = !self.is_segment() || self.request.start == other.start;
        self.has_id(&other.request_id) && self.request.kind == other.kind && is_same_part
    }

    pub(super) fn entry_event(&self) -> JournalEvent {
        if self.is_segment() {
            return JournalEvent::Prefilled;
        }
        match self.request.imported || self.request.resume_offset > 0 {
            true => JournalEvent::Resumed,
            false => JournalEvent::Started,
        }
    }

    pub(super) fn remaining_prefill(&self) -> TokenCount {
        self.request.prompt_tokens + self.request.resume_offset - self.prefilled
    }

    /// Enters the next phase. The step that completes the prefill also produces the first answer
    /// token.
    pub(super) fn finish_prefill(&mut self) {
        self.has_output = true;
        match self.request.kind {
            SequenceKind::Segment => self.phase = Phase::Held,
            SequenceKind::Answer => {
                self.phase = Phase::Decoding;
                self.produced = (self.produced + 1).min(self.request.max_tokens);
            }
        }
    }

    pub(super) fn is_active(&self) -> bool {
        !self.is_paused && matches!(self.phase, Phase::Prefilling | Phase::Decoding)
    }

    pub(super) fn is_finished(&self) -> bool {
        match self.request.kind {
            SequenceKind::Segment => self.phase == Phase::Held,
            SequenceKind::Answer => self.produced >= self.request.max_tokens,
        }
    }

    pub(super) fn allocated_blocks(&self) -> BlockCount {
        match self.phase {
            Phase::Waiting => 0,
            _ => self.blocks,
        }
    }
}

pub(super) fn needed_blocks(request: &SequenceRequest) -> BlockCount {
    KvMemory::blocks_for(request.prompt_tokens + request.max_tokens)
}
