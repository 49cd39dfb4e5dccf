//! The platform's store comes back from an older copy, in a fleet with sidecars.

mod promise_support;

use bytes::Bytes;
use lovagedock_platform::{CallPurpose, HttpObjectStore, ObjectStore, PutCondition};
use lovagedock_standin::fleet::LocalFleet;
use promise_support::{generations, plan, start, until};

/// Writes of others that raise the store's revision.
const OTHER_WRITES: usize = 40;

async fn write_otherwise(fleet: &LocalFleet) {
    let store = HttpObjectStore::new(&fleet.platform.url());
    for number in 0..OTHER_WRITES {
        let value = Bytes::from(number.to_string());
        let put = store.put(
            "status/other",
            value,
            PutCondition::Any,
            CallPurpose::Status,
        );
        put.await.expect("the store works");
    }
}

async fn apply(fleet: &mut LocalFleet, expected: u64) {
    fleet.config.organisations[0].weight += 1;
    let generation = fleet.apply(expected).await.expect("nobody else applies");
    assert_eq!(generation, expected + 1);
}

async fn wait_for(fleet: &LocalFleet, wanted: u64) {
    for gateway in 0..fleet.gateways.len() {
        until(async || {
            let all = generations(fleet, gateway).await;
            let goes_back = all.iter().any(|generation| *generation + 1 < wanted);
            assert!(!goes_back, "{wanted} was to follow, {all:?} in force");
            all.iter().all(|generation| *generation == wanted)
        })
        .await;
    }
}

/// What an operator applies after the store's return comes into force.
///
/// Two configurations were accepted since the copy. The operator applies until the store's generation is
/// above the one in force, as the page says; its root is written at a revision that was given out
/// before. A gateway that waits for a change after the old revision would wait until the count has
/// passed it, which is never on a quiet store. Nothing goes back meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_applied_after_a_return_comes_into_force() {
    let mut fleet = start(plan()).await;
    // An endpoint that was never told of a configuration has generation 0, and goes back from none.
    wait_for(&fleet, 1).await;
    let copy = fleet.platform.snapshot_store();
    write_otherwise(&fleet).await;
    apply(&mut fleet, 1).await;
    wait_for(&fleet, 2).await;
    apply(&mut fleet, 2).await;
    wait_for(&fleet, 3).await;
    fleet.platform.restore_store(copy);
    for expected in 1..=3 {
        apply(&mut fleet, expected).await;
    }
    wait_for(&fleet, 4).await;
}
