//! Keeps evidence against requests that crash engines in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use lovagedock::{PartReport, SuspectReport, prelude::*};
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, SuspectSheet};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{discovery::rewrite_delay, state::GatewayState};

/// Minimum and maximum delay after a call. It is the minimum after a success and doubles with each
/// failure. A suspected request waits for a read slightly longer than the minimum.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time for which a starting gateway waits for the stored suspects before it accepts callers.
/// Without the store it serves all the same.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two checks for changes that send no notification, such as a peer that became
/// silent.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Writes this gateway's suspect sheet, its evidence against requests, to the store and reads the
/// sheets of the others on request.
///
/// This is needed for two failures: all gateways end at once and lose their evidence, or gateways
/// cannot reach each other. Each gateway has its own sheet, so that no two gateways write the same
/// object. The sheet is written when a second process has ended under a request, or the first one
/// while peers are silent. The sheets are read at startup, and for suspected requests while peers
/// are silent. Without failures this costs one call for each start of a gateway.
pub(crate) struct SuspectSync {
    state: Arc<GatewayState>,
    feed: Arc<dyn FleetFeed>,
    stored: Vec<SuspectReport>,
    stored_parts: Vec<PartReport>,
    /// Era of the store to which the reports were written, if any were.
    stored_era: Option<StoreEra>,
    is_failing: bool,
    backoff: Duration,
}

impl SuspectSync {
    /// Creates a sync that has stored nothing yet.
    pub(crate) fn new(state: Arc<GatewayState>, feed: Arc<dyn FleetFeed>) -> Self {
        Self {
            state,
            feed,
            stored: Vec::new(),
            stored_parts: Vec::new(),
            stored_era: None,
            is_failing: false,
            backoff: MIN_BACKOFF,
        }
    }

    /// Reads and writes for the lifetime of the gateway.
    pub(crate) async fn run(mut self) {
        let mut requests = self.state.sheet_writes.requests();
        let mut is_read = timeout(FIRST_READ_TIMEOUT, self.read_sheets())
            .await
            .unwrap_or(false);
        self.state.set_suspects_requested();
        // A write before the first read would overwrite the sheet of this gateway's former
        // incarnation.
        while !is_read {
            self.state.sheet_writes.end(requests.latest(), false);
            self.back_off().await;
            is_read = self.read_sheets().await;
        }
        loop {
            let is_read_requested = tokio::select! {
                () = self.state.store_restored() => {
                    sleep(rewrite_delay()).await;
                    false
                }
                () = self.state.suspects_read_requested.notified() => true,
                () = self.state.suspects_changed.notified() => false,
                () = requests.changed() => false,
                () = sleep(POLL_INTERVAL) => false,
            };
            // The write comes before the read, so that of two gateways that do both at the same
            // time, at least one reads the sheet of the other.
            let request = requests.latest();
            let is_written = self.write_sheet(requests.take_pending(request)).await;
            self.state.sheet_writes.end(request, is_written);
            let is_done = is_written && (!is_read_requested || self.read_sheets().await);
            if is_done {
                sleep(MIN_BACKOFF).await;
            } else {
                self.back_off().await;
            }
        }
    }

    async fn read_sheets(&mut self) -> bool {
        let snapshot = self.feed.snapshot(FeedSubject::Suspects).await;
        let is_read = match snapshot {
            Ok(snapshot) => {
                let subject = FeedSubject::Suspects.as_str();
                self.state.update_era(snapshot.position.era, subject);
                self.state.set_store_reachable(true);
                for change in snapshot.changes {
                    if let FeedChange::Suspects(sheet) = change {
                        self.restore_sheet(sheet);
                    }
                }
                self.record_success();
                true
            }
            Err(error) => self.record_failure(&error),
        };
        self.state.suspects_read.notify_waiters();
        is_read
    }

