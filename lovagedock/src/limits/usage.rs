//! Usage of one organisation's limits at this gateway.

use std::time::Duration;

use super::{
    bucket::ShareBucket,
    demand::OwnDemand,
    limiter::{LimitDecision, LimitKind},
};
use crate::{
    config::OrganisationLimits,
    ids::{Timestamp, TokenCount},
};

const REQUEST_BURST_SECONDS: f64 = 1.0;
const TOKEN_BURST_SECONDS: f64 = 10.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) struct OrganisationUsage {
    pub(super) limits: OrganisationLimits,
    requests: ShareBucket,
    tokens: ShareBucket,
    pub(super) in_flight: u32,
    pub(super) demand: OwnDemand,
}

/// This gateway's share of each limit, and the number of requests in flight at its peers.
pub(super) struct LimitShares {
    pub(super) requests: f64,
    pub(super) tokens: f64,
    pub(super) concurrency: f64,
    pub(super) peers_in_flight: u64,
}

impl OrganisationUsage {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            limits: OrganisationLimits::default(),
            requests: ShareBucket::new(now),
            tokens: ShareBucket::new(now),
            in_flight: 0,
            demand: OwnDemand::default(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.demand.is_idle()
    }

    pub(super) fn apply_shares(&mut self, now: Timestamp, shares: &LimitShares) {
        let rate = f64::from(self.limits.requests_per_second) * shares.requests;
        self.requests
            .set_rate(now, rate, (rate * REQUEST_BURST_SECONDS).max(1.0));
        let rate = self.limits.tokens_per_minute as f64 / SECONDS_PER_MINUTE * shares.tokens;
        self.tokens
            .set_rate(now, rate, (rate * TOKEN_BURST_SECONDS).max(1.0));
    }

    pub(super) fn finish(&mut self, extra_tokens: TokenCount) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.consume(extra_tokens as f64);
        self.demand.current.tokens += extra_tokens;
    }

    /// Ends the exchange with this number.
    pub(super) fn close_exchange(&mut self, sequence: u64) {
        self.demand.current.in_flight = self.in_flight;
        self.demand.close_exchange(sequence);
    }

    pub(super) fn admit(&mut self, shares: &LimitShares, tokens: TokenCount) -> LimitDecision {
        self.demand.current.requests += 1;
        self.demand.current.tokens += tokens;
        let refused = self.refusal(shares);
        if let Some((limit, retry_after)) = refused {
            return LimitDecision::Refused { limit, retry_after };
        }
        self.requests.consume(1.0);
        self.tokens.consume(tokens as f64);
        self.in_flight += 1;
        LimitDecision::Admitted
    }

    fn refusal(&self, shares: &LimitShares) -> Option<(LimitKind, Duration)> {
        if self.limits.requests_per_second > 0 && !self.requests.has_available(1.0) {
            return Some((LimitKind::Requests, self.requests.time_until(1.0)));
        }
        // A single request may be larger than the share. It is admitted while any tokens are left,
        // and the resulting debt is paid off before the next one is admitted.
        if self.limits.tokens_per_minute > 0 && !self.tokens.has_available(1.0) {
            return Some((LimitKind::Tokens, self.tokens.time_until(1.0)));
        }
        let limit = self.limits.concurrency;
        let allowed = (f64::from(limit) * shares.concurrency) as u32;
        let share_used = self.in_flight >= allowed.max(1);
        let limit_reached = u64::from(self.in_flight) + shares.peers_in_flight >= u64::from(limit);
        if limit > 0 && (share_used || (limit_reached && self.in_flight > 0)) {
            return Some((LimitKind::Concurrency, CONCURRENCY_RETRY));
        }
        None
    }
}
