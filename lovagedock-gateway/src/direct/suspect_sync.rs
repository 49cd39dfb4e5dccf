//! Keeps what is held against requests in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use lovagedock::{SuspectReport, prelude::*};
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, SuspectSheet};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{discovery::rewrite_delay, state::GatewayState};

/// Pause after a write or a read, and after a call that failed; doubles up to the longest. A request
/// under suspicion waits for a little longer than the first one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Time for which a gateway that starts waits for the sheets before it takes callers; without the
/// store it serves all the same.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two looks at whether something has changed without word of it, such as a peer that
/// went out of sight.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this gateway's sheet in the store and reads the others' when asked.
///
/// Two failures make it needed: all gateways end at once, and with them what they have found out; and
/// gateways cannot hear each other. Each gateway has a sheet of its own, so that no two write the same
/// object. It is written when a second process has ended under a request, or the first while peers are
/// out of sight; it is read at the start, and by requests under suspicion while peers are out of sight.
/// While all is well that is one call for each start of a gateway.
pub(crate) struct SuspectSync {
    state: Arc<GatewayState>,
    feed: Arc<dyn FleetFeed>,
    stored: Vec<SuspectReport>,
    /// Era of the store that has it, if anything was kept.
    stored_era: Option<StoreEra>,
    is_failing: bool,
    backoff: Duration,
}

impl SuspectSync {
    /// A keeper that has kept nothing yet.
    pub(crate) fn new(state: Arc<GatewayState>, feed: Arc<dyn FleetFeed>) -> Self {
        Self {
            state,
            feed,
            stored: Vec::new(),
            stored_era: None,
            is_failing: false,
            backoff: MIN_BACKOFF,
        }
    }

    /// Reads and writes for as long as the gateway lives.
    pub(crate) async fn run(mut self) {
        let mut is_read = timeout(FIRST_READ_TIMEOUT, self.read())
            .await
            .unwrap_or(false);
        self.state.set_suspects_requested();
        // Written before it was read, the sheet of this gateway's former life would be lost.
        while !is_read {
            self.back_off().await;
            is_read = self.read().await;
        }
        loop {
            let is_read_requested = tokio::select! {
                () = self.state.store_returned() => {
                    sleep(rewrite_delay()).await;
                    false
                }
                () = self.state.suspects_read_requested.notified() => true,
                () = self.state.suspects_changed.notified() => false,
                () = sleep(POLL_INTERVAL) => false,
            };
            // What this gateway has seen goes first, so that of two that read at the same time one
            // finds what the other has.
            let is_done = self.write().await && (!is_read_requested || self.read().await);
            if is_done {
                sleep(MIN_BACKOFF).await;
            } else {
                self.back_off().await;
            }
        }
    }

    async fn read(&mut self) -> bool {
        let snapshot = self.feed.snapshot(FeedSubject::Suspects).await;
        let is_read = match snapshot {
            Ok(snapshot) => {
                let subject = FeedSubject::Suspects.as_str();
                self.state.update_era(snapshot.position.era, subject);
                for change in snapshot.changes {
                    if let FeedChange::Suspects(sheet) = change {
                        self.restore(sheet);
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

    /// Takes a sheet in. It says for how long a quarantine was to last when it was written.
    fn restore(&self, sheet: SuspectSheet) {
        // A clock that was set back makes a sheet look as if it came from the future.
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
            .restore_suspects(&sheet.gateway, reports.collect());
    }

    async fn write(&mut self) -> bool {
        let reports = self.state.suspect_reports();
        // A store that came back from an older copy has lost the sheet, or has a former one.
        let is_lost = self
            .stored_era
            .is_some_and(|era| era < self.state.store_era());
        if is_same(&reports, &self.stored) && !is_lost {
            return true;
        }
        let sheet = SuspectSheet {
            gateway: self.state.name.clone(),
            written_at: unix_time(),
            reports: reports.clone(),
        };
        match self.feed.keep_suspects(&sheet).await {
            Ok(era) => {
                info!(self.state.log, "suspects kept in the store"; "requests" => reports.len(),
                    "era" => era, "again" => is_lost);
                self.state.update_era(era, FeedSubject::Suspects.as_str());
                self.stored = reports;
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

/// Age after which evidence in a sheet is no longer of use.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

/// Whether two lists of reports say the same but for the time that has passed.
fn is_same(reports: &[SuspectReport], stored: &[SuspectReport]) -> bool {
    let is_equal = |(report, stored): (&SuspectReport, &SuspectReport)| {
        report.fingerprint == stored.fingerprint
            && report.ends == stored.ends
            && report.quarantined_for.is_zero() == stored.quarantined_for.is_zero()
    };
    reports.len() == stored.len() && reports.iter().zip(stored).all(is_equal)
}

/// The time of day, to a second. Sheets outlive the processes that wrote them, and steps of clocks by
/// some seconds do not matter beside their minutes.
fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 was never set; sheets then look new.
    Duration::from_secs(now.unwrap_or_default().as_secs())
}
