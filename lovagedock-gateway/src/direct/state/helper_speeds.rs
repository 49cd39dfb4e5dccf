//! Measured speeds of helpers, and endpoints that report in a response that they are cold.

use std::{collections::HashMap, sync::Arc, time::Duration};

use lovagedock::{DirectEndpoint, EndpointProcess, HelperSpeed, TeamPrediction, prelude::*};
use slog::info;
use tokio::time::Instant;

use super::{GatewayState, PlacedRequest, fleet_state::FleetState};

/// Measures the time to the first event of a long prompt that several endpoints prefill.
pub(crate) struct TeamTiming {
    state: Arc<GatewayState>,
    request: String,
    service: ServiceId,
    members: Vec<EndpointProcess>,
    prediction: TeamPrediction,
    sent_at: Instant,
}

impl TeamTiming {
    /// Starts the measurement of a request that was sent at `sent_at`.
    pub(crate) fn new(
        state: Arc<GatewayState>,
        request: &str,
        placed: &PlacedRequest,
        sent_at: Instant,
    ) -> Self {
        let helpers = placed.helpers.iter().map(|helper| &helper.endpoint);
        let members = std::iter::once(&placed.lead).chain(helpers);
        Self {
            state,
            request: request.to_owned(),
            service: placed.lead.service.clone(),
            members: members.map(|endpoint| endpoint.process.clone()).collect(),
            prediction: placed.prediction,
            sent_at,
        }
    }

    /// Records that the first event has arrived.
    pub(crate) fn finish(self) {
        let Some(ratio) = self.prediction.ratio(self.sent_at.elapsed()) else {
            return;
        };
        self.state
            .record_team(&self.request, &self.service, &self.members, ratio);
    }
}

impl GatewayState {
    /// Records the ratio of measured to predicted prefill time of a team.
    fn record_team(
        &self,
        request: &str,
        service: &ServiceId,
        members: &[EndpointProcess],
        ratio: f64,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let is_current = |member: &EndpointProcess| fleet.endpoints.is_current(member);
        if !members.iter().all(is_current) {
            return;
        }
        let engine_count = fleet.endpoints.ready(service).count();
        let speeds = fleet.helper_speeds.entry(service.clone()).or_default();
        speeds.set_engine_count(engine_count);
        speeds.record_team(now, members, ratio);
        drop(fleet);
        self.deferred_update.notify_one();
        self.report_helper_changes(Some(request));
    }

    /// Returns the speeds of helpers that are due to be sent to peers.
    pub(crate) fn take_helper_speeds(&self) -> Vec<HelperSpeed> {
        if !self.overload.helper_speeds {
            return Vec::new();
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let services = fleet.helper_speeds.values_mut();
        services.flat_map(|speeds| speeds.take_due(now)).collect()
    }

    /// Applies the speeds of helpers that a peer measured.
    pub(crate) fn apply_peer_helper_speeds(&self, peer: &GatewayId, updates: Vec<HelperSpeed>) {
        if !self.overload.helper_speeds || updates.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let FleetState {
            endpoints,
            helper_speeds,
            ..
        } = &mut *fleet;
        let mut by_service: HashMap<ServiceId, Vec<HelperSpeed>> = HashMap::new();
        for update in updates {
            if let Some(endpoint) = endpoints.get(&update.endpoint.id) {
                let service = endpoint.service.clone();
                by_service.entry(service).or_default().push(update);
            }
        }
        for (service, updates) in by_service {
            let speeds = helper_speeds.entry(service.clone()).or_default();
            speeds.set_engine_count(endpoints.ready(&service).count());
            speeds.apply_reports(now, peer, updates, |process| endpoints.is_current(process));
        }
        drop(fleet);
        self.report_helper_changes(None);
    }

    /// Logs and counts helpers that have become slow or fast. `request` is the measured request, if
    /// any.
    pub(super) fn report_helper_changes(&self, request: Option<&str>) {
        if !self.overload.helper_speeds {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let services = fleet.helper_speeds.values_mut();
        let changes: Vec<_> = services
            .flat_map(|speeds| speeds.take_changes(now))
            .collect();
        let services = fleet.helper_speeds.values();
        let slow_count: usize = services.map(|speeds| speeds.slow_count()).sum();
        drop(fleet);
        if changes.is_empty() {
            return;
        }
        metrics::gauge!("lovagedock_slow_helpers").set(slow_count as f64);
        for change in changes {
            let Some(left_out) = self.log_limiter.admit(now) else {
                continue;
            };
            let message = match change.slowdown > 1.0 {
                true => "helper is slow",
                false => "helper is fast again",
            };
            info!(self.log, "{}", message; "endpoint" => %change.endpoint,
                "slowdown" => change.slowdown, "teams" => change.teams,
                "request" => request, "left_out" => left_out);
        }
    }

    /// Records that an endpoint reported in a response that it stays cold for `cold_left`.
    pub(crate) fn record_cold_notice(&self, endpoint: &EndpointProcess, cold_left: Duration) {
        if !self.overload.helper_speeds || cold_left.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if fleet.cold_allowance.is_none() || !fleet.endpoints.is_current(endpoint) {
            return;
        }
        let Some(known) = fleet.endpoints.get(&endpoint.id).cloned() else {
            return;
        };
        let Some(profile) = fleet.cold_profiles.get(&known.service) else {
            return;
        };
        // A longer time is an error of the endpoint and would limit it for too long.
        let cold_left = cold_left.min(profile.duration);
        let reported = DirectEndpoint { cold_left, ..known };
        let is_new = fleet.record_cold(now, &reported);
        drop(fleet);
        if !is_new {
            return;
        }
        metrics::counter!("lovagedock_cold_notices_total").increment(1);
        if let Some(left_out) = self.log_limiter.admit(now) {
            info!(self.log, "endpoint is cold"; "endpoint" => %endpoint,
                "for_ms" => cold_left.as_millis() as u64, "left_out" => left_out);
        }
    }
}
