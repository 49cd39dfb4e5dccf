//! Events and actions of a span coordinator.

use std::time::Duration;

use super::plan::SpanSegment;
use crate::{
    ids::{EndpointId, Incarnation, Timestamp, TokenCount},
    outcome::AnswerEnd,
    request::SpanPart,
};

/// An event that a span coordinator reacts to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpanEvent {
    /// Placement answered a [`SpanAction::ChooseEngines`]. The list is empty if there is currently
    /// no choice.
    EnginesChosen(Vec<SpanPart>),
    /// A sidecar answered a reservation or its renewal. The daemon does not pass on answers from a
    /// lost session.
    ReserveAnswered {
        /// The sidecar's endpoint.
        endpoint: EndpointId,
        /// Round in which the reservation was requested.
        round: u32,
        /// Whether the memory is reserved.
        granted: bool,
    },
    /// The prefill of a segment ended or failed.
    SegmentDone {
        /// Engine that prefilled it.
        endpoint: EndpointId,
        /// First token of the segment.
        start: TokenCount,
        /// `Complete`, or the failure.
        end: AnswerEnd,
    },
    /// The session to a member closed or went silent.
    MemberLost {
        /// The member's endpoint.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that the session was connected to.
        incarnation: Incarnation,
    },
    /// A new session to a member is established.
    MemberReconnected {
        /// The member's endpoint.
        endpoint: EndpointId,
        /// Incarnation of the sidecar that answered.
        incarnation: Incarnation,
    },
    /// The request no longer needs the engines.
    Released,
    /// The time of the last [`SpanAction::WakeAt`] is due.
    Tick,
}

/// An action that the daemon carries out for a span coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpanAction {
    /// Choose another set of engines.
    ChooseEngines,
    /// Reserve memory, or renew the reservation of the same round.
    Reserve {
        /// Endpoint to reserve at.
        endpoint: EndpointId,
        /// Incarnation of the sidecar.
        incarnation: Incarnation,
        /// Round that the answer must carry.
        round: u32,
        /// Memory to reserve, in tokens.
        tokens: TokenCount,
        /// Time after which the reservation expires without renewal.
        hold: Duration,
    },
    /// Release a reservation, on the same session as the reservation or a later one.
    Release {
        /// Endpoint that may hold it.
        endpoint: EndpointId,
        /// Incarnation of the sidecar.
        incarnation: Incarnation,
    },
    /// Prefill a segment. This is idempotent: repeating it for the same segment changes nothing.
    Segment(SpanSegment),
    /// All parts are prefilled. Submit to the lead ([`crate::RequestEvent::SpanReady`]).
    Decode {
        /// The engines, starting with the one that decodes.
        members: Vec<SpanPart>,
    },
    /// The span failed ([`crate::RequestEvent::SpanFailed`]).
    Fail(AnswerEnd),
    /// Send [`SpanEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}
