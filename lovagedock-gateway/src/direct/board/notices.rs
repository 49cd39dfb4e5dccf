//! Leaving and backoff notices in the answers of endpoints.

use lovagedock::{BackoffEvent, EndpointLife, EndpointState, RetryAfter};
use slog::info;

use super::FleetBoard;

impl FleetBoard {
    /// Logs that a ready endpoint announced in an answer that it is leaving.
    pub(crate) fn note_leaving(&self, endpoint: &EndpointLife) {
        let fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let known = fleet.endpoints.get(&endpoint.id);
        let was_ready = known.is_some_and(|known| known.state == EndpointState::Ready);
        drop(fleet);
        if !was_ready {
            return;
        }
        if let Some(left_out) = self.lines.take(self.clock.now()) {
            info!(self.log, "endpoint is leaving"; "endpoint" => %endpoint, "source" => "answer",
                "left_out" => left_out);
        }
    }

    /// Records the retry delay in an endpoint's answer that rejected a request.
    pub(crate) fn note_backoff(&self, endpoint: &EndpointLife, retry_after: RetryAfter) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let event = fleet.backoffs.record(now, endpoint, retry_after);
        drop(fleet);
        match event {
            None => {}
            Some(BackoffEvent::Extended { delay }) => {
                metrics::counter!("lovagedock_endpoint_backoffs_total").increment(1);
                if let Some(left_out) = self.lines.take(now) {
                    info!(self.log, "endpoint asked for backoff"; "endpoint" => %endpoint,
                        "for_ms" => delay.as_millis() as u64, "left_out" => left_out);
                }
            }
            Some(BackoffEvent::Malformed) => {
                metrics::counter!("lovagedock_malformed_endpoint_backoffs_total").increment(1);
                info!(self.log, "malformed endpoint backoff ignored"; "endpoint" => %endpoint);
            }
        }
    }

    pub(super) fn note_backoffs_ended(&self, endpoints: &[EndpointLife]) {
        for endpoint in endpoints {
            info!(self.log, "endpoint backoff ended"; "endpoint" => %endpoint);
        }
    }
}
