//! Events, actions and limits of a claim partition.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    codes::ResultCode,
    ids::{Incarnation, RequestId, Timestamp},
    store_call::{ObjectName, ReadOutcome, WriteCondition, WriteNonce, WriteOutcome},
};

/// First 128 bits of the BLAKE3 hash of a key, its organisation and its service.
pub type KeyHash = [u8; 16];
/// First 128 bits of the BLAKE3 hash of a request's method, path and body.
pub type BodyDigest = [u8; 16];
/// Number of a partition, from 0.
pub type PartitionIndex = u32;

/// A keyed request that wants to run or to read the recorded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: KeyHash,
    /// This delivery; a repeat of the same call has another.
    pub request: RequestId,
    /// What the key was used for.
    pub body: BodyDigest,
    /// When the request's time ends, by the clock of this process. After it the request must not
    /// be running, or is at least cancelled and never started.
    pub deadline: Timestamp,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A keyed request arrived.
    Claim(ClaimRequest),
    /// A granted request ended with this answer, not yet delivered to its end.
    Record {
        /// The key.
        key: KeyHash,
        /// The request that was granted.
        request: RequestId,
        /// Its whole answer, encoded by the caller of this module.
        answer: Bytes,
        /// Until when the delivery can wait for the record.
        deadline: Timestamp,
    },
    /// A granted request certainly did not run and never will.
    Abandon {
        /// The key.
        key: KeyHash,
        /// The request that was granted.
        request: RequestId,
    },
    /// The caller of an unfinished claim went away.
    Withdraw {
        /// The request, not yet granted.
        request: RequestId,
    },
    /// A write or deletion ended.
    StoreWriteEnded {
        /// Nonce of the action.
        nonce: WriteNonce,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// A read ended.
    StoreReadEnded {
        /// What was read.
        object: ObjectName,
        /// How it ended.
        outcome: ReadOutcome,
    },
    /// Time passed; due at the last [`ClaimAction::WakeAt`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read an object and report [`ClaimEvent::StoreReadEnded`].
    Read {
        /// Its name.
        object: ObjectName,
    },
    /// Write an object and report [`ClaimEvent::StoreWriteEnded`].
    Write {
        /// Its name.
        object: ObjectName,
        /// What must hold.
        condition: WriteCondition,
        /// The new value.
        bytes: Bytes,
        /// Names this write in the report.
        nonce: WriteNonce,
    },
    /// Delete an object, if it is there, and report [`ClaimEvent::StoreWriteEnded`].
    Delete {
        /// Its name.
        object: ObjectName,
        /// Names this deletion in the report.
        nonce: WriteNonce,
    },
    /// The request may run now, once.
    Grant {
        /// The request.
        request: RequestId,
    },
    /// The key ran before: deliver this answer.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer as it was recorded.
        answer: Bytes,
    },
    /// Another request with the key is running; this one waits for its answer.
    InProgress {
        /// The request that waits.
        request: RequestId,
        /// Life of the gateway that runs the other.
        owner: Incarnation,
        /// The other request.
        running: RequestId,
    },
    /// End the request with this code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        code: ResultCode,
    },
    /// The answer is in the store: the delivery may end cleanly.
    Recorded {
        /// The granted request.
        request: RequestId,
    },
    /// The answer is not in the store: the delivery must not end cleanly.
    NotRecorded {
        /// The granted request.
        request: RequestId,
    },
    /// Send [`ClaimEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Sizes and times of a partition; the same at all gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// How long a claim and its answer are kept, at least. Longer than any request's time.
    pub window: Duration,
    /// Largest answer that is kept inside the partition's object, in bytes.
    pub inline_bytes: usize,
    /// Size of the objects that larger answers are split over, in bytes.
    pub part_bytes: usize,
    /// Most objects that one answer is split over.
    pub max_parts: u16,
    /// Largest size of the partition's object, in bytes.
    pub partition_bytes: usize,
    /// Most requests that may wait in the partition at one gateway.
    pub max_waiting: usize,
    /// Least time between two writes of the partition by one gateway; 0 writes as soon as the one
    /// before is answered.
    pub write_interval: Duration,
    /// Time between reads while a repeat waits for another gateway's answer.
    pub poll_interval: Duration,
    /// First pause after the store failed or refused; doubles up to `max_backoff`.
    pub backoff: Duration,
    /// Longest pause after the store failed or refused.
    pub max_backoff: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(3_600),
            inline_bytes: 2_048,
            part_bytes: 900_000,
            max_parts: 16,
            partition_bytes: 900_000,
            max_waiting: 10_000,
            write_interval: Duration::ZERO,
            poll_interval: Duration::from_millis(250),
            backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// What a dump shows of a partition.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct ClaimStatus {
    /// The partition.
    pub partition: PartitionIndex,
    /// Keys in the last known object.
    pub keys: usize,
    /// Size of the last known object, in bytes.
    pub bytes: usize,
    /// Requests that wait for a claim or an answer.
    pub waiting: usize,
    /// Answers that wait to be recorded.
    pub recording: usize,
    /// Whether the object could not be decoded, so that nothing is granted.
    pub damaged: bool,
}
