//! Evidence against parts of prompts that crash the engines that answer them.

use std::time::Duration;

use lovagedock::{
    PartEnd, PartReport, PartUpdate, PartVerdict, PromptPart, PromptParts, RequestFingerprint,
    format_part, prelude::*,
};
use slog::info;

use super::{GatewayState, suspects::QuarantineSource};

impl GatewayState {
    /// Returns whether a request with these parts may be sent to engines.
    pub(crate) fn part_verdict(&self, parts: &[PromptPart]) -> PartVerdict {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.parts.is_empty() {
            let has_silent_peers = fleet.peer_liveness.has_silent_peers(now);
            fleet.parts.set_has_silent_peers(has_silent_peers);
        }
        fleet.parts.verdict(now, parts)
    }

    /// Records that a process ended before it had begun to answer a request with these parts.
    pub(crate) fn record_part_end(&self, parts: &[PromptPart], end: PartEnd) {
        if parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let quarantined = self.fleet.lock().parts.record_end(now, parts, end);
        self.report_part_quarantines(&quarantined, QuarantineSource::Own);
        self.suspects_changed.notify_one();
        self.urgent_update.notify_one();
    }

    /// Records that an engine has begun to answer a request with these parts.
    pub(crate) fn record_answered(&self, parts: &[PromptPart]) {
        if parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let had_evidence = !fleet.parts.is_empty();
        let released = fleet.parts.record_answered(now, parts);
        drop(fleet);
        if had_evidence {
            self.urgent_update.notify_one();
        }
        for part in released {
            info!(self.log, "quarantine of a part ended, a request with it was answered";
                "part" => format_part(part));
        }
    }

    /// Starts a trial of a doubtful request, see
    /// [`PartLedger::try_start_trial`](lovagedock::PartLedger::try_start_trial).
    pub(crate) fn try_start_trial(
        &self,
        request: RequestFingerprint,
        parts: &[PromptPart],
        time: Duration,
    ) -> bool {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let is_started = fleet.parts.try_start_trial(now, request, parts, time);
        drop(fleet);
        if is_started {
            metrics::counter!("lovagedock_part_trials_total").increment(1);
            self.urgent_update.notify_one();
        }
        is_started
    }

    /// Returns the time after which a peer that starts a trial at the same moment is known.
    pub(crate) fn trial_claim_time(&self) -> Duration {
        self.fleet.lock().ledger.claim_time()
    }

    /// Returns whether this gateway may send the request whose trial it has started.
    pub(crate) fn holds_trial(&self, parts: &[PromptPart]) -> bool {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        fleet.parts.verdict(now, parts) <= PartVerdict::Doubtful
            && fleet.parts.holds_trial(now, parts)
    }

    /// Returns whether a doubtful request has to wait for another one.
    pub(crate) fn awaits_trial(&self, parts: &[PromptPart]) -> bool {
        let now = self.clock.now();
        self.fleet.lock().parts.awaits_trial(now, parts)
    }

    /// Applies the updates that a peer reported about parts.
    pub(crate) fn apply_peer_parts(&self, updates: Vec<PartUpdate>) {
        for update in updates {
            let now = self.clock.now();
            let mut fleet = self.fleet.lock();
            fleet.check_part_update(now, &update);
            let quarantined = fleet.parts.apply_update(now, update);
            drop(fleet);
            self.report_part_quarantines(&quarantined, QuarantineSource::Peer);
        }
    }

    /// Returns the updates about parts that are due to be sent to peers.
    pub(crate) fn take_part_updates(&self) -> Vec<PartUpdate> {
        let now = self.clock.now();
        self.fleet.lock().parts.take_due(now)
    }

    /// Returns the reports that have to outlive this gateway, all evidence while peers are silent.
    pub(crate) fn part_reports(&self) -> Vec<PartReport> {
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let has_silent_peers = fleet.peer_liveness.has_silent_peers(now);
        fleet.parts.reports(now, has_silent_peers)
    }

    /// Applies the reports that a gateway wrote to the store `age` ago.
    pub(crate) fn restore_parts(
        &self,
        gateway: &GatewayId,
        age: Duration,
        mut reports: Vec<PartReport>,
    ) {
        let now = self.clock.now();
        let is_own = *gateway == self.name;
        let mut fleet = self.fleet.lock();
        let parts = &fleet.parts;
        reports.retain(|report| !parts.is_released_within(now, report.part, age));
        let quarantined = fleet.parts.restore(now, reports, is_own);
        drop(fleet);
        self.report_part_quarantines(&quarantined, QuarantineSource::Store);
    }

    fn report_part_quarantines(&self, parts: &PromptParts, source: QuarantineSource) {
        if parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        let fleet = self.fleet.lock();
        let count = fleet.parts.quarantines(now).count();
        let ends: Vec<_> = parts
            .iter()
            .map(|part| fleet.parts.end_count(*part))
            .collect();
        drop(fleet);
        metrics::gauge!("lovagedock_quarantined_parts").set(count as f64);
        for (part, ends) in parts.iter().zip(ends) {
            metrics::counter!("lovagedock_part_quarantines_total", "source" => source.as_str())
                .increment(1);
            info!(self.log, "part in quarantine";
                "part" => format_part(*part), "source" => source.as_str(),
                "ended_processes" => ends);
        }
        self.request_quarantined.notify_waiters();
    }
}
