//! The configuration store over HTTP, against the stand-in platform with faults on command.

use std::{sync::Arc, time::Duration};

use lovagedock::{DomainSpec, FleetConfig};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, ChunkCache, ConfigStore, HttpObjectStore, NotAcceptedReason,
    StoreError, canonical_json,
};
use lovagedock_standin::{
    FaultCommand, FaultKind, PlatformOptions, PlatformStandin, RunningPlatform,
};
use tokio::time::sleep;

async fn start() -> (RunningPlatform, ConfigStore) {
    let running = PlatformStandin::start(PlatformOptions::default()).await;
    let running = running.expect("loopback");
    let store = Arc::new(HttpObjectStore::new(&running.url()));
    (running, ConfigStore::new(store))
}

fn request(expected: u64, author: &str) -> ApplyRequest {
    let config = FleetConfig {
        failure_domains: vec![DomainSpec {
            id: author.into(),
            region: String::new(),
        }],
        ..FleetConfig::default()
    };
    let bytes = canonical_json(&config).expect("serialisable");
    ApplyRequest::new(bytes, expected, author, format!("{author} {expected}"))
}

async fn author_in_force(store: &ConfigStore) -> String {
    let loaded = store
        .load_latest(&mut ChunkCache::new())
        .await
        .expect("load");
    let loaded = loaded.expect("a configuration");
    assert_eq!(
        &*loaded.config.failure_domains[0].id,
        loaded.root.accepted.author
    );
    loaded.root.accepted.author
}

/// Every write takes effect and its connection is cut. Chunks are written until the operator's
/// patience ends, so the root is not touched: not accepted, and that is certain. When half of the
/// confirmations arrive, the apply is accepted once and says so.
#[tokio::test]
async fn lost_confirmations_are_settled() {
    let (running, store) = start().await;
    running.set_fault(FaultCommand::new(FaultKind::LoseConfirmations));
    let impatient = request(0, "ann").with_timeout(Duration::from_millis(200));
    let unavailable = NotAcceptedReason::Unavailable(StoreError::OutcomeUnknown);
    let refused = ApplyOutcome::NotAccepted {
        reason: unavailable,
    };
    assert_eq!(store.apply(&impatient).await, refused);
    running.set_fault(FaultCommand {
        share: 0.5,
        ..FaultCommand::new(FaultKind::LoseConfirmations)
    });
    let accepted = ApplyOutcome::Accepted { generation: 1 };
    assert_eq!(store.apply(&request(0, "ann")).await, accepted);
    assert_eq!(store.apply(&request(0, "ann")).await, accepted);
    assert_eq!(author_in_force(&store).await, "ann");
    assert!(running.counters().faulted >= 2);
}

/// Two operators apply at once over connections of their own: one is accepted, and the other
/// learns who won.
#[tokio::test]
async fn racing_operators_learn_who_won() {
    let (running, ann_store) = start().await;
    let bob_store = ConfigStore::new(Arc::new(HttpObjectStore::new(&running.url())));
    let (ann, bob) = (request(0, "ann"), request(0, "bob"));
    let (first, second) = tokio::join!(ann_store.apply(&ann), bob_store.apply(&bob));
    let winner = author_in_force(&ann_store).await;
    let (won, lost) = match winner.as_str() {
        "ann" => (first, second),
        _ => (second, first),
    };
    assert_eq!(won, ApplyOutcome::Accepted { generation: 1 });
    let conflict = ApplyOutcome::Conflict {
        winner: 1,
        author: winner,
    };
    assert_eq!(lost, conflict);
}

/// The store is down when the operator applies, and back before her patience ends.
#[tokio::test]
async fn apply_outlasts_a_short_outage() {
    let (running, store) = start().await;
    running.set_fault(FaultCommand::new(FaultKind::Down));
    let outage = async {
        while running.counters().faulted == 0 {
            sleep(Duration::from_millis(2)).await;
        }
        running.set_fault(FaultCommand::new(FaultKind::None));
    };
    let request = request(0, "ann");
    let (outcome, ()) = tokio::join!(store.apply(&request), outage);
    assert_eq!(outcome, ApplyOutcome::Accepted { generation: 1 });
}
