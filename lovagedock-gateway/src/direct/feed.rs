//! Follows the platform's store.

use std::{sync::Arc, time::Duration};

use lovagedock::{DrainSnapshot, StorePosition, WatchRole};
use lovagedock_platform::{FeedChange, FeedError, FeedSnapshot, FeedSubject, FleetFeed};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use super::state::GatewayState;

/// Maximum duration of one watch call. Longer calls cost less, but this bounds how long a dead
/// connection hides a change if the kernel's probes do not detect it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2200);

/// Minimum and maximum delay after a failed call. The delay doubles with each failure.
pub(super) const MIN_BACKOFF: Duration = Duration::from_millis(50);
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum delay of a gateway that watches only because the watchers cannot reach the store.
/// Watchers detect its return within 0.4 s and report it.
const MAX_FALLBACK_BACKOFF: Duration = Duration::from_millis(1500);

/// Maximum time for which a starting gateway waits for the state of its relay.
const PEER_STATE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time between two checks whether the relay has told its state.
const PEER_STATE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of gateways up to which those that watch in place of others may each call as often as the
/// delays above allow. In a larger fleet, they call less often.
const FALLBACK_GATEWAYS: usize = 24;

/// Range of the random factor of a delay. Gateways lose the store at the same moment and must not
/// all retry at the same moment.
const BACKOFF_JITTER: std::ops::RangeInclusive<f64> = 0.75..=1.0;

/// Delay after changes, in which further ones are batched. Each call to the store is charged, and
/// the delay is short compared with the seconds in which endpoints leave and configurations change.
const BATCH_DELAY: Duration = Duration::from_millis(60);

/// Time between two checks whether this gateway has to watch the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Watches one subject of the store for the lifetime of the gateway.
pub(crate) struct FeedWatcher {
    state: Arc<GatewayState>,
    feed: Arc<dyn FleetFeed>,
    subject: FeedSubject,
    is_failing: bool,
    backoff: Duration,
}

impl FeedWatcher {
    /// Creates a watcher of `subject`.
    pub(crate) fn new(
        state: Arc<GatewayState>,
        feed: Arc<dyn FleetFeed>,
        subject: FeedSubject,
    ) -> Self {
        Self {
            state,
            feed,
            subject,
            is_failing: false,
            backoff: MIN_BACKOFF,
        }
    }

