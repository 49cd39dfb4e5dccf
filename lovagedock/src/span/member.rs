//! An engine in one round of a span.

use std::{mem, time::Duration};

use super::event::SpanAction;
use crate::{
    ids::{EndpointId, Incarnation, Timestamp},
    request::SpanPart,
};

/// An engine and the state of its reservation.
#[derive(Clone, Debug)]
pub(super) struct SpanMember {
    pub(super) part: SpanPart,
    /// When the latest reservation or renewal was requested.
    requested_at: Timestamp,
    awaits_answer: bool,
    /// Time until which the sidecar certainly holds the memory, counted from before the request for
    /// it was sent.
    held_until: Option<Timestamp>,
    /// Whether there is no session to it.
    pub(super) is_disconnected: bool,
    /// Whether the request was submitted to it and has taken over the reservation.
    is_submitted: bool,
    /// Whether a new session is waiting for its first grant, after which a segment is sent again.
    awaits_regrant: bool,
}

impl SpanMember {
    pub(super) fn new(part: SpanPart) -> Self {
        Self {
            part,
            requested_at: Timestamp::ZERO,
            awaits_answer: false,
            held_until: None,
            is_disconnected: false,
            is_submitted: false,
            awaits_regrant: false,
        }
    }

    pub(super) fn is_at(&self, endpoint: &EndpointId) -> bool {
        self.part.endpoint == *endpoint
    }

    pub(super) fn is_on_incarnation(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> bool {
        self.is_at(endpoint) && self.part.incarnation == incarnation
    }

    pub(super) fn is_granted(&self) -> bool {
        self.held_until.is_some()
    }

    pub(super) fn held_until(&self) -> Option<Timestamp> {
        self.held_until
    }

    /// Whether a reservation may be requested now. Only one request may be pending at a time, or it
    /// is not known which one was granted.
    pub(super) fn may_reserve(&self) -> bool {
        !self.awaits_answer && !self.is_disconnected && !self.is_submitted
    }

    pub(super) fn reserve(&mut self, now: Timestamp, round: u32, hold: Duration) -> SpanAction {
        self.requested_at = now;
        self.awaits_answer = true;
        SpanAction::Reserve {
            endpoint: self.part.endpoint.clone(),
            incarnation: self.part.incarnation,
            round,
            tokens: self.part.tokens,
            hold,
        }
    }

    /// Records a grant. Returns whether it is the first one since the session was reconnected.
    pub(super) fn grant(&mut self, hold: Duration) -> bool {
        self.awaits_answer = false;
        self.held_until = Some(self.requested_at + hold);
        mem::take(&mut self.awaits_regrant)
    }

    /// Marks the member as submitted. From now on the request itself holds the memory, and the
    /// request machine is responsible for it.
    pub(super) fn submit(&mut self) {
        self.is_submitted = true;
        self.held_until = None;
    }

    pub(super) fn is_submitted(&self) -> bool {
        self.is_submitted
    }

    pub(super) fn reconnect(&mut self) {
        self.is_disconnected = false;
        self.awaits_regrant = true;
        self.awaits_answer = false;
    }

    pub(super) fn release(&self) -> SpanAction {
        SpanAction::Release {
            endpoint: self.part.endpoint.clone(),
            incarnation: self.part.incarnation,
        }
    }
}
