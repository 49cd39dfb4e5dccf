//! Keeps what is held against requests in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use lovagedock::{SuspectReport, prelude::*};
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, SuspectSheet};
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use super::{board::FleetBoard, meeting::rewrite_delay};

/// Pause after a write or a read, and after a call that failed; doubles up to the longest. A request
/// under suspicion waits for a little longer than the first one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Time for which a gateway that starts waits for the sheets before it takes callers; without the
/// store it serves all the same.
const FIRST_READ_TIME: Duration = Duration::from_millis(300);

/// Time between two looks at whether something has changed without word of it, such as a peer that
/// went out of sight.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Keeps this gateway's sheet in the store and reads the others' when asked.
///
/// Two failures make it needed: all gateways end at once, and with them what they have found out; and
/// gateways cannot hear each other. Each gateway has a sheet of its own, so that no two write the same
/// object. It is written when a second process has ended under a request, or the first while peers are
/// out of sight; it is read at the start, and by requests under suspicion while peers are out of sight.
/// While all is well that is one call for each start of a gateway.
pub(crate) struct SuspectKeeper {
    board: Arc<FleetBoard>,
    feed: Arc<dyn FleetFeed>,
    kept: Vec<SuspectReport>,
    /// Era of the store that has it, if anything was kept.
    kept_in: Option<StoreEra>,
    failing: bool,
    pause: Duration,
}

impl SuspectKeeper {
    /// A keeper that has kept nothing yet.
    pub(crate) fn new(board: Arc<FleetBoard>, feed: Arc<dyn FleetFeed>) -> Self {
        Self {
            board,
            feed,
            kept: Vec::new(),
            kept_in: None,
            failing: false,
            pause: FIRST_PAUSE,
        }
    }

    /// Reads and writes for as long as the gateway lives.
    pub(crate) async fn run(mut self) {
        let mut is_read = timeout(FIRST_READ_TIME, self.read()).await.unwrap_or(false);
        self.board.set_suspects_asked();
        // Written before it was read, the sheet of this gateway's former life would be lost.
        while !is_read {
            self.back_off().await;
            is_read = self.read().await;
        }
        loop {
            let is_wanted = tokio::select! {
                () = self.board.store_returned() => {
                    sleep(rewrite_delay()).await;
                    false
                }
                () = self.board.suspects_wanted.notified() => true,
                () = self.board.suspects_changed.notified() => false,
                () = sleep(LOOK_INTERVAL) => false,
            };
            // What this gateway has seen goes first, so that of two that read at the same time one
            // finds what the other has.
            let is_done = self.write().await && (!is_wanted || self.read().await);
            if is_done {
                sleep(FIRST_PAUSE).await;
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
                self.board.note_era(snapshot.position.era, subject);
                for change in snapshot.changes {
                    if let FeedChange::Suspects(sheet) = change {
                        self.restore(sheet);
                    }
                }
                self.succeeded();
                true
            }
            Err(error) => self.failed(&error),
        };
        self.board.suspects_read.notify_waiters();
        is_read
    }

    /// Takes a sheet in. It says for how long a quarantine was to last when it was written.
    fn restore(&self, sheet: SuspectSheet) {
        // A clock that was set back makes a sheet look as if it came from the future.
        let age = unix_time().saturating_sub(sheet.written_at);
        let reports = sheet.reports.into_iter().filter_map(|report| {
            let quarantined_for = report.quarantined_for.saturating_sub(age);
            let is_kept = age < SHEET_TIME || !quarantined_for.is_zero();
            is_kept.then_some(SuspectReport {
                quarantined_for,
                ..report
            })
        });
        self.board
            .restore_suspects(&sheet.gateway, reports.collect());
    }

    async fn write(&mut self) -> bool {
        let reports = self.board.suspect_reports();
        // A store that came back from an older copy has lost the sheet, or has a former one.
        let is_lost = self.kept_in.is_some_and(|era| era < self.board.store_era());
        if is_same(&reports, &self.kept) && !is_lost {
            return true;
        }
        let sheet = SuspectSheet {
            gateway: self.board.name.clone(),
            written_at: unix_time(),
            reports: reports.clone(),
        };
        match self.feed.keep_suspects(&sheet).await {
            Ok(era) => {
                info!(self.board.log, "suspects kept in the store"; "requests" => reports.len(),
                    "era" => era, "again" => is_lost);
                self.board.note_era(era, FeedSubject::Suspects.as_str());
                self.kept = reports;
                self.kept_in = Some(era);
                self.succeeded();
                true
            }
            Err(error) => self.failed(&error),
        }
    }

    fn succeeded(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.failing) {
            info!(self.board.log, "store regained"; "subject" => FeedSubject::Suspects.as_str());
        }
    }

    fn failed(&mut self, error: &FeedError) -> bool {
        let subject = FeedSubject::Suspects.as_str();
        metrics::counter!("lovagedock_feed_failures_total", "subject" => subject).increment(1);
        if !std::mem::replace(&mut self.failing, true) {
            warn!(self.board.log, "store lost"; "subject" => subject, "error" => %error);
        }
        false
    }

    async fn back_off(&mut self) {
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// Age after which evidence in a sheet is no longer of use.
const SHEET_TIME: Duration = Duration::from_secs(600);

/// Whether two lists of reports say the same but for the time that has passed.
fn is_same(reports: &[SuspectReport], kept: &[SuspectReport]) -> bool {
    let is_alike = |(report, kept): (&SuspectReport, &SuspectReport)| {
        report.fingerprint == kept.fingerprint
            && report.ends == kept.ends
            && report.quarantined_for.is_zero() == kept.quarantined_for.is_zero()
    };
    reports.len() == kept.len() && reports.iter().zip(kept).all(is_alike)
}

/// The time of day, to a second. Sheets outlive the processes that wrote them, and steps of clocks by
/// some seconds do not matter beside their minutes.
fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 was never set; sheets then look new.
    Duration::from_secs(now.unwrap_or_default().as_secs())
}
