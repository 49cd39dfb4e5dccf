//! Failure domains that operators have drained, and endpoints that are cold.

use lovagedock::{
    DirectEndpoint, DrainChange, DrainSnapshot, EndpointProcess, StorePosition, TrafficConfig,
    prelude::*,
};
use slog::{info, warn};

use super::{GatewayState, STORE_SOURCE, fleet_state::FleetState};

impl GatewayState {
    /// Applies the complete set of drained domains, from the store or a peer, unless a newer one is
    /// known.
    pub(crate) fn apply_drains(&self, snapshot: DrainSnapshot, source: &'static str) {
        let now = self.clock.now();
        let position = snapshot.position;
        let mut fleet = self.fleet.lock();
        let was_known = fleet.drains.is_known();
        let change = fleet.drains.apply_snapshot(now, snapshot);
        fleet.record_return(now, &change.restored);
        drop(fleet);
        if source == STORE_SOURCE && !change.is_empty() {
            self.set_store_news();
        }
        if !was_known {
            self.urgent_update.notify_one();
        }
        self.report_drain_change(&change, position, source);
    }

    /// Applies a change of one domain that the store made up to `position`.
    pub(crate) fn apply_drain_entry(
        &self,
        position: StorePosition,
        domain: DomainId,
        is_drained: bool,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let change = fleet.drains.apply_entry(position, domain, is_drained);
        fleet.record_return(now, &change.restored);
        drop(fleet);
        self.set_store_news();
        self.report_drain_change(&change, position, STORE_SOURCE);
    }

    /// Returns the drained domains, to be sent to peers.
    pub(crate) fn drain_snapshot(&self) -> Option<DrainSnapshot> {
        self.fleet.lock().drains.snapshot()
    }

    /// Returns the drained domains.
    pub(crate) fn drained_domains(&self) -> Vec<DomainId> {
        self.fleet.lock().drains.domains().into_iter().collect()
    }

    /// Returns the endpoints that are cold.
    pub(crate) fn cold_endpoints(&self) -> Vec<EndpointProcess> {
        self.fleet.lock().cold.processes().cloned().collect()
    }

    /// Ends drains that a restored store does not list, and the limits of endpoints that are warm.
    pub(super) fn settle_drains(&self) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let change = fleet.drains.settle(now);
        fleet.record_return(now, &change.restored);
        let warm = fleet.cold.take_warm(now);
        for process in &warm {
            fleet.cold_limits.set_limit(now, process, None);
        }
        let cold = fleet.cold.processes().count();
        let position = fleet.drains.snapshot().unwrap_or_default().position;
        drop(fleet);
        metrics::gauge!("lovagedock_cold_endpoints").set(cold as f64);
        if !warm.is_empty() {
            info!(self.log, "endpoints are warm"; "endpoints" => warm.len());
            self.capacity_changed.notify_waiters();
        }
        self.report_drain_change(&change, position, "timeout");
    }

    /// Applies the rates that the configuration declares for cold endpoints.
    pub(super) fn apply_cold_profiles(&self, config: &TrafficConfig) {
        let now = self.clock.now();
        let services = config.services.iter();
        let profiles = services.filter_map(|(id, service)| Some((id.clone(), service.cold?)));
        let mut fleet = self.fleet.lock();
        fleet.cold_profiles = profiles.collect();
        let cold: Vec<DirectEndpoint> = fleet
            .cold
            .processes()
            .filter_map(|process| fleet.endpoints.get(&process.id))
            .cloned()
            .collect();
        for endpoint in &cold {
            fleet.limit_cold(now, endpoint);
        }
    }

    fn report_drain_change(
        &self,
        change: &DrainChange,
        position: StorePosition,
        source: &'static str,
    ) {
        if change.is_empty() {
            return;
        }
        let fleet = self.fleet.lock();
        let drained = fleet.drains.domains().len();
        let without_endpoints: Vec<&DomainId> = change
            .drained
            .iter()
            .filter(|domain| fleet.endpoints.all().all(|known| known.domain != **domain))
            .collect();
        for domain in &without_endpoints {
            warn!(self.log, "drained failure domain has no endpoints"; "domain" => &***domain);
        }
        drop(fleet);
        metrics::gauge!("lovagedock_drained_domains").set(drained as f64);
        let changes = [(&change.drained, true), (&change.restored, false)];
        for (domains, is_drained) in changes {
            for domain in domains {
                info!(self.log, "failure domain drained or restored"; "domain" => &**domain,
                    "drained" => is_drained, "era" => position.era,
                    "revision" => position.revision, "source" => source);
            }
        }
        self.urgent_update.notify_one();
        self.capacity_changed.notify_waiters();
    }
}

impl FleetState {
    /// Records that the endpoints of these domains accept work again. They may have become cold
    /// just before, which their entries report only later.
    pub(super) fn record_return(&mut self, now: Timestamp, domains: &[DomainId]) {
        if domains.is_empty() {
            return;
        }
        let returned = self.endpoints.all();
        let returned: Vec<DirectEndpoint> = returned
            .filter(|endpoint| domains.contains(&endpoint.domain))
            .cloned()
            .collect();
        for endpoint in returned {
            let profile = self.cold_profiles.get(&endpoint.service);
            let cold_left = profile.map_or(Default::default(), |profile| profile.duration);
            let endpoint = DirectEndpoint {
                cold_left,
                ..endpoint
            };
            self.record_cold(now, &endpoint);
        }
    }

    /// Records how much longer an endpoint is cold, as of its latest entry or response. Returns
    /// whether it was not known to be cold before.
    pub(super) fn record_cold(&mut self, now: Timestamp, endpoint: &DirectEndpoint) -> bool {
        let process = &endpoint.process;
        let is_new = self.cold.record(now, process, endpoint.cold_left);
        if is_new {
            self.limit_cold(now, endpoint);
        }
        is_new
    }

    fn limit_cold(&mut self, now: Timestamp, endpoint: &DirectEndpoint) {
        let (Some(allowance), Some(profile)) = (
            self.cold_allowance,
            self.cold_profiles.get(&endpoint.service),
        ) else {
            return;
        };
        let rate = allowance.shared_rate(profile);
        self.cold_limits
            .set_limit(now, &endpoint.process, Some(rate));
    }
}