    /// Applies a sheet. Its quarantine times are relative to the time at which it was written.
    fn restore_sheet(&self, sheet: SuspectSheet) {
        // A sheet may appear to come from the future if a clock was set back.
        let age = unix_time().saturating_sub(sheet.written_at);
        let reports = sheet.reports.into_iter().filter_map(|report| {
            let quarantined_for = report.quarantined_for.saturating_sub(age);
            let is_kept = age < EVIDENCE_RETENTION || !quarantined_for.is_zero();
            is_kept.then_some(SuspectReport {
                quarantined_for,
                ..report
            })
        });
        self.state
            .restore_suspects(&sheet.gateway, age, reports.collect());
        let parts = sheet.parts.into_iter().filter_map(|report| {
            let quarantined_for = report.quarantined_for.saturating_sub(age);
            let is_kept = age < EVIDENCE_RETENTION || !quarantined_for.is_zero();
            is_kept.then(|| report.with_age(age))
        });
        self.state
            .restore_parts(&sheet.gateway, age, parts.collect());
    }

    /// Writes the sheet if it has changed, or in any case if `is_forced` is set. Returns whether the
    /// store has the current sheet.
    async fn write_sheet(&mut self, is_forced: bool) -> bool {
        let reports = self.state.suspect_reports();
        let parts = self.state.part_reports();
        // A store that was restored from an earlier copy lacks the sheet or has an outdated one.
        let is_lost = self
            .stored_era
            .is_some_and(|era| era < self.state.store_era());
        let is_stored = are_equal_except_times(&reports, &self.stored)
            && are_parts_equal(&parts, &self.stored_parts);
        if is_stored && !is_lost && !is_forced {
            return true;
        }
        let sheet = SuspectSheet {
            gateway: self.state.name.clone(),
            written_at: unix_time(),
            reports: reports.clone(),
            parts: parts.clone(),
        };
        match self.feed.store_suspects(&sheet).await {
            Ok(era) => {
                info!(self.state.log, "suspects kept in the store"; "requests" => reports.len(), "parts" => parts.len(),
                    "era" => era, "again" => is_lost);
                self.state.update_era(era, FeedSubject::Suspects.as_str());
                self.stored = reports;
                self.stored_parts = parts;
                self.stored_era = Some(era);
                self.record_success();
                true
            }
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_success(&mut self) {
        self.backoff = MIN_BACKOFF;
        if std::mem::take(&mut self.is_failing) {
            info!(self.state.log, "store regained"; "subject" => FeedSubject::Suspects.as_str());
        }
    }

    fn record_failure(&mut self, error: &FeedError) -> bool {
        let subject = FeedSubject::Suspects.as_str();
        metrics::counter!("lovagedock_feed_failures_total", "subject" => subject).increment(1);
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(self.state.log, "store lost"; "subject" => subject, "error" => %error);
        }
        false
    }

    async fn back_off(&mut self) {
        sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Age after which the evidence in a sheet is ignored.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

/// Returns whether two lists of reports are equal apart from the remaining times.
fn are_equal_except_times(reports: &[SuspectReport], stored: &[SuspectReport]) -> bool {
    let is_equal = |(report, stored): (&SuspectReport, &SuspectReport)| {
        report.fingerprint == stored.fingerprint
            && report.ends == stored.ends
            && report.quarantined_for.is_zero() == stored.quarantined_for.is_zero()
    };
    reports.len() == stored.len() && reports.iter().zip(stored).all(is_equal)
}

/// Returns whether two lists of reports are about the same parts and ends.
fn are_parts_equal(reports: &[PartReport], stored: &[PartReport]) -> bool {
    let ends = |report: &PartReport| -> Vec<_> {
        let ends = report.ends.iter();
        ends.map(|end| (end.process, end.evidence, end.is_trial))
            .collect()
    };
    let is_equal = |(report, stored): (&PartReport, &PartReport)| {
        report.part == stored.part
            && ends(report) == ends(stored)
            && report.quarantined_for.is_zero() == stored.quarantined_for.is_zero()
    };
    reports.len() == stored.len() && reports.iter().zip(stored).all(is_equal)
}

/// Returns the wall-clock time in whole seconds. Sheets outlive the processes that wrote them, and
/// clock adjustments of some seconds are negligible relative to their times of minutes.
fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 was never set. Sheets then appear new.
    Duration::from_secs(now.unwrap_or_default().as_secs())
}
