//! How gateways find each other, and what one that starts asks the others first.

use std::{sync::Arc, time::Duration};

use lovagedock::prelude::*;
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, GatewayEntry};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use super::{
    feed::{MAX_BACKOFF, MIN_BACKOFF},
    state::GatewayState,
};

/// Time between two readings of the list of gateways. It only serves to find the first peer: after
/// that, gateways hear of each other by their datagrams.
const GATEWAY_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time over which all gateways write their own objects again after the store's return. Written in the
/// same moment, those of a large fleet would use up the store's rate, which it needs for endpoints.
pub(super) const REWRITE_JITTER: Duration = Duration::from_secs(1);

/// Longest time for which a gateway that starts waits for its peers; they answer within some
/// milliseconds, and those that are gone never do.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks at whether they have.
const CONSULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A moment at which to write an own object again.
pub(super) fn rewrite_delay() -> Duration {
    REWRITE_JITTER.mul_f64(rand::random())
}

/// Tells other gateways where this one listens, and then reads where they do; both again when the store
/// came back from a copy, which may have neither.
///
/// In this order: of two gateways that start together, the one that announces itself later finds
/// the other in the list and sends to it, and so both know each other.
pub(crate) async fn discover_gateways(
    state: Arc<GatewayState>,
    feed: Arc<dyn FleetFeed>,
    entry: GatewayEntry,
) {
    loop {
        let era = announce(&state, &*feed, &entry).await;
        read_gateways(&state, &*feed).await;
        while state.store_era() <= era {
            let mut returned = std::pin::pin!(state.store_returned());
            returned.as_mut().enable();
            if state.store_era() <= era && timeout(GATEWAY_LIST_INTERVAL, returned).await.is_err() {
                read_gateways(&state, &*feed).await;
            }
        }
        sleep(rewrite_delay()).await;
        info!(state.log, "gateway announced again"; "era" => state.store_era());
    }
}

async fn announce(state: &GatewayState, feed: &dyn FleetFeed, entry: &GatewayEntry) -> StoreEra {
    let mut backoff = MIN_BACKOFF;
    loop {
        match feed.announce(entry).await {
            Ok(era) => {
                state.update_era(era, FeedSubject::Gateways.as_str());
                return era;
            }
            Err(error) => warn!(state.log, "cannot announce the gateway"; "error" => %error),
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_gateways(state: &GatewayState, feed: &dyn FleetFeed) {
    while let Err(error) = try_read_gateways(state, feed).await {
        warn!(state.log, "cannot read the gateways"; "error" => %error);
        sleep(MAX_BACKOFF).await;
    }
}

async fn try_read_gateways(state: &GatewayState, feed: &dyn FleetFeed) -> Result<(), FeedError> {
    let snapshot = feed.snapshot(FeedSubject::Gateways).await?;
    state.update_era(snapshot.position.era, FeedSubject::Gateways.as_str());
    for change in snapshot.changes {
        if let FeedChange::Gateway(gateway) = change {
            state.upsert_gateway(gateway);
        }
    }
    state.set_gateways_listed();
    Ok(())
}

/// Holds callers off until peers had the time to tell of a newer configuration than the store has.
///
/// The store may have come back from a copy a moment ago, in which keys stand that were taken away since,
/// and the operator has not written again yet. A gateway that starts then knows nothing else; its peers
/// do, as soon as it has told them where it listens. A store that tells no era never goes back.
pub(crate) async fn consult_peers(state: Arc<GatewayState>) {
    while state.config().is_none() {
        sleep(CONSULT_POLL_INTERVAL).await;
    }
    let version = state.config().map(|config| config.version);
    let until = Instant::now() + CONSULT_TIMEOUT;
    while state.store_era() > 0 && !state.has_consulted_peers() && Instant::now() < until {
        sleep(CONSULT_POLL_INTERVAL).await;
    }
    info!(state.log, "peers asked"; "era" => state.store_era(),
        "peers" => state.peers().len(), "heard" => state.reachable_peer_count(),
        "version_of_store" => version,
        "version" => state.config().map(|config| config.version));
    state.set_peers_consulted();
}
