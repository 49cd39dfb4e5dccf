//! Quarantines that operators end.

use std::net::SocketAddr;

use lovagedock::{PartUpdate, QuarantineRelease, SuspectUpdate, format_release, prelude::*};
use slog::info;

use super::{GatewayState, fleet_state::FleetState};

/// Result of an operator's release at the gateway that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReleaseOutcome {
    /// Whether this gateway had evidence against the target.
    pub(crate) is_known: bool,
    /// Whether the target is in quarantine again, by ends of processes after a former release.
    pub(crate) is_quarantined: bool,
    /// Gateways whose messages arrive, this one included.
    pub(crate) gateways_reachable: usize,
    /// Gateways that may be serving, this one included.
    pub(crate) gateways_known: usize,
}

impl GatewayState {
    /// Ends a quarantine on all gateways, as an operator has requested.
    pub(crate) fn release_quarantine(
        &self,
        release: QuarantineRelease,
        operator: SocketAddr,
    ) -> ReleaseOutcome {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let is_known = fleet.release(now, release);
        fleet.releases.record(now, release);
        let is_quarantined = fleet.is_quarantined(now, release);
        let gateways = fleet.peer_liveness.count(now);
        drop(fleet);
        info!(self.log, "quarantine released";
            "target" => format_release(release), "source" => "operator",
            "operator" => %operator, "known" => is_known,
            "reachable" => gateways.reachable, "gateways" => gateways.known);
        self.report_release("operator");
        self.urgent_update.notify_one();
        ReleaseOutcome {
            is_known,
            is_quarantined,
            gateways_reachable: gateways.reachable,
            gateways_known: gateways.known,
        }
    }

    /// Returns the releases that were not yet sent to peers.
    pub(crate) fn take_releases(&self) -> Vec<QuarantineRelease> {
        let now = self.clock.now();
        self.fleet.lock().releases.take_due(now)
    }

    /// Applies the releases that a peer reported.
    pub(crate) fn apply_peer_releases(&self, updates: Vec<QuarantineRelease>) {
        for release in updates {
            let now = self.clock.now();
            if !self.fleet.lock().release(now, release) {
                continue;
            }
            info!(self.log, "quarantine released";
                "target" => format_release(release), "source" => "peer");
            self.report_release("peer");
        }
    }

    fn report_release(&self, source: &'static str) {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let requests = fleet.suspects.quarantines(now).count();
        let parts = fleet.parts.quarantines(now).count();
        drop(fleet);
        metrics::counter!("lovagedock_quarantine_releases_total", "source" => source).increment(1);
        metrics::gauge!("lovagedock_quarantined_requests").set(requests as f64);
        metrics::gauge!("lovagedock_quarantined_parts").set(parts as f64);
        self.suspects_changed.notify_one();
    }

    /// Returns the numbers of requests and of parts in quarantine.
    pub(crate) fn quarantine_counts(&self) -> (usize, usize) {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let requests = fleet.suspects.quarantines(now).count();
        (requests, fleet.parts.quarantines(now).count())
    }
}

impl FleetState {
    /// Drops the evidence against a target. Returns whether there was any.
    fn release(&mut self, now: Timestamp, release: QuarantineRelease) -> bool {
        let is_known = match release {
            QuarantineRelease::Request(fingerprint) => self.suspects.release(now, fingerprint),
            QuarantineRelease::Part(part) => self.parts.release(now, part),
        };
        self.attribute_ends(now);
        is_known
    }

    fn is_quarantined(&self, now: Timestamp, release: QuarantineRelease) -> bool {
        match release {
            QuarantineRelease::Request(fingerprint) => {
                self.suspects.quarantined_for(now, fingerprint).is_some()
            }
            QuarantineRelease::Part(part) => self.parts.quarantines(now).any(|known| known == part),
        }
    }

    /// Sends a release again if a peer reports evidence against a request that shows that it missed
    /// the release.
    pub(super) fn check_suspect_update(&mut self, now: Timestamp, update: &SuspectUpdate) {
        if self.suspects.is_outdated(now, update) {
            let release = QuarantineRelease::Request(update.fingerprint());
            self.releases.record_contradiction(now, release);
        }
    }

    /// The same for evidence against parts.
    pub(super) fn check_part_update(&mut self, now: Timestamp, update: &PartUpdate) {
        if let Some(part) = self.parts.contradicted_release(now, update) {
            let release = QuarantineRelease::Part(part);
            self.releases.record_contradiction(now, release);
        }
    }
}
