//! Memory reservations for spans, made before the request is submitted.

use std::time::Duration;

use crate::{
    endpoint::{core::EndpointCore, ledger::LeaseState, messages::EndpointAction},
    ids::{AttemptNumber, RequestId, Timestamp, TokenCount},
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
        if let Some(reservation) = self.reservation(key.request) {
            let enough = reservation.tokens >= tokens;
            if !enough || key.attempt < reservation.attempt || !self.is_own_incarnation(key) {
                return self.refuse_reservation(key);
            }
            return self.grant_reservation(now, key, tokens, hold);
        }
        if !self.may_reserve(now, key, tokens) {
            return self.refuse_reservation(key);
        }
        self.queue.record_external_grant(key.request, tokens);
        self.grant_reservation(now, key, tokens, hold);
    }

    fn grant_reservation(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        tokens: TokenCount,
        hold: Duration,
    ) {
        let state = LeaseState::Reserved {
            attempt: key.attempt,
            expires_at: now + hold.min(self.limits.reservation_hold),
        };
        self.ledger.grant(key.request, tokens, state);
        let free_tokens = self.ledger.free();
        self.actions
            .push(EndpointAction::GrantReservation { key, free_tokens });
    }

    /// Whether a reservation may be granted. It is granted immediately or refused and never waits.
    /// A span that waited here while holding memory on other engines could deadlock with another
    /// span.
    fn may_reserve(&self, now: Timestamp, key: AttemptKey, tokens: TokenCount) -> bool {
        let known = self.requests.contains_key(&key.request)
            || self.ledger.lease(key.request).is_some()
            || self.ledger.is_orphan(key.request)
            || self.tombstone_refusal(key).is_some();
        let serving = self.engine_up && !self.draining && self.is_engine_state_known(now);
        let fits = tokens <= self.ledger.free();
        let percent = TokenCount::from(self.limits.span_share_percent);
        let share = self.ledger.memory() * percent / 100;
        let in_share = self.span_tokens().saturating_add(tokens) <= share;
        self.is_own_incarnation(key)
            && serving
            && !known
            && in_share
            && fits
            && self
                .queue
                .leaves_memory_for_head(tokens, self.ledger.memory())
    }

    /// Memory held by spans, both reserved and running.
    fn span_tokens(&self) -> TokenCount {
        let running = self
            .requests
            .values()
            .filter(|entry| !entry.order.span.is_empty());
        let leases = running.filter_map(|entry| self.ledger.lease(entry.key.request));
        self.ledger.reserved() + leases.map(|lease| lease.tokens).sum::<TokenCount>()
    }

    pub(super) fn renew(&mut self, now: Timestamp, key: AttemptKey, hold: Duration) {
        if !self.holds_reservation(key) {
            return self.refuse_reservation(key);
        }
        self.grant_reservation(now, key, 0, hold);
    }

    pub(super) fn release(&mut self, now: Timestamp, key: AttemptKey) {
        if self.holds_reservation(key) {
            self.close_memory(now, key.request);
        }
    }

    /// Whether an attempt holds a reservation, so that a part of its span may be prefilled.
    pub fn holds_reservation(&self, key: AttemptKey) -> bool {
        let reservation = self.reservation(key.request);
        let own = reservation.is_some_and(|reservation| reservation.attempt == key.attempt);
        own && self.is_own_incarnation(key)
    }

    pub(super) fn expire_reservations(&mut self, now: Timestamp) {
        for request in self.ledger.expired_reservations(now) {
            self.close_memory(now, request);
        }
    }

    /// Frees a reservation of this attempt or an older one. Memory of a running request is not
    /// affected.
    pub(super) fn close_reservation(&mut self, now: Timestamp, key: AttemptKey) {
        let reservation = self.reservation(key.request);
        if reservation.is_some_and(|reservation| reservation.attempt <= key.attempt) {
            self.close_memory(now, key.request);
        }
    }

    fn reservation(&self, request: RequestId) -> Option<HeldReservation> {
        let lease = self.ledger.lease(request)?;
        match lease.state {
            LeaseState::Reserved { attempt, .. } => Some(HeldReservation {
                attempt,
                tokens: lease.tokens,
            }),
            LeaseState::Running | LeaseState::Closing { .. } => None,
        }
    }

    fn is_own_incarnation(&self, key: AttemptKey) -> bool {
        key.incarnation == self.incarnation
    }

    fn refuse_reservation(&mut self, key: AttemptKey) {
        let free_tokens = self.ledger.free();
        self.actions
            .push(EndpointAction::RefuseReservation { key, free_tokens });
    }
}

struct HeldReservation {
    attempt: AttemptNumber,
    tokens: TokenCount,
}
