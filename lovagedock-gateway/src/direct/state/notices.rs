//! Leaving and backoff notices in the responses of endpoints.

use lovagedock::{BackoffEvent, EndpointProcess, RetryAfter};
use slog::info;

use super::GatewayState;

impl GatewayState {
    /// Records that an endpoint announced in a response that it is leaving.
    pub(crate) fn record_leaving(&self, endpoint: &EndpointProcess) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.endpoints.record_leaving(endpoint) {
            return;
        }
        fleet.leaving_queue.push(now, endpoint.clone());
        drop(fleet);
        self.report_leaving(endpoint, "answer");
        self.urgent_update.notify_one();
    }

    /// Records endpoints that a peer reports as leaving.
    pub(crate) fn apply_peer_leaving(&self, endpoints: Vec<EndpointProcess>) {
        for endpoint in &endpoints {
            if self.fleet.lock().endpoints.record_leaving(endpoint) {
                self.report_leaving(endpoint, "peer");
            }
        }
    }

    /// Returns the leaving endpoints that are due to be sent to peers.
    pub(crate) fn take_leaving_notices(&self) -> Vec<EndpointProcess> {
        let now = self.clock.now();
        self.fleet.lock().leaving_queue.take_due(now)
    }

    /// Counts and logs an endpoint that newly announced that it is leaving.
    fn report_leaving(&self, endpoint: &EndpointProcess, source: &'static str) {
        metrics::counter!("lovagedock_leaving_endpoints_total", "source" => source).increment(1);
        info!(self.log, "endpoint is leaving"; "endpoint" => %endpoint, "source" => source);
    }

    /// Records the retry delay in an endpoint's response that rejected a request.
    pub(crate) fn record_backoff(&self, endpoint: &EndpointProcess, retry_after: RetryAfter) {
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
                if let Some(left_out) = self.log_limiter.admit(now) {
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

    pub(super) fn log_ended_backoffs(&self, endpoints: &[EndpointProcess]) {
        for endpoint in endpoints {
            info!(self.log, "endpoint backoff ended"; "endpoint" => %endpoint);
        }
    }
}
