//! Messages between request drivers and links.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use lovagedock_wire::{
    AnswerHead, ReserveReply, SegmentRange, SegmentReply, WireError, WorkMessage,
};
use tokio::sync::{mpsc, oneshot};

/// A command from a request driver to a link.
pub(crate) enum LinkCommand {
    /// Submit a request to the sidecar; rejected if the session has another incarnation.
    Submit {
        /// The request.
        work: Box<WorkMessage>,
        /// Where the attempt's events go.
        events: AttemptSender,
    },
    /// Resume an answer from an offset, on a new connection.
    Resume {
        /// The attempt.
        key: AttemptKey,
        /// Bytes that the driver already has.
        offset: u64,
        /// Where the attempt's events go.
        events: AttemptSender,
    },
    /// Revoke an attempt on a new connection, so that it never runs.
    Revoke {
        /// The attempt.
        key: AttemptKey,
        /// Where the verdict goes.
        reply: oneshot::Sender<Result<RevokeVerdict, WireError>>,
    },
    /// Cancel an attempt whose result is no longer needed.
    Cancel {
        /// The attempt.
        key: AttemptKey,
    },
    /// Reserve memory for one part of a span.
    Reserve {
        /// Identifies the reservation.
        key: AttemptKey,
        /// Tokens to reserve.
        tokens: TokenCount,
        /// How long an unused reservation is kept.
        hold: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<ReserveReply, WireError>>,
    },
    /// Release a reservation.
    Release {
        /// Identifies the reservation.
        key: AttemptKey,
    },
    /// Prefill one part of a span.
    Segment {
        /// The request.
        work: Box<WorkMessage>,
        /// The part of the prompt to prefill.
        range: SegmentRange,
        /// Time limit of the prefill.
        limit: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<SegmentReply, WireError>>,
    },
}

/// An event about one attempt, from a link to a request driver.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The sidecar has queued or started the request.
    Accepted {
        /// Incarnation of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar rejected the request.
    Refused(AnswerEnd),
    /// The session was lost while the sidecar may have had the request.
    Lost {
        /// Incarnation of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar answered a resume.
    Resumed {
        /// Whether the sidecar still has the answer.
        found: bool,
    },
    /// The resume could not be delivered.
    ResumeFailed,
    /// Status and headers.
    Head(AnswerHead),
    /// Bytes of the answer.
    Chunk {
        /// Offset of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The result of the attempt.
    Done(AnswerEnd),
}

/// Sends the events of one attempt to its driver.
///
/// The channel is bounded, so that a slow caller delays only its own answer.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSender {
    /// Number of the attempt.
    pub(crate) attempt: AttemptNumber,
    /// The driver's end.
    pub(crate) sender: mpsc::Sender<(AttemptNumber, AttemptEvent)>,
}

impl AttemptSender {
    pub(super) async fn send(&self, event: AttemptEvent) {
        // The send fails only if the driver has finished its request and needs no more events.
        let _gone = self.sender.send((self.attempt, event)).await;
    }
}
