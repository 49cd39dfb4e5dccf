//! Follows the platform's store.

use std::{sync::Arc, time::Duration};

use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, GatewayEntry, Revision};
use slog::{info, warn};
use tokio::time::sleep;

use super::board::FleetBoard;

/// Longest wait of one watch. Longer ones save calls; this one bounds how long a connection that
/// went silent hides a change when the kernel's probes do not find it.
const WATCH_WAIT: Duration = Duration::from_millis(2200);

/// The same for gateways, whose list may be old: it only says where datagrams go.
const GATEWAYS_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a call that failed; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time after the store's return in which entries that lapsed meanwhile may come back. Endpoints
/// write again within two seconds of its return.
const RETURN_TIME: Duration = Duration::from_millis(2200);

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
        let mut first = true;
        loop {
            let revision = match self.feed.snapshot(self.subject).await {
                Ok(snapshot) => {
                    let returned = self.failing && !first;
                    self.succeeded();
                    if returned && self.subject == FeedSubject::Endpoints {
                        // Entries lapsed with the store. Taken as gone now, endpoints that serve
                        // would get no work until they have written again.
                        self.apply_present(snapshot.changes);
                        sleep(RETURN_TIME).await;
                        first = true;
                        continue;
                    }
                    self.apply_snapshot(snapshot.changes);
                    first = false;
                    snapshot.revision
                }
                Err(error) => {
                    self.failed(&error).await;
                    continue;
                }
            };
            self.follow(revision).await;
        }
    }

    /// Returns when only a snapshot helps.
    async fn follow(&mut self, mut revision: Revision) {
        loop {
            let wait = self.watch_wait();
            match self.feed.follow(self.subject, revision, wait).await {
                Ok(step) => {
                    self.succeeded();
                    revision = step.revision;
                    for change in step.changes {
                        self.apply(change);
                    }
                    sleep(self.collect_time()).await;
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

    /// Pause after changes, in which further ones gather: each call is paid for. Endpoints leave
    /// and configurations change within seconds; gateways come and go seldom and all at once.
    fn collect_time(&self) -> Duration {
        match self.subject {
            FeedSubject::Traffic | FeedSubject::Endpoints => Duration::from_millis(60),
            FeedSubject::Gateways => Duration::from_millis(700),
        }
    }

    fn watch_wait(&self) -> Duration {
        match self.subject {
            FeedSubject::Traffic | FeedSubject::Endpoints => WATCH_WAIT,
            FeedSubject::Gateways => GATEWAYS_WATCH_WAIT,
        }
    }

    fn succeeded(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.failing) {
            info!(self.board.log, "store regained"; "subject" => self.subject.as_str());
        }
    }

    async fn failed(&mut self, error: &FeedError) {
        metrics::counter!("lovagedock_feed_failures_total", "subject" => self.subject.as_str())
            .increment(1);
        if !std::mem::replace(&mut self.failing, true) {
            warn!(self.board.log, "store lost";
                "subject" => self.subject.as_str(), "error" => %error);
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    fn apply_snapshot(&self, changes: Vec<FeedChange>) {
        if self.subject != FeedSubject::Endpoints {
            changes.into_iter().for_each(|change| self.apply(change));
            return;
        }
        let endpoints = changes.into_iter().filter_map(|change| match change {
            FeedChange::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        });
        self.board.endpoints_listed(endpoints.collect());
    }

    fn apply_present(&self, changes: Vec<FeedChange>) {
        for change in changes {
            self.apply(change);
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
        }
    }
}

/// Tells other gateways where this one listens, until the store has it.
pub(crate) async fn announce(
    board: Arc<FleetBoard>,
    feed: Arc<dyn FleetFeed>,
    entry: GatewayEntry,
) {
    let mut pause = FIRST_PAUSE;
    while let Err(error) = feed.announce(&entry).await {
        warn!(board.log, "cannot announce the gateway"; "error" => %error);
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
