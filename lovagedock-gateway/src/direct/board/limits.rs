//! Rate limits that endpoints advertise.

use lovagedock::{AdvertisedLimit, EndpointLife, RateLimitEvent, prelude::*};
use slog::info;

use super::FleetBoard;

impl FleetBoard {
    /// Records the rate limit in an endpoint's answer to a request that was sent at `sent_at`.
    pub(crate) fn note_rate_limit(
        &self,
        endpoint: &EndpointLife,
        sent_at: Timestamp,
        advertised: AdvertisedLimit,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let event = fleet.rate_limits.record(now, endpoint, sent_at, advertised);
        let limited = fleet.rate_limits.limited().count();
        drop(fleet);
        match event {
            None => {}
            Some(RateLimitEvent::Changed { before, rate }) => {
                metrics::counter!("lovagedock_endpoint_limit_changes_total").increment(1);
                metrics::gauge!("lovagedock_limited_endpoints").set(limited as f64);
                info!(self.log, "endpoint rate limit changed"; "endpoint" => %endpoint,
                    "requests_per_second" => rate, "before" => before);
            }
            Some(RateLimitEvent::Malformed) => {
                metrics::counter!("lovagedock_malformed_endpoint_limits_total").increment(1);
                info!(self.log, "malformed endpoint rate limit ignored"; "endpoint" => %endpoint);
            }
        }
    }
}
