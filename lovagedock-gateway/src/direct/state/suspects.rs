//! Evidence against requests that crash the engines that run them.

use std::time::Duration;

use lovagedock::{
    EndEvidence, EndpointProcess, ProcessEnd, RequestFingerprint, SuspectQueue, SuspectReport,
    SuspectUpdate, format_fingerprint, prelude::*,
};
use slog::info;
use tokio::sync::futures::Notified;

use super::{GatewayState, fleet_state::FleetState};

/// Where a quarantine was decided, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuarantineSource {
    /// By this gateway.
    Own,
    /// By a peer.
    Peer,
    /// By a gateway that wrote its evidence to the store.
    Store,
}

impl QuarantineSource {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

impl GatewayState {
    /// Returns how much longer a request must not be sent to engines.
    pub(crate) fn quarantined_for(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        let now = self.clock.now();
        self.fleet.lock().suspects.quarantined_for(now, fingerprint)
    }

    /// Returns whether a process ended while it had the request.
    pub(crate) fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.fleet.lock().suspects.is_suspect(fingerprint)
    }

    /// Waits until some request is put into quarantine.
    pub(crate) fn request_quarantined(&self) -> Notified<'_> {
        self.request_quarantined.notified()
    }

    /// Records that a process ended while it had a request.
    pub(crate) fn record_process_end(
        &self,
        fingerprint: RequestFingerprint,
        process: &EndpointProcess,
        evidence: EndEvidence,
    ) {
        let now = self.clock.now();
        let end = ProcessEnd::new(process, evidence);
        let mut fleet = self.fleet.lock();
        let is_new = fleet.suspects.record_end(now, fingerprint, end);
        fleet.attribute_ends(now);
        drop(fleet);
        metrics::counter!("lovagedock_requests_under_ended_processes_total").increment(1);
        if is_new {
            self.report_quarantine(fingerprint, QuarantineSource::Own);
        }
        self.suspects_changed.notify_one();
        self.urgent_update.notify_one();
    }

    /// Records that a request was served completely.
    pub(crate) fn record_served(&self, fingerprint: RequestFingerprint) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let remaining = fleet.suspects.quarantined_for(now, fingerprint);
        fleet.suspects.record_served(now, fingerprint);
        drop(fleet);
        if remaining.is_some() {
            info!(self.log, "quarantine ended, the request was served";
                "fingerprint" => format_fingerprint(fingerprint));
        }
    }

    /// Applies the updates that a peer reported about requests.
    pub(crate) fn apply_peer_suspects(&self, updates: Vec<SuspectUpdate>) {
        for update in updates {
            let now = self.clock.now();
            let mut fleet = self.fleet.lock();
            fleet.check_suspect_update(now, &update);
            let is_new = fleet.suspects.apply_update(now, update);
            fleet.attribute_ends(now);
            drop(fleet);
            if is_new {
                self.report_quarantine(update.fingerprint(), QuarantineSource::Peer);
            }
        }
    }

    /// Returns the updates that are due to be sent to peers.
    pub(crate) fn take_suspect_updates(&self, queue: &mut SuspectQueue) -> Vec<SuspectUpdate> {
        let now = self.clock.now();
        queue.take_due(now, &mut self.fleet.lock().suspects)
    }

    /// Returns the reports that have to outlive this gateway. While peers are silent, this is all
    /// evidence, since they can receive it only through the store.
    pub(crate) fn suspect_reports(&self) -> Vec<SuspectReport> {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        fleet
            .suspects
            .reports(now, fleet.peer_liveness.has_silent_peers(now))
    }

    /// Applies the reports that a gateway wrote to the store `age` ago.
    pub(crate) fn restore_suspects(
        &self,
        gateway: &GatewayId,
        age: Duration,
        mut reports: Vec<SuspectReport>,
    ) {
        let now = self.clock.now();
        let is_own = *gateway == self.name;
        let mut fleet = self.fleet.lock();
        let suspects = &fleet.suspects;
        reports.retain(|report| !suspects.is_released_within(now, report.fingerprint, age));
        let before: Vec<_> = fleet.suspects.quarantines(now).map(|(f, _)| f).collect();
        fleet.suspects.restore(now, reports, is_own);
        fleet.attribute_ends(now);
        let after: Vec<_> = fleet.suspects.quarantines(now).map(|(f, _)| f).collect();
        drop(fleet);
        for fingerprint in after.iter().filter(|after| !before.contains(after)) {
            self.report_quarantine(*fingerprint, QuarantineSource::Store);
        }
    }

    /// Returns whether peers that may be serving are silent.
    pub(crate) fn has_silent_peers(&self) -> bool {
        let now = self.clock.now();
        self.fleet.lock().peer_liveness.has_silent_peers(now)
    }

    fn report_quarantine(&self, fingerprint: RequestFingerprint, source: QuarantineSource) {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let remaining = fleet.suspects.quarantined_for(now, fingerprint);
        let ends = fleet.suspects.end_count(fingerprint);
        let count = fleet.suspects.quarantines(now).count();
        drop(fleet);
        metrics::counter!("lovagedock_quarantines_total", "source" => source.as_str()).increment(1);
        metrics::gauge!("lovagedock_quarantined_requests").set(count as f64);
        info!(self.log, "request in quarantine";
            "fingerprint" => format_fingerprint(fingerprint), "source" => source.as_str(),
            "ended_processes" => ends, "for_s" => remaining.map(|remaining| remaining.as_secs()));
        self.request_quarantined.notify_waiters();
    }
}

impl FleetState {
    /// Tells the ledger of parts which ends are attributed to whole requests.
    pub(super) fn attribute_ends(&mut self, now: Timestamp) {
        self.parts
            .set_attributed(self.suspects.attributed_processes(now));
    }
}
