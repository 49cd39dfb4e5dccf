//! What gateways know of each other's work.

use std::time::Duration;

use lovagedock::{PeerLoad, PlacedWork, WorkLedger, prelude::*};

fn endpoint() -> EndpointId {
    "engine".into()
}

fn peer() -> GatewayId {
    "peer".into()
}

fn work(reading: u64) -> PlacedWork {
    PlacedWork {
        endpoint: endpoint(),
        reading: ms(reading),
        context: 1_000,
        gap: Some(ms(200)),
        short: true,
        value: 1.5,
    }
}

fn told(occupied: u32, reading: u64) -> (EndpointId, PeerLoad) {
    let load = PeerLoad {
        occupied,
        reading_total: ms(reading),
        ..PeerLoad::default()
    };
    (endpoint(), load)
}

/// Whatever is placed is counted out again, in whichever order it ends.
#[test]
fn work_is_counted_out_however_it_ends() {
    let mut ledger = WorkLedger::new();
    let first = ledger.place(ms(0), work(100));
    let second = ledger.place(ms(0), work(100));
    assert_eq!(ledger.load(ms(0), &endpoint()).backlog, ms(200));
    ledger.finish(ms(10), second);
    ledger.finish_reading(ms(100), first);
    ledger.finish(ms(200), first);
    ledger.finish(ms(200), first);
    let load = ledger.load(ms(200), &endpoint());
    assert_eq!((load.occupied, load.context), (0, 0));
    assert_eq!(load.writers.count(), 0);
    assert_eq!(load.backlog, Duration::ZERO);
}

/// A gateway hears of the first prompt that a peer places on an endpoint.
///
/// The peer was heard before and had placed nothing there. Its first message about the endpoint
/// tells of 500 ms to read. Not counted, the endpoint looks idle and gets more.
#[test]
fn a_known_peers_first_prompt_counts() {
    let mut ledger = WorkLedger::new();
    ledger.hear(ms(0), &peer(), []);
    ledger.hear(ms(10), &peer(), [told(1, 500)]);
    assert_eq!(ledger.load(ms(10), &endpoint()).backlog, ms(500));
}

/// What a peer placed before it was first heard is over.
#[test]
fn a_new_peers_former_prompts_do_not_count() {
    let mut ledger = WorkLedger::new();
    ledger.hear(ms(10), &peer(), [told(1, 90_000)]);
    let load = ledger.load(ms(10), &endpoint());
    assert_eq!((load.occupied, load.backlog), (1, Duration::ZERO));
}

/// A lost message is made good by the next one: totals only grow.
#[test]
fn a_lost_message_is_made_good() {
    let mut ledger = WorkLedger::new();
    ledger.hear(ms(0), &peer(), [told(0, 0)]);
    ledger.hear(ms(20), &peer(), [told(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
    ledger.hear(ms(20), &peer(), [told(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
}

/// Callers that wait at several gateways are not all sent to the one slot that became free.
///
/// A peer's request ends. For a moment the slot is left to the peer, which heard of it first and
/// has a request waiting; then it is everybody's.
#[test]
fn a_freed_slot_is_left_to_its_user_for_a_moment() {
    let mut ledger = WorkLedger::new().with_slot_delay(ms(40));
    ledger.hear(ms(0), &peer(), [told(3, 0)]);
    ledger.hear(ms(10), &peer(), [told(2, 0)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).occupied, 3);
    assert_eq!(ledger.load(ms(60), &endpoint()).occupied, 2);
}

/// Slots of a gateway that died are used again: its requests ended with its connections.
#[test]
fn a_silent_peers_work_is_forgotten() {
    let mut ledger = WorkLedger::new();
    ledger.hear(ms(0), &peer(), [told(3, 0)]);
    assert!(ledger.forget_silent(ms(1_400)).is_empty());
    assert_eq!(ledger.forget_silent(ms(1_600)), vec![peer()]);
    assert_eq!(ledger.load(ms(1_600), &endpoint()).occupied, 0);
    assert_eq!(ledger.peer_count(), 0);
}

/// An engine that reads slower than predicted is not believed to be free.
#[test]
fn late_reading_moves_the_backlog() {
    let mut ledger = WorkLedger::new();
    let first = ledger.place(ms(0), work(100));
    ledger.place(ms(0), work(400));
    ledger.finish_reading(ms(300), first);
    assert_eq!(ledger.load(ms(300), &endpoint()).backlog, ms(300));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