    /// Repeatedly reads the complete subject and then follows its changes.
    pub(crate) async fn run(mut self) {
        let mut is_known = self.wait_for_peer_state().await;
        loop {
            if is_known && self.state.watch_role() == WatchRole::Follower {
                sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            let after_outage = self.is_failing && is_known;
            let snapshot = match self.feed.snapshot(self.subject).await {
                Ok(snapshot) => snapshot,
                Err(error) => {
                    self.record_failure(&error).await;
                    continue;
                }
            };
            self.record_success(snapshot.position);
            let position = snapshot.position;
            self.apply_snapshot(snapshot, after_outage);
            is_known = true;
            self.follow(position).await;
        }
    }

    /// Waits until the relay of this gateway has told this subject, unless the gateway reads the
    /// store itself. Returns whether the subject is known.
    ///
    /// If all gateways of a large fleet start at once and each reads everything, their calls take
    /// longer than the reads of a few and the hand-over to the others.
    async fn wait_for_peer_state(&self) -> bool {
        let until = Instant::now() + PEER_STATE_TIMEOUT;
        loop {
            if self.is_subject_known() {
                return true;
            }
            let is_alone = self.state.has_gateways() && self.state.reads_store_first();
            if is_alone || Instant::now() >= until {
                return false;
            }
            sleep(PEER_STATE_POLL_INTERVAL).await;
        }
    }

    fn is_subject_known(&self) -> bool {
        match self.subject {
            FeedSubject::Traffic => self.state.config().is_some(),
            FeedSubject::Endpoints => self.state.has_endpoints(),
            FeedSubject::Drains => self.state.has_drains(),
            FeedSubject::Gateways | FeedSubject::Suspects => false,
        }
    }

    /// Follows changes until the subject has to be read completely again or another gateway watches
    /// it.
    async fn follow(&mut self, mut position: StorePosition) {
        while self.state.watch_role() != WatchRole::Follower {
            match self
                .feed
                .follow(self.subject, position, WATCH_TIMEOUT)
                .await
            {
                // The outage may have hidden entries that expired.
                Ok(_) if self.is_failing => return,
                Ok(step) if step.position.era != position.era => {
                    // The changes continue another history, whose revisions may have the same
                    // numbers.
                    self.state
                        .update_era(step.position.era, self.subject.as_str());
                    return;
                }
                Ok(step) => {
                    self.record_success(step.position);
                    position = step.position.max(position);
                    if !step.changes.is_empty() {
                        self.apply_changes(step.position, step.changes);
                        sleep(BATCH_DELAY).await;
                    }
                }
                Err(FeedError::HistoryLost) => {
                    info!(self.state.log, "history lost"; "subject" => self.subject.as_str());
                    return;
                }
                Err(error) => {
                    let was_failing = self.is_failing;
                    self.record_failure(&error).await;
                    if was_failing {
                        return;
                    }
                }
            }
        }
    }

    fn record_success(&mut self, position: StorePosition) {
        self.state.update_era(position.era, self.subject.as_str());
        self.backoff = MIN_BACKOFF;
        self.state.set_store_reachable(true);
        if std::mem::take(&mut self.is_failing) {
            info!(self.state.log, "store regained"; "subject" => self.subject.as_str());
        }
    }

    async fn record_failure(&mut self, error: &FeedError) {
        metrics::counter!("lovagedock_feed_failures_total", "subject" => self.subject.as_str())
            .increment(1);
        self.state.set_store_reachable(false);
        if self.subject == FeedSubject::Endpoints {
            self.state.suspend_settling();
        }
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(self.state.log, "store lost";
                "subject" => self.subject.as_str(), "error" => %error);
        }
        sleep(self.backoff.mul_f64(rand::random_range(BACKOFF_JITTER))).await;
        let longest = match self.state.watch_role() {
            WatchRole::Fallback => {
                let fleets = self.state.peers().len() / FALLBACK_GATEWAYS;
                MAX_FALLBACK_BACKOFF * fleets.max(1) as u32
            }
            WatchRole::Watcher | WatchRole::Follower => MAX_BACKOFF,
        };
        self.backoff = (self.backoff * 2).min(longest);
    }

    fn apply_snapshot(&self, snapshot: FeedSnapshot, after_outage: bool) {
        let position = snapshot.position;
        let changes = snapshot.changes.into_iter();
        match self.subject {
            FeedSubject::Endpoints => {
                let endpoints = changes.filter_map(|change| match change {
                    FeedChange::Endpoint(endpoint) => Some(endpoint),
                    _ => None,
                });
                self.state
                    .apply_endpoint_snapshot(position, endpoints.collect(), after_outage);
            }
            FeedSubject::Drains => {
                let domains = changes.filter_map(|change| match change {
                    FeedChange::DomainDrained(domain) => Some(domain),
                    _ => None,
                });
                let drains = DrainSnapshot {
                    position,
                    domains: domains.collect(),
                    missing: Default::default(),
                };
                self.state.apply_drains(drains, "store");
            }
            FeedSubject::Traffic | FeedSubject::Gateways | FeedSubject::Suspects => {
                self.apply_changes(position, changes.collect());
            }
        }
    }

    fn apply_changes(&self, position: StorePosition, changes: Vec<FeedChange>) {
        let is_newer = match self.subject {
            FeedSubject::Endpoints => self.state.advance_endpoints(position),
            FeedSubject::Drains
            | FeedSubject::Traffic
            | FeedSubject::Gateways
            | FeedSubject::Suspects => true,
        };
        if is_newer {
            for change in changes {
                self.apply(position, change);
            }
        }
    }

    fn apply(&self, position: StorePosition, change: FeedChange) {
        match change {
            FeedChange::Traffic(config) => {
                self.state.apply_config(config, "store");
            }
            FeedChange::Endpoint(endpoint) => self.state.upsert_endpoint(endpoint),
            FeedChange::EndpointRemoved(id) => self.state.remove_endpoint(&id),
            FeedChange::DomainDrained(domain) => {
                self.state.apply_drain_entry(position, domain, true);
            }
            FeedChange::DomainRestored(domain) => {
                self.state.apply_drain_entry(position, domain, false);
            }
            FeedChange::Gateway(gateway) => self.state.upsert_gateway(gateway),
            FeedChange::GatewayRemoved(name) => self.state.remove_gateway(&name),
            // `SuspectSync` reads them.
            FeedChange::Suspects(_) => {}
        }
    }
}
