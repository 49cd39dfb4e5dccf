//! What request drivers and links tell each other.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use lovagedock_wire::{
    AnswerHead, ReserveReply, SegmentRange, SegmentReply, WireError, WorkMessage,
};
use tokio::sync::{mpsc, oneshot};

/// What a request driver asks of a link.
pub(crate) enum LinkCommand {
    /// Hand a request over; the link fills the incarnation in.
    Submit {
        /// The request.
        work: Box<WorkMessage>,
        /// Where its events go.
        events: AttemptSender,
    },
    /// Go on with an answer from an offset, on a new connection.
    Resume {
        /// The attempt.
        key: AttemptKey,
        /// Bytes that the driver already has.
        offset: u64,
        /// Where its events go.
        events: AttemptSender,
    },
    /// Ask on a new connection that an attempt never runs.
    Revoke {
        /// The attempt.
        key: AttemptKey,
        /// Where the verdict goes.
        reply: oneshot::Sender<Result<RevokeVerdict, WireError>>,
    },
    /// End an attempt that nobody waits for.
    Cancel {
        /// The attempt.
        key: AttemptKey,
    },
    /// Hold memory for one part of a span.
    Reserve {
        /// Names the reservation.
        key: AttemptKey,
        /// How much.
        tokens: TokenCount,
        /// How long it stays without being used.
        hold: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<ReserveReply, WireError>>,
    },
    /// Give a reservation back.
    Release {
        /// Names the reservation.
        key: AttemptKey,
    },
    /// Prefill one part of a span.
    Segment {
        /// The request.
        work: Box<WorkMessage>,
        /// Its part.
        range: SegmentRange,
        /// Time that the part may take.
        limit: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<SegmentReply, WireError>>,
    },
}

/// What a link tells a request driver about one attempt.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The sidecar has queued or started it.
    Accepted {
        /// Life of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar did not take it.
    Refused(AnswerEnd),
    /// The session went away while the sidecar may have had the request.
    Lost {
        /// Life of the sidecar.
        incarnation: Incarnation,
    },
    /// The sidecar answered a resume.
    Resumed {
        /// Whether it has the answer.
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
    /// How it ended.
    Done(AnswerEnd),
}

/// Where the events of one attempt go, with the attempt's number.
///
/// Bounded, so that a slow caller holds back its own answer and no other.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSender {
    /// Number of the attempt.
    pub(crate) attempt: AttemptNumber,
    /// The driver's end.
    pub(crate) sender: mpsc::Sender<(AttemptNumber, AttemptEvent)>,
}

impl AttemptSender {
    pub(super) async fn send(&self, event: AttemptEvent) {
        // A driver that is gone has finished its request; nobody needs the event.
        let _gone = self.sender.send((self.attempt, event)).await;
    }
}
