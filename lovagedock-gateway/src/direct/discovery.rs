//! Discovery of other gateways, and the wait for their configuration at startup.

use std::{sync::Arc, time::Duration};

use lovagedock::prelude::*;
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, GatewayEntry};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use super::{
    feed::{MAX_BACKOFF, MIN_BACKOFF},
    state::GatewayState,
};

/// Time between two reads of the list of gateways. The list is needed only to find the first peer;
/// after that, gateways find each other through their datagrams.
const GATEWAY_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Times between the first reads. A gateway that starts at the same time as others may be missing
/// from their first lists.
const LIST_INTERVALS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(5),
];

/// Time between two reads while all gateways of a fleet start for the first time, and maximum number
/// of these reads.
const BOOTSTRAP_READ_INTERVAL: Duration = Duration::from_millis(900);
const BOOTSTRAP_READS: usize = 4;

/// Interval over which the gateways spread their rewrites after the store was restored. If a large
/// fleet wrote at the same moment, it would use up the store's rate limit, which is needed for
/// endpoints.
pub(super) const REWRITE_JITTER: Duration = Duration::from_secs(1);

/// Maximum time for which a starting gateway waits for its peers. Live peers respond within some
/// milliseconds, and those that are gone never do.
const CONSULT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two checks whether the peers have responded.
const CONSULT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a random delay before this gateway's objects are written to the store again.
pub(super) fn rewrite_delay() -> Duration {
    REWRITE_JITTER.mul_f64(rand::random())
}

/// Announces the address of this gateway in the store and reads the addresses of the others. Repeats
/// both when the store was restored from an earlier copy, which may contain neither.
///
/// The list may be seconds old. Of two gateways that start together, the one that reads later finds
/// the other and sends to it, so both learn of each other. An entry that is listed already is not
/// written again.
pub(crate) async fn discover_gateways(
    state: Arc<GatewayState>,
    feed: Arc<dyn FleetFeed>,
    entry: GatewayEntry,
    bootstrap: bool,
) {
    let mut announced = None;
    if bootstrap {
        announced = Some(announce(&state, &*feed, &entry).await);
        wait_for_entries(&state, &*feed).await;
    }
    let (listed, listed_era) = read_gateways(&state, &*feed).await;
    state.set_gateways_listed();
    let mut era = match announced {
        Some(era) => era,
        None if listed.contains(&entry) => listed_era,
        None => announce(&state, &*feed, &entry).await,
    };
    let mut intervals = LIST_INTERVALS.iter();
    loop {
        while state.store_era() <= era {
            let interval = *intervals.next().unwrap_or(&GATEWAY_LIST_INTERVAL);
            let mut restored = std::pin::pin!(state.store_restored());
            restored.as_mut().enable();
            if state.store_era() <= era
                && timeout(interval, restored).await.is_err()
                && !state.hears_relays()
            {
                read_gateways(&state, &*feed).await;
            }
        }
        sleep(rewrite_delay()).await;
        info!(state.log, "gateway announced again"; "era" => state.store_era());
        era = announce(&state, &*feed, &entry).await;
        read_gateways(&state, &*feed).await;
    }
}

/// Waits until the entries of gateways that start for the first time are in the list, which is some
/// time after they were written.
async fn wait_for_entries(state: &GatewayState, feed: &dyn FleetFeed) {
    let mut known = 0;
    for _ in 0..BOOTSTRAP_READS {
        sleep(BOOTSTRAP_READ_INTERVAL).await;
        let listed = read_gateways(state, feed).await.0.len();
        if listed > 0 && listed == known {
            return;
        }
        known = listed;
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

async fn read_gateways(
    state: &GatewayState,
    feed: &dyn FleetFeed,
) -> (Vec<GatewayEntry>, StoreEra) {
    loop {
        match try_read_gateways(state, feed).await {
            Ok(listed) => return listed,
            Err(error) => {
                warn!(state.log, "cannot read the list of gateways"; "error" => %error);
                sleep(MAX_BACKOFF).await;
            }
        }
    }
}

async fn try_read_gateways(
    state: &GatewayState,
    feed: &dyn FleetFeed,
) -> Result<(Vec<GatewayEntry>, StoreEra), FeedError> {
    let snapshot = feed.stale_snapshot(FeedSubject::Gateways).await?;
    let era = snapshot.position.era;
    state.update_era(era, FeedSubject::Gateways.as_str());
    state.set_store_reachable(true);
    let changes = snapshot.changes.into_iter();
    let listed = changes.filter_map(|change| match change {
        FeedChange::Gateway(gateway) => Some(gateway),
        _ => None,
    });
    let listed: Vec<GatewayEntry> = listed.collect();
    let known = state.peers().len();
    for gateway in &listed {
        state.upsert_gateway(gateway.clone());
    }
    info!(state.log, "gateways listed"; "listed" => listed.len(), "known_before" => known);
    Ok((listed, era))
}

/// Delays serving until peers had time to report a newer configuration than the store has.
///
/// The store may just have been restored from an earlier copy that still contains revoked keys,
/// before the operator has written the changes again. A starting gateway has no other source, but
/// its peers have the newer configuration and respond once they know its address. A store that
/// reports no era is never restored.
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
