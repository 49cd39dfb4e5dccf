//! Endpoints as listed by the store or a peer.

use lovagedock::{
    DirectEndpoint, EndpointChange, EndpointProcess, EntryChange, ListingDelta, ListingVersion,
    StorePosition, prelude::*,
};
use serde::{Deserialize, Serialize};
use slog::info;
use tokio::sync::futures::Notified;

use super::{GatewayState, fleet_state::FleetState};

/// Endpoints as known to one gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EndpointsSnapshot {
    /// Version of the listing.
    pub(crate) version: ListingVersion,
    /// All endpoints.
    pub(crate) endpoints: Vec<DirectEndpoint>,
    /// Listed endpoints that are missing from the store and may still return.
    pub(crate) missing: Vec<EndpointId>,
    /// Outdated entries that the store lists and that are applied only after a delay.
    #[serde(rename = "doubtful")]
    pub(crate) deferred: Vec<DirectEndpoint>,
}

impl GatewayState {
    /// Applies a new or changed entry of an endpoint.
    pub(crate) fn upsert_endpoint(&self, endpoint: DirectEndpoint) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.listing.record_change(&endpoint.process.id);
        fleet.log_endpoint_change(&endpoint.process.id);
        let change = fleet.apply_entry(now, endpoint.clone());
        drop(fleet);
        self.log_entry_change(&endpoint, &change);
        self.capacity_changed.notify_waiters();
    }

    pub(super) fn log_entry_change(&self, endpoint: &DirectEndpoint, change: &EntryChange) {
        match change {
            EntryChange::Unchanged => {}
            EntryChange::Changed => {
                info!(self.log, "endpoint listed"; "endpoint" => endpoint_text(endpoint));
            }
            EntryChange::Restarted(former) => {
                info!(self.log, "endpoint started again";
                    "endpoint" => endpoint_text(endpoint), "former" => %former.process);
                self.endpoint_restarted.notify_waiters();
            }
            EntryChange::Outdated => {
                metrics::counter!("lovagedock_outdated_entries_total").increment(1);
                info!(self.log, "entry of a former process left out";
                    "endpoint" => endpoint_text(endpoint));
            }
        }
    }

    /// Returns whether another process has replaced this one.
    pub(crate) fn is_replaced(&self, process: &EndpointProcess) -> bool {
        self.fleet.lock().endpoints.is_replaced(process)
    }

    /// Returns whether a process was listed and no longer is.
    pub(crate) fn is_unlisted(&self, process: &EndpointProcess) -> bool {
        self.fleet.lock().endpoints.is_unlisted(process)
    }

    /// Waits until an endpoint has restarted.
    pub(crate) fn endpoint_restarted(&self) -> Notified<'_> {
        self.endpoint_restarted.notified()
    }

    /// Removes an endpoint whose entry was deleted.
    pub(crate) fn remove_endpoint(&self, id: &EndpointId) {
        let mut fleet = self.fleet.lock();
        fleet.listing.record_change(id);
        fleet.log_endpoint_change(id);
        fleet.forget_endpoint(self.clock.now(), id);
        drop(fleet);
        info!(self.log, "endpoint gone"; "endpoint" => &**id);
    }

    /// Returns all known endpoints, to be sent to a peer.
    pub(crate) fn endpoints_snapshot(&self) -> EndpointsSnapshot {
        let fleet = self.fleet.lock();
        EndpointsSnapshot {
            version: fleet.listing.version(),
            endpoints: fleet.endpoints.all().cloned().collect(),
            missing: fleet.listing.missing_endpoints().cloned().collect(),
            deferred: fleet.endpoints.deferred().cloned().collect(),
        }
    }

    /// Returns the version of the listing.
    pub(crate) fn listing_version(&self) -> ListingVersion {
        self.fleet.lock().listing.version()
    }

    /// Sets the store position of the changes that are about to be applied. Returns false if it is
    /// not newer.
    pub(crate) fn advance_endpoints(&self, position: StorePosition) -> bool {
        let is_newer = self.fleet.lock().listing.advance(position);
        self.set_store_news();
        self.urgent_update.notify_one();
        is_newer
    }

    /// Suspends the removal of missing endpoints because, as far as this gateway knows, endpoints
    /// cannot reach the store either.
    pub(crate) fn suspend_settling(&self) {
        self.fleet.lock().listing.suspend_settling();
    }

    /// Applies a complete read of the store.
    pub(crate) fn apply_endpoint_snapshot(
        &self,
        position: StorePosition,
        endpoints: Vec<DirectEndpoint>,
        after_outage: bool,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let is_restored = position.era > fleet.listing.version().position.era;
        let missing = fleet.endpoints.unlisted(&endpoints);
        let missing_count = missing.len();
        let listing = &mut fleet.listing;
        let Some(gone) = listing.apply_read(now, position, after_outage, missing) else {
            return;
        };
        fleet.endpoints.drop_unlisted_deferred(&endpoints);
        fleet.listing_log.reset(position);
        for id in &gone {
            fleet.forget_endpoint(now, id);
        }
        let apply = match is_restored {
            true => FleetState::apply_restored_entry,
            false => FleetState::apply_entry,
        };
        let changes: Vec<(&DirectEndpoint, EntryChange)> = endpoints
            .iter()
            .map(|endpoint| (endpoint, apply(&mut fleet, now, endpoint.clone())))
            .collect();
        drop(fleet);
        if missing_count > gone.len() {
            info!(self.log, "endpoints kept that the store does not list";
                "era" => position.era, "revision" => position.revision, "endpoints" => missing_count);
        }
        self.log_listing_change(&gone, &changes);
    }

    /// Applies a peer's listing unless this gateway's own is at least as new.
    pub(crate) fn apply_peer_endpoints(&self, snapshot: EndpointsSnapshot) {
        let now = self.clock.now();
        let listed = [&snapshot.endpoints[..], &snapshot.deferred].concat();
        let mut fleet = self.fleet.lock();
        let unlisted = fleet.endpoints.unlisted(&listed);
        let missing = unlisted.into_iter().chain(snapshot.missing).collect();
        let Some(gone) = fleet.listing.apply_peer_listing(snapshot.version, missing) else {
            return;
        };
        fleet.endpoints.drop_unlisted_deferred(&listed);
        fleet.listing_log.reset(snapshot.version.position);
        for id in &gone {
            fleet.forget_endpoint(now, id);
        }
        // A peer whose listing is not settled still lists endpoints that a gateway with a settled
        // listing has removed.
        let is_gone = |endpoint: &&DirectEndpoint| gone.contains(&endpoint.process.id);
        let listed_entries = snapshot.endpoints.iter().filter(|entry| !is_gone(entry));
        let mut changes: Vec<(&DirectEndpoint, EntryChange)> = listed_entries
            .map(|endpoint| (endpoint, fleet.apply_entry(now, endpoint.clone())))
            .collect();
        let deferred = snapshot.deferred.iter();
        changes.extend(
            deferred.map(|endpoint| (endpoint, fleet.apply_restored_entry(now, endpoint.clone()))),
        );
        drop(fleet);
        self.log_listing_change(&gone, &changes);
    }

    /// Returns the changes of the listing since the version `from`, if a peer can apply them.
    pub(crate) fn listing_delta(&self, from: ListingVersion) -> Option<ListingDelta> {
        let fleet = self.fleet.lock();
        let to = fleet.listing.version();
        if from == to {
            return None;
        }
        fleet.listing_log.delta(&fleet.endpoints, from, to)
    }

    /// Applies changes that a peer reports, if they continue this gateway's listing.
    pub(crate) fn apply_endpoint_changes(&self, delta: ListingDelta) {
        let mut fleet = self.fleet.lock();
        if !delta.applies_to(fleet.listing.version()) {
            return;
        }
        fleet.listing.advance(delta.to.position);
        drop(fleet);
        for change in delta.changes {
            match change {
                EndpointChange::Listed(endpoint) => self.upsert_endpoint(endpoint),
                EndpointChange::Removed(id) => self.remove_endpoint(&id),
            }
        }
        self.urgent_update.notify_one();
    }

    /// Removes missing endpoints that did not return in time.
    pub(super) fn settle_listing(&self) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let before = fleet.listing.version();
        let gone = fleet.listing.settle(now);
        for id in &gone {
            fleet.log_endpoint_change(id);
            fleet.forget_endpoint(now, id);
        }
        let version = fleet.listing.version();
        drop(fleet);
        if version == before {
            return;
        }
        info!(self.log, "endpoints settled"; "era" => version.position.era,
            "revision" => version.position.revision, "dropped" => gone.len());
        self.log_listing_change(&gone, &[]);
    }

    fn log_listing_change(&self, gone: &[EndpointId], changes: &[(&DirectEndpoint, EntryChange)]) {
        for id in gone {
            info!(self.log, "endpoint gone"; "endpoint" => &**id);
        }
        for (endpoint, change) in changes {
            self.log_entry_change(endpoint, change);
        }
        self.capacity_changed.notify_waiters();
        self.set_endpoints_listed();
        self.urgent_update.notify_one();
    }
}

fn endpoint_text(endpoint: &DirectEndpoint) -> String {
    format!(
        "{} {} {} {:?} {} slots",
        endpoint.process, endpoint.service, endpoint.address, endpoint.state, endpoint.slots
    )
}

impl FleetState {
    /// Records in the log for peers that an entry has changed.
    fn log_endpoint_change(&mut self, id: &EndpointId) {
        let position = self.listing.version().position;
        self.listing_log.record(position, id);
    }
}
