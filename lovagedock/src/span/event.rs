//! What a span coordinator is told and what it asks for.

use std::time::Duration;

use super::plan::SpanSegment;
use crate::{
    ids::{EndpointId, Incarnation, Timestamp, TokenCount},
    outcome::AnswerEnd,
    request::SpanPart,
};

/// What a span coordinator is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpanEvent {
    /// Placement answered a [`SpanAction::ChooseEngines`]; empty when there is no choice now.
    EnginesChosen(Vec<SpanPart>),
    /// A sidecar answered a reservation or its renewal; answers of a lost session are dropped.
    ReserveAnswered {
        /// The sidecar's endpoint.
        endpoint: EndpointId,
        /// Round that the reservation was made in.
        round: u32,
        /// Whether the memory is reserved.
        granted: bool,
    },
    /// A segment was prefilled, or failed.
    SegmentDone {
        /// Engine that had it.
        endpoint: EndpointId,
        /// First token of the segment.
        start: TokenCount,
        /// `Complete`, or what went wrong.
        end: AnswerEnd,
    },
    /// The session to a member closed or went silent.
    MemberLost {
        /// The member's endpoint.
        endpoint: EndpointId,
        /// Life of the sidecar that the session was to.
        incarnation: Incarnation,
    },
    /// A new session to a member is up.
    MemberReconnected {
        /// The member's endpoint.
        endpoint: EndpointId,
        /// Life of the sidecar that answered.
        incarnation: Incarnation,
    },
    /// The request needs the engines no more, for whatever reason.
    Released,
    /// The time of [`SpanAction::WakeAt`] came.
    Tick,
}

/// What a span coordinator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpanAction {
    /// Choose engines anew.
    ChooseEngines,
    /// Reserve memory, or renew the reservation of the same round.
    Reserve {
        /// Endpoint to reserve at.
        endpoint: EndpointId,
        /// Life of the sidecar.
        incarnation: Incarnation,
        /// Round that the answer has to name.
        round: u32,
        /// Memory to reserve.
        tokens: TokenCount,
        /// Time after which it lapses without renewal.
        hold: Duration,
    },
    /// Give a reservation free, on the same session as the reservation or a later one.
    Release {
        /// Endpoint that may hold it.
        endpoint: EndpointId,
        /// Life of the sidecar.
        incarnation: Incarnation,
    },
    /// Prefill a segment; asking again for the same one changes nothing.
    Segment(SpanSegment),
    /// All parts are prefilled: submit to the lead ([`crate::RequestEvent::SpanReady`]).
    Decode {
        /// The engines, first the one that decodes.
        members: Vec<SpanPart>,
    },
    /// The span is over ([`crate::RequestEvent::SpanFailed`]).
    Fail(AnswerEnd),
    /// Send [`SpanEvent::Tick`] at this time; replaces the time given before.
    WakeAt(Timestamp),
}
