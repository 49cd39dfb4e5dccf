//! What waits at this gateway for the store.

use bytes::Bytes;

use super::types::{ClaimRequest, KeyHash};
use crate::{
    ids::{RequestId, Timestamp},
    store_call::WriteNonce,
};

/// A keyed request that is neither granted nor answered.
#[derive(Clone, Debug)]
pub(crate) struct WaitingClaim {
    pub(crate) claim: ClaimRequest,
    pub(crate) arrived: Timestamp,
    /// A write that contains it was sent.
    pub(crate) sent: bool,
    /// The caller was told that another request runs.
    pub(crate) in_progress_reported: bool,
    /// The last known value does not have the key.
    pub(crate) free: bool,
    /// When the store has to be read before more can be said.
    pub(crate) read_due: Option<Timestamp>,
}

impl WaitingClaim {
    pub(crate) fn new(claim: ClaimRequest, arrived: Timestamp) -> Self {
        Self {
            claim,
            arrived,
            sent: false,
            in_progress_reported: false,
            free: false,
            read_due: None,
        }
    }
}

/// An answer that is to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct PendingRecord {
    pub(crate) key: KeyHash,
    pub(crate) request: RequestId,
    pub(crate) answer: Bytes,
    pub(crate) deadline: Timestamp,
    /// The delivery has ended as not recorded; the record is still wanted for a repeat.
    pub(crate) late: bool,
    pub(crate) split: Option<SplitProgress>,
}

impl PendingRecord {
    /// Whether the entry may refer to the answer.
    pub(crate) fn is_ready(&self) -> bool {
        self.split.as_ref().is_none_or(SplitProgress::is_written)
    }
}

/// How far the objects of a large answer are written.
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

/// A claim that is to be taken back because its request certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingAbandon {
    pub(crate) key: KeyHash,
    pub(crate) request: RequestId,
}
