//! A claim as it is stored.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::types::BodyDigest;
use crate::ids::{Incarnation, RequestId};

/// Upper bound of an encoded entry without an inline answer, in bytes.
pub(crate) const ENTRY_BYTES: usize = 136;

/// A claimed key and the state of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimEntry {
    pub(crate) body: BodyDigest,
    #[serde(with = "postcard::fixint::le")]
    pub(crate) owner: Incarnation,
    #[serde(with = "postcard::fixint::le")]
    pub(crate) request: RequestId,
    /// Partition time of the claim.
    pub(crate) claimed_ms: u64,
    /// Time that the owner has to run the request, counted from the claim.
    pub(crate) stated_ms: u64,
    pub(crate) run: RunState,
}

/// State of the request of a claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RunState {
    /// The request may have run.
    Claimed,
    /// The request ran, and this is its answer.
    Inline(Bytes),
    /// The request ran, and its answer is stored in separate objects.
    Split(SplitAnswer),
}

/// An answer that is stored in several objects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SplitAnswer {
    pub(crate) parts: u16,
    pub(crate) length: u64,
    pub(crate) digest: [u8; 32],
}

impl ClaimEntry {
    pub(crate) fn is_held_by(&self, owner: Incarnation, request: RequestId) -> bool {
        self.owner == owner && self.request == request
    }

    pub(crate) fn is_answered(&self) -> bool {
        !matches!(self.run, RunState::Claimed)
    }

    /// Whether the time that the owner had for the request is over.
    pub(crate) fn has_lapsed(&self, clock_ms: u64) -> bool {
        clock_ms.saturating_sub(self.claimed_ms) >= self.stated_ms
    }

    pub(crate) fn time_to_lapse(&self, clock_ms: u64) -> Duration {
        let lapses_ms = self.claimed_ms.saturating_add(self.stated_ms);
        Duration::from_millis(lapses_ms.saturating_sub(clock_ms))
    }

    /// Whether the window of the claim is over.
    pub(crate) fn has_expired(&self, clock_ms: u64, window_ms: u64) -> bool {
        clock_ms.saturating_sub(self.claimed_ms) >= window_ms
    }

    pub(crate) fn bytes(&self) -> usize {
        match &self.run {
            RunState::Inline(answer) => ENTRY_BYTES + answer.len(),
            RunState::Claimed | RunState::Split(_) => ENTRY_BYTES,
        }
    }

    /// Number of objects that may hold parts of the answer.
    pub(crate) fn parts(&self, max_parts: u16) -> u16 {
        match &self.run {
            // The owner may have died after writing the parts and before updating the entry.
            RunState::Claimed => max_parts,
            RunState::Inline(_) => 0,
            RunState::Split(split) => split.parts,
        }
    }
}
