//! Memory that spans reserve ahead of their request.

use std::time::Duration;

use crate::{
    endpoint::{core::EndpointCore, ledger::LeaseState, messages::EndpointAction},
    ids::{RequestId, Timestamp, TokenCount},
    outcome::AttemptKey,
};

impl EndpointCore {
    pub(super) fn reserve(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        tokens: TokenCount,
        hold: Duration,
    ) {
        if self.reservation(key).is_some() {
            return self.renew(now, key, hold);
        }
        if !self.may_reserve(key, tokens) {
            return self.refuse_reservation(key);
        }
        let until = now + hold.min(self.limits.reservation_hold);
        self.ledger
            .grant(key.request, tokens, LeaseState::Reserved { until });
        self.queue.note_taken(key.request, tokens);
        self.grant_reservation(key);
    }

    /// Spans get free memory at once or not at all: one that waited here while it holds memory
    /// elsewhere could wait for another span that waits for it.
    fn may_reserve(&self, key: AttemptKey, tokens: TokenCount) -> bool {
        let known = self.table.contains_key(&key.request)
            || self.ledger.lease(key.request).is_some()
            || self.ledger.is_orphan(key.request)
            || self.buried(key).is_some();
        let serving = self.engine_up && !self.draining && key.incarnation == self.incarnation;
        let percent = TokenCount::from(self.limits.span_share_percent);
        let share = self.ledger.memory() * percent / 100;
        let in_share = self.span_tokens().saturating_add(tokens) <= share;
        serving && !known && in_share && self.queue.leaves_room(tokens, self.room())
    }

    /// Memory that spans hold, reserved or running.
    fn span_tokens(&self) -> TokenCount {
        let running = self
            .table
            .values()
            .filter(|entry| !entry.order.span.is_empty());
        let leases = running.filter_map(|entry| self.ledger.lease(entry.key.request));
        self.ledger.reserved() + leases.map(|lease| lease.tokens).sum::<TokenCount>()
    }

    pub(super) fn renew(&mut self, now: Timestamp, key: AttemptKey, hold: Duration) {
        if self.reservation(key).is_none() {
            return self.refuse_reservation(key);
        }
        let until = now + hold.min(self.limits.reservation_hold);
        self.ledger
            .grant(key.request, 0, LeaseState::Reserved { until });
        self.grant_reservation(key);
    }

    pub(super) fn release(&mut self, now: Timestamp, key: AttemptKey) {
        if key.incarnation == self.incarnation {
            self.close_reservation(now, key.request);
        }
    }

    pub(super) fn lapse_reservations(&mut self, now: Timestamp) {
        for request in self.ledger.lapsed(now) {
            self.close_memory(now, request);
        }
    }

    /// Frees a reservation; memory of a request that runs is not touched.
    pub(super) fn close_reservation(&mut self, now: Timestamp, request: RequestId) {
        let lease = self.ledger.lease(request);
        if lease.is_some_and(|lease| matches!(lease.state, LeaseState::Reserved { .. })) {
            self.close_memory(now, request);
        }
    }

    /// Until when the reservation of an attempt lasts.
    fn reservation(&self, key: AttemptKey) -> Option<Timestamp> {
        let lease = self.ledger.lease(key.request)?;
        match lease.state {
            LeaseState::Reserved { until } if key.incarnation == self.incarnation => Some(until),
            _ => None,
        }
    }

    fn grant_reservation(&mut self, key: AttemptKey) {
        let free_tokens = self.ledger.free();
        self.actions
            .push(EndpointAction::GrantReservation { key, free_tokens });
    }

    fn refuse_reservation(&mut self, key: AttemptKey) {
        let free_tokens = self.ledger.free();
        self.actions
            .push(EndpointAction::RefuseReservation { key, free_tokens });
    }
}
