//! Operations at this gateway that wait for the store.

use bytes::Bytes;

use super::types::{ClaimRequest, KeyHash};
use crate::{
    ids::{RequestId, Timestamp},
    store_call::WriteNonce,
};

/// A keyed request that is neither granted, replayed nor refused.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) claim: ClaimRequest,
    pub(crate) arrived_at: Timestamp,
    /// A write that contains the claim was sent.
    pub(crate) sent: bool,
    /// [`super::ClaimAction::InProgress`] was returned for it.
    pub(crate) in_progress_reported: bool,
    /// The key is free in the last known value.
    pub(crate) free: bool,
    /// When the store must be read again to decide the claim.
    pub(crate) read_due: Option<Timestamp>,
}

impl WaitingClaim {
    pub(crate) fn new(claim: ClaimRequest, arrived_at: Timestamp) -> Self {
        Self {
            claim,
            arrived_at,
            sent: false,
            in_progress_reported: false,
            free: false,
            read_due: None,
        }
    }
}

/// An answer that is waiting to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct PendingRecord {
    pub(crate) key: KeyHash,
    pub(crate) request: RequestId,
    pub(crate) answer: Bytes,
    pub(crate) deadline: Timestamp,
    /// [`super::ClaimAction::NotRecorded`] was returned for it. The answer is still recorded for
    /// repeats.
    pub(crate) late: bool,
    pub(crate) split: Option<SplitProgress>,
}

impl PendingRecord {
    /// Whether all parts are written, so that the entry may refer to them.
    pub(crate) fn is_ready(&self) -> bool {
        self.split.as_ref().is_none_or(SplitProgress::is_written)
    }
}

/// Progress of writing the parts of a large answer.
#[derive(Clone, Debug)]
pub(crate) struct SplitProgress {
    pub(crate) parts: u16,
    pub(crate) written: u16,
    pub(crate) in_flight: Option<WriteNonce>,
}

impl SplitProgress {
    pub(crate) fn new(parts: u16) -> Self {
        Self {
            parts,
            written: 0,
            in_flight: None,
        }
    }

    pub(crate) fn is_written(&self) -> bool {
        self.written >= self.parts
    }
}

/// A claim that is to be removed because its request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingAbandon {
    pub(crate) key: KeyHash,
    pub(crate) request: RequestId,
}
