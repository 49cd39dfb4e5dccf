//! How gateways find each other, and what one that starts asks the others first.

use std::{sync::Arc, time::Duration};

use lovagedock::prelude::*;
use lovagedock_platform::{FeedChange, FeedError, FeedSubject, FleetFeed, GatewayEntry};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use super::{
    board::FleetBoard,
    feed::{FIRST_PAUSE, LONGEST_PAUSE},
};

/// Time between two readings of the list of gateways. It only serves to find the first peer: after
/// that, gateways hear of each other by their datagrams.
const GATEWAYS_INTERVAL: Duration = Duration::from_secs(30);

/// Time over which all gateways write their own objects again after the store's return. Written in the
/// same moment, those of a large fleet would use up the store's rate, which it needs for endpoints.
pub(super) const REWRITE_SPREAD: Duration = Duration::from_secs(1);

/// Longest time for which a gateway that starts waits for its peers; they answer within some
/// milliseconds, and those that are gone never do.
const PEERS_TIME: Duration = Duration::from_millis(400);

/// Time between two looks at whether they have.
const PEERS_LOOK: Duration = Duration::from_millis(10);

/// A moment at which to write an own object again.
pub(super) fn rewrite_delay() -> Duration {
    REWRITE_SPREAD.mul_f64(rand::random())
}

/// Tells other gateways where this one listens, and then reads where they do; both again when the store
/// came back from a copy, which may have neither.
///
/// In this order: of two gateways that start together, the one that announces itself later finds
/// the other in the list and sends to it, and so both know each other.
pub(crate) async fn meet_gateways(
    board: Arc<FleetBoard>,
    feed: Arc<dyn FleetFeed>,
    entry: GatewayEntry,
) {
    loop {
        let era = announce(&board, &*feed, &entry).await;
        read_gateways(&board, &*feed).await;
        while board.store_era() <= era {
            let mut returned = std::pin::pin!(board.store_returned());
            returned.as_mut().enable();
            if board.store_era() <= era && timeout(GATEWAYS_INTERVAL, returned).await.is_err() {
                read_gateways(&board, &*feed).await;
            }
        }
        sleep(rewrite_delay()).await;
        info!(board.log, "gateway announced again"; "era" => board.store_era());
    }
}

async fn announce(board: &FleetBoard, feed: &dyn FleetFeed, entry: &GatewayEntry) -> StoreEra {
    let mut pause = FIRST_PAUSE;
    loop {
        match feed.announce(entry).await {
            Ok(era) => {
                board.note_era(era, FeedSubject::Gateways.as_str());
                return era;
            }
            Err(error) => warn!(board.log, "cannot announce the gateway"; "error" => %error),
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

async fn read_gateways(board: &FleetBoard, feed: &dyn FleetFeed) {
    while let Err(error) = try_read_gateways(board, feed).await {
        warn!(board.log, "cannot read the gateways"; "error" => %error);
        sleep(LONGEST_PAUSE).await;
    }
}

async fn try_read_gateways(board: &FleetBoard, feed: &dyn FleetFeed) -> Result<(), FeedError> {
    let snapshot = feed.snapshot(FeedSubject::Gateways).await?;
    board.note_era(snapshot.position.era, FeedSubject::Gateways.as_str());
    for change in snapshot.changes {
        if let FeedChange::Gateway(gateway) = change {
            board.gateway_changed(gateway);
        }
    }
    board.set_gateways_listed();
    Ok(())
}

/// Holds callers off until peers had the time to tell of a newer configuration than the store has.
///
/// The store may have come back from a copy a moment ago, in which keys stand that were taken away since,
/// and the operator has not written again yet. A gateway that starts then knows nothing else; its peers
/// do, as soon as it has told them where it listens. A store that tells no era never goes back.
pub(crate) async fn ask_peers(board: Arc<FleetBoard>) {
    while board.config().is_none() {
        sleep(PEERS_LOOK).await;
    }
    let version = board.config().map(|config| config.version);
    let until = Instant::now() + PEERS_TIME;
    while board.store_era() > 0 && !board.has_asked_peers() && Instant::now() < until {
        sleep(PEERS_LOOK).await;
    }
    info!(board.log, "peers asked"; "era" => board.store_era(),
        "peers" => board.peers().len(), "heard" => board.heard_peers(),
        "version_of_store" => version,
        "version" => board.config().map(|config| config.version));
    board.set_peers_asked();
}
