//! Rate limits that endpoints advertise.

use lovagedock::{AdvertisedLimit, EndpointProcess, RateLimitEvent, RateUpdate, prelude::*};
use slog::info;

use super::GatewayState;

impl GatewayState {
    /// Records the rate limit in an endpoint's response to a request that was sent at `sent_at`.
    pub(crate) fn record_rate_limit(
        &self,
        endpoint: &EndpointProcess,
        sent_at: Timestamp,
        advertised: AdvertisedLimit,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let event = fleet.rate_limits.record(now, endpoint, sent_at, advertised);
        drop(fleet);
        if let Some(event) = event {
            self.report_rate_change(endpoint, event, "answer");
            self.urgent_update.notify_one();
            self.capacity_changed.notify_waiters();
        }
    }

    /// Applies rate limit updates from a peer.
    pub(crate) fn apply_peer_limits(&self, peer: &GatewayId, updates: Vec<RateUpdate>) {
        let now = self.clock.now();
        for update in updates {
            let endpoint = update.endpoint.clone();
            let mut fleet = self.fleet.lock();
            if !fleet.accepts_peer_load(&endpoint) {
                continue;
            }
            let event = fleet.rate_limits.apply_update(now, peer, update);
            drop(fleet);
            if let Some(event) = event {
                self.report_rate_change(&endpoint, event, "peer");
                self.capacity_changed.notify_waiters();
            }
        }
    }

    /// Returns the rate limit updates that are due to be sent to peers.
    pub(crate) fn take_rate_updates(&self) -> Vec<RateUpdate> {
        let now = self.clock.now();
        self.fleet.lock().rate_limits.take_updates(now)
    }

    /// Applies claims of a peer for cold endpoints.
    pub(crate) fn apply_peer_cold_limits(&self, peer: &GatewayId, updates: Vec<RateUpdate>) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        for update in updates {
            // Each gateway learns by itself which endpoints are cold and when they no longer are.
            let rate = fleet.cold_limits.rate(&update.endpoint);
            if rate.is_some() {
                let update = RateUpdate { rate, ..update };
                fleet.cold_limits.apply_update(now, peer, update);
            }
        }
    }

    /// Returns the claims for cold endpoints that are due to be sent to peers.
    pub(crate) fn take_cold_updates(&self) -> Vec<RateUpdate> {
        let now = self.clock.now();
        self.fleet.lock().cold_limits.take_updates(now)
    }

    fn report_rate_change(
        &self,
        endpoint: &EndpointProcess,
        event: RateLimitEvent,
        source: &'static str,
    ) {
        match event {
            RateLimitEvent::Changed { before, rate } => {
                let limited = self.fleet.lock().rate_limits.limited().count();
                metrics::counter!("lovagedock_endpoint_limit_changes_total", "source" => source)
                    .increment(1);
                metrics::gauge!("lovagedock_limited_endpoints").set(limited as f64);
                info!(self.log, "endpoint rate limit changed"; "endpoint" => %endpoint,
                    "requests_per_second" => rate, "before" => before, "source" => source);
            }
            RateLimitEvent::Malformed => {
                metrics::counter!("lovagedock_malformed_endpoint_limits_total").increment(1);
                info!(self.log, "malformed endpoint rate limit ignored"; "endpoint" => %endpoint);
            }
        }
    }
}
