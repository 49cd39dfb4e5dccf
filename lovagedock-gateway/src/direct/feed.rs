//! Follows the platform's store.

use std::{sync::Arc, time::Duration};

use lovagedock_platform::{
    FeedChange, FeedError, FeedSnapshot, FeedSubject, FleetFeed, GatewayEntry, Revision,
};
use slog::{info, warn};
use tokio::time::sleep;

use super::board::FleetBoard;

/// Longest wait of one watch. Longer ones save calls; this one bounds how long a connection that
/// went silent hides a change when the kernel's probes do not find it.
const WATCH_WAIT: Duration = Duration::from_millis(2200);

/// Pause after a call that failed; doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Time after the store's return in which entries that lapsed meanwhile may come back. Endpoints
/// write again within two seconds of its return.
const RETURN_TIME: Duration = Duration::from_millis(2200);

/// Looks at the store while entries may still come back.
const RETURN_LOOKS: u32 = 3;

/// Pause after changes, in which further ones gather: each call is paid for, and endpoints leave
/// and configurations change within seconds.
const COLLECT_TIME: Duration = Duration::from_millis(60);

/// Time between two looks at whether this gateway has to watch.
const DUTY_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two readings of the list of gateways. It only serves to find the first peer: after
/// that, gateways hear of each other by their datagrams.
const GATEWAYS_INTERVAL: Duration = Duration::from_secs(30);

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
            if is_known && !self.board.watches() {
                sleep(DUTY_INTERVAL).await;
                continue;
            }
            let was_lost = self.failing;
            let snapshot = match self.feed.snapshot(self.subject).await {
                Ok(snapshot) => snapshot,
                Err(error) => {
                    self.failed(&error).await;
                    continue;
                }
            };
            self.succeeded();
            if was_lost && is_known && self.subject == FeedSubject::Endpoints {
                self.await_return(snapshot).await;
                continue;
            }
            let revision = snapshot.revision;
            self.apply_snapshot(snapshot);
            is_known = true;
            self.follow(revision).await;
        }
    }

    /// Keeps endpoints whose entries lapsed while the store was away, until they had the time to
    /// write again. Taken as gone at once, endpoints that serve would get no work meanwhile.
    async fn await_return(&mut self, snapshot: FeedSnapshot) {
        let mut snapshot = Some(snapshot);
        for _ in 0..RETURN_LOOKS {
            if let Some(snapshot) = snapshot {
                self.apply_changes(snapshot.revision, snapshot.changes);
            }
            sleep(RETURN_TIME / RETURN_LOOKS).await;
            // A failure shows in the next look or, after the last, in the reading that follows.
            snapshot = self.feed.snapshot(self.subject).await.ok();
        }
    }

    /// Returns when the subject has to be read as a whole, or somebody else watches it.
    async fn follow(&mut self, mut revision: Revision) {
        while self.board.watches() {
            match self.feed.follow(self.subject, revision, WATCH_WAIT).await {
                // What was missed may be entries that lapsed.
                Ok(_) if self.failing => return,
                Ok(step) => {
                    self.succeeded();
                    revision = step.revision;
                    if !step.changes.is_empty() {
                        self.apply_changes(step.revision, step.changes);
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

    fn succeeded(&mut self) {
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
        if !std::mem::replace(&mut self.failing, true) {
            warn!(self.board.log, "store lost";
                "subject" => self.subject.as_str(), "error" => %error);
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    fn apply_snapshot(&self, snapshot: FeedSnapshot) {
        if self.subject != FeedSubject::Endpoints {
            self.apply_changes(snapshot.revision, snapshot.changes);
            return;
        }
        let changes = snapshot.changes.into_iter();
        let endpoints = changes.filter_map(|change| match change {
            FeedChange::Endpoint(endpoint) => Some(endpoint),
            _ => None,
        });
        self.board
            .endpoints_listed(snapshot.revision, endpoints.collect());
    }

    fn apply_changes(&self, revision: Revision, changes: Vec<FeedChange>) {
        let is_newer = match self.subject {
            FeedSubject::Endpoints => self.board.advance_endpoints(revision),
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

/// Tells other gateways where this one listens, and then reads where they do.
///
/// In this order: of two gateways that start together, the one that announces itself later finds
/// the other in the list and sends to it, and so both know each other.
pub(crate) async fn meet_gateways(
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
    loop {
        match feed.snapshot(FeedSubject::Gateways).await {
            Ok(snapshot) => {
                for change in snapshot.changes {
                    if let FeedChange::Gateway(gateway) = change {
                        board.gateway_changed(gateway);
                    }
                }
                sleep(GATEWAYS_INTERVAL).await;
            }
            Err(error) => {
                warn!(board.log, "cannot read the gateways"; "error" => %error);
                sleep(LONGEST_PAUSE).await;
            }
        }
    }
}
