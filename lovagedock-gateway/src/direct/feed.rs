//! Follows the platform's store.

use std::{sync::Arc, time::Duration};

use lovagedock::{StorePosition, WatchRole};
use lovagedock_platform::{FeedChange, FeedError, FeedSnapshot, FeedSubject, FleetFeed};
use slog::{info, warn};
use tokio::time::sleep;

use super::board::FleetBoard;

/// Longest wait of one watch. Longer ones save calls; this one bounds how long a connection that
/// went silent hides a change when the kernel's probes do not find it.
const WATCH_WAIT: Duration = Duration::from_millis(2200);

/// Pause after a call that failed; doubles up to the longest.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(50);
pub(super) const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Longest pause of a gateway that watches only because the watchers do not reach the store. Watchers find
/// its return within 0.4 s and tell.
const DEPUTY_PAUSE: Duration = Duration::from_millis(1500);

/// Parts of a pause between which it is drawn: gateways lose the store in the same moment and must not all
/// ask again in the same.
const PAUSE_SPREAD: std::ops::RangeInclusive<f64> = 0.75..=1.0;

/// Pause after changes, in which further ones gather: each call is paid for, and endpoints leave
/// and configurations change within seconds.
const COLLECT_TIME: Duration = Duration::from_millis(60);

/// Time between two looks at whether this gateway has to watch.
const DUTY_INTERVAL: Duration = Duration::from_millis(150);

/// Follows one subject for as long as the gateway lives.
pub(crate) struct FeedFollower {
    board: Arc<FleetBoard>,
    feed: Arc<dyn FleetFeed>,
    subject: FeedSubject,
    failing: bool,
    pause: Duration,
}

impl FeedFollower {
    /// A follower of `subject`.
    pub(crate) fn new(
        board: Arc<FleetBoard>,
        feed: Arc<dyn FleetFeed>,
        subject: FeedSubject,
    ) -> Self {
        Self {
            board,
            feed,
            subject,
            failing: false,
            pause: FIRST_PAUSE,
        }
    }

    /// Reads the subject as a whole and then its changes, again and again.
    pub(crate) async fn run(mut self) {
        let mut is_known = false;
        loop {
            if is_known && self.board.watch_role() == WatchRole::Follower {
                sleep(DUTY_INTERVAL).await;
                continue;
            }
            let after_outage = self.failing && is_known;
            let snapshot = match self.feed.snapshot(self.subject).await {
                Ok(snapshot) => snapshot,
                Err(error) => {
                    self.failed(&error).await;
                    continue;
                }
            };
            self.succeeded(snapshot.position);
            let position = snapshot.position;
            self.apply_snapshot(snapshot, after_outage);
            is_known = true;
            self.follow(position).await;
        }
    }

    /// Returns when the subject has to be read as a whole, or somebody else watches it.
    async fn follow(&mut self, mut position: StorePosition) {
        while self.board.watch_role() != WatchRole::Follower {
            match self.feed.follow(self.subject, position, WATCH_WAIT).await {
                // What was missed may be entries that lapsed.
                Ok(_) if self.failing => return,
                Ok(step) if step.position.era != position.era => {
                    // Its changes follow on another history, whose revisions may be the same.
                    self.board
                        .note_era(step.position.era, self.subject.as_str());
                    return;
                }
                Ok(step) => {
                    self.succeeded(step.position);
                    position = step.position.max(position);
                    if !step.changes.is_empty() {
                        self.apply_changes(step.position, step.changes);
                        sleep(COLLECT_TIME).await;
                    }
                }
                Err(FeedError::HistoryLost) => {
                    info!(self.board.log, "history lost"; "subject" => self.subject.as_str());
                    return;
                }
                Err(error) => {
                    let was_failing = self.failing;
                    self.failed(&error).await;
                    if was_failing {
                        return;
                    }
                }
            }
        }
    }

    fn succeeded(&mut self, position: StorePosition) {
        self.board.note_era(position.era, self.subject.as_str());
        self.pause = FIRST_PAUSE;
        self.board.set_store_reachable(true);
        if std::mem::take(&mut self.failing) {
            info!(self.board.log, "store regained"; "subject" => self.subject.as_str());
        }
    }

    async fn failed(&mut self, error: &FeedError) {
        metrics::counter!("lovagedock_feed_failures_total", "subject" => self.subject.as_str())
            .increment(1);
        self.board.set_store_reachable(false);
        if self.subject == FeedSubject::Endpoints {
            self.board.suspend_listing();
        }
        if !std::mem::replace(&mut self.failing, true) {
            warn!(self.board.log, "store lost";
                "subject" => self.subject.as_str(), "error" => %error);
        }
        sleep(self.pause.mul_f64(rand::random_range(PAUSE_SPREAD))).await;
        let longest = match self.board.watch_role() {
            WatchRole::Fallback => DEPUTY_PAUSE,
            WatchRole::Watcher | WatchRole::Follower => LONGEST_PAUSE,
        };
        self.pause = (self.pause * 2).min(longest);
    }

    fn apply_snapshot(&self, snapshot: FeedSnapshot, after_outage: bool) {
        if self.subject != FeedSubject::Endpoints {
            self.apply_changes(snapshot.position, snapshot.changes);
            return;
        }
        let changes = snapshot.changes.into_iter();
        let endpoints = changes.filter_map(|change| match change {
            FeedChange::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        });
        self.board
            .endpoints_read(snapshot.position, endpoints.collect(), after_outage);
    }

    fn apply_changes(&self, position: StorePosition, changes: Vec<FeedChange>) {
        let is_newer = match self.subject {
            FeedSubject::Endpoints => self.board.advance_endpoints(position),
            FeedSubject::Traffic | FeedSubject::Gateways | FeedSubject::Suspects => true,
        };
        if is_newer {
            changes.into_iter().for_each(|change| self.apply(change));
        }
    }

    fn apply(&self, change: FeedChange) {
        match change {
            FeedChange::Traffic(config) => {
                self.board.adopt(config, "store");
            }
            FeedChange::Endpoint(endpoint) => self.board.endpoint_changed(endpoint),
            FeedChange::EndpointGone(id) => self.board.endpoint_gone(&id),
            FeedChange::Gateway(gateway) => self.board.gateway_changed(gateway),
            FeedChange::GatewayGone(name) => self.board.gateway_gone(&name),
            // The keeper of suspects reads them.
            FeedChange::Suspects(_) => {}
        }
    }
}
