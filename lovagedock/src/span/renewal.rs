//! Renews a span's reservations while its prompt is prefilled and its answer decoded.

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

    /// Whether a reservation may have expired, so that a sidecar may have given the memory to
    /// others.
    ///
    /// A reservation that expired and was granted again looks like a renewal, but its KV blocks are
    /// lost and the answer would be computed without them. Therefore the time of a renewal counts
    /// from before it was requested, and its answer must arrive before the previous reservation
    /// expires. This guarantees that the sidecar held the memory without interruption.
    pub(super) fn may_have_expired(&self, now: Timestamp) -> bool {
        let is_expired =
            |member: &SpanMember| member.held_until().is_some_and(|until| now >= until);
        self.holds_reservations() && self.members.iter().any(is_expired)
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
            .find(|member| member.is_on_incarnation(endpoint, incarnation))
        else {
            return;
        };
        // A silent connection does not mean that the engine is dead. The reservation lasts for the
        // hold time, and a new connection can renew it, so that a long prefill is not lost.
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

    /// Requests or renews the reservation of every connected member without a pending request.
    pub(super) fn request_reservations(&mut self, now: Timestamp) {
        let (round, hold) = (self.round, self.plan.timing.hold);
        let members = self
            .members
            .iter_mut()
            .filter(|member| member.may_reserve());
        self.actions
            .extend(members.map(|member| member.reserve(now, round, hold)));
    }

    /// Returns when to check again: at the next renewal, or when a reservation may expire.
    pub(super) fn next_check(&self) -> Timestamp {
        let ends = self.members.iter().filter_map(SpanMember::held_until);
        ends.fold(self.renew_at, Duration::min)
    }
}
