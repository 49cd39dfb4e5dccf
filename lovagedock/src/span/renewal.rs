//! Keeps a span's reservations while its prompt is prefilled and its answer decoded.

use std::time::Duration;

use super::{
    coordinator::{SpanCoordinator, SpanState},
    member::SpanMember,
};
use crate::ids::{EndpointId, Incarnation, Timestamp};

impl SpanCoordinator {
    pub(super) fn holds_reservations(&self) -> bool {
        matches!(self.state, SpanState::Prefilling | SpanState::Decoding)
    }

    /// Whether a sidecar may have given a part's memory to others.
    ///
    /// A reservation that lapsed and was granted anew looks like a renewal, but the KV blocks are
    /// gone and the answer would be computed from nothing. Time is counted from before each
    /// renewal was asked for and its answer must come before the former one ran out, so the
    /// sidecar surely held the memory all along.
    pub(super) fn has_lapsed(&self, now: Timestamp) -> bool {
        let lapsed = |member: &SpanMember| member.held_until().is_some_and(|until| now >= until);
        self.holds_reservations() && self.members.iter().any(lapsed)
    }

    pub(super) fn on_member_lost(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let Some(member) = self
            .members
            .iter_mut()
            .find(|member| member.is_on(endpoint, incarnation))
        else {
            return;
        };
        // A silent connection is no dead engine: its reservation lasts for the hold, and a new
        // connection may renew it before a long prefill is thrown away.
        member.is_disconnected = true;
        if matches!(self.state, SpanState::Reserving { .. }) {
            self.release_and_back_off(now);
        }
    }

    pub(super) fn on_member_reconnected(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) {
        let Some(member) = self
            .members
            .iter_mut()
            .find(|member| member.is_at(endpoint))
        else {
            return;
        };
        if member.is_submitted() {
            return;
        }
        let same_incarnation = member.part.incarnation == incarnation;
        match self.state {
            SpanState::Reserving { .. } if !same_incarnation => self.release_and_back_off(now),
            SpanState::Prefilling | SpanState::Decoding if !same_incarnation => {
                self.fail_endpoint_lost()
            }
            SpanState::Prefilling | SpanState::Decoding if member.is_disconnected => {
                member.reconnect();
                self.request_reservations(now);
            }
            _ => {}
        }
    }

    pub(super) fn renew(&mut self, now: Timestamp) {
        if now >= self.renew_at {
            self.renew_at = now + self.renew_interval();
            self.request_reservations(now);
        }
    }

    /// Asks every member that is in reach and has no question open.
    pub(super) fn request_reservations(&mut self, now: Timestamp) {
        let (round, hold) = (self.round, self.plan.timing.hold);
        let members = self
            .members
            .iter_mut()
            .filter(|member| member.may_reserve());
        self.actions
            .extend(members.map(|member| member.reserve(now, round, hold)));
    }

    /// When to look again: at the next renewal, or when a reservation may run out.
    pub(super) fn next_check(&self) -> Timestamp {
        let ends = self.members.iter().filter_map(SpanMember::held_until);
        ends.fold(self.renew_at, Duration::min)
    }
}
