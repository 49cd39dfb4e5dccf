//! Keeps a span's reservations while its prompt is prefilled and its answer decoded.

use std::time::Duration;

use super::{
    coordinator::{SpanCoordinator, SpanState},
    member::SpanMember,
};
use crate::ids::{EndpointId, Incarnation, Timestamp};

impl SpanCoordinator {
    pub(super) fn is_keeping(&self) -> bool {
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
        self.is_keeping() && self.members.iter().any(lapsed)
    }

    pub(super) fn member_lost(&mut self, now: Timestamp, endpoint: &EndpointId, life: Incarnation) {
        let Some(member) = self
            .members
            .iter_mut()
            .find(|member| member.is_on(endpoint, life))
        else {
            return;
        };
        // A silent connection is no dead engine: its reservation lasts for the hold, and a new
        // connection may renew it before a long prefill is thrown away.
        member.is_lost = true;
        if matches!(self.state, SpanState::Reserving { .. }) {
            self.step_back(now);
        }
    }

    pub(super) fn member_back(&mut self, now: Timestamp, endpoint: &EndpointId, life: Incarnation) {
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
        let same_life = member.part.incarnation == life;
        match self.state {
            SpanState::Reserving { .. } if !same_life => self.step_back(now),
            SpanState::Prefilling | SpanState::Decoding if !same_life => self.fail_lost(),
            SpanState::Prefilling | SpanState::Decoding if member.is_lost => {
                member.come_back();
                self.reserve_missing(now);
            }
            _ => {}
        }
    }

    pub(super) fn renew(&mut self, now: Timestamp) {
        if now >= self.renew_at {
            self.renew_at = now + self.renew_pause();
            self.reserve_missing(now);
        }
    }

    /// Asks every member that is in reach and has no question open.
    pub(super) fn reserve_missing(&mut self, now: Timestamp) {
        let (round, hold) = (self.round, self.plan.timing.hold);
        let members = self.members.iter_mut().filter(|member| member.may_ask());
        self.actions
            .extend(members.map(|member| member.reserve(now, round, hold)));
    }

    /// When to look again: at the next renewal, or when a reservation may run out.
    pub(super) fn next_check(&self) -> Timestamp {
        let ends = self.members.iter().filter_map(SpanMember::held_until);
        ends.fold(self.renew_at, Duration::min)
    }
}
