//! What gateways know of each other's work.

use std::time::Duration;

use lovagedock::{EndpointProcess, PeerLoad, PlacedWork, WorkLedger, prelude::*};

fn endpoint() -> EndpointProcess {
    EndpointProcess::new("engine", 1)
}

fn peer() -> GatewayId {
    "peer".into()
}

fn work(prefill_ms: u64) -> PlacedWork {
    PlacedWork {
        endpoint: endpoint(),
        prefill_time: ms(prefill_ms),
        context: 1_000,
        gap: Some(ms(200)),
        short: true,
        value: 1.5,
        suspect: false,
    }
}

fn peer_load(occupied: u32, prefill_ms: u64) -> (EndpointProcess, PeerLoad) {
    let load = PeerLoad {
        occupied,
        prefill_total: ms(prefill_ms),
        ..PeerLoad::default()
    };
    (endpoint(), load)
}

/// Whatever is placed is counted out again, in whichever order it ends.
#[test]
fn finished_work_leaves_no_load() {
    let mut ledger = WorkLedger::new();
    let first = ledger.place(ms(0), work(100));
    let second = ledger.place(ms(0), work(100));
    assert_eq!(ledger.load(ms(0), &endpoint()).backlog, ms(200));
    ledger.finish(ms(10), second);
    ledger.finish_prefill(ms(100), first);
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
    ledger.apply_peer_loads(ms(0), &peer(), []);
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(1, 500)]);
    assert_eq!(ledger.load(ms(10), &endpoint()).backlog, ms(500));
}

/// What a peer placed before it was first heard is over.
#[test]
fn a_new_peers_former_prompts_do_not_count() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(1, 90_000)]);
    let load = ledger.load(ms(10), &endpoint());
    assert_eq!((load.occupied, load.backlog), (1, Duration::ZERO));
}

/// A lost message is made good by the next one: totals only grow.
#[test]
fn totals_recover_from_a_lost_message() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(0, 0)]);
    ledger.apply_peer_loads(ms(20), &peer(), [peer_load(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
    ledger.apply_peer_loads(ms(20), &peer(), [peer_load(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
}

/// Callers that wait at several gateways are not all sent to the one slot that became free.
///
/// A peer's request ends. For a moment the slot is left to the peer, which heard of it first and
/// has a request waiting; then it is everybody's.
#[test]
fn a_freed_slot_is_reserved_for_its_former_user() {
    let mut ledger = WorkLedger::new().with_slot_delay(ms(40));
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(3, 0)]);
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(2, 0)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).occupied, 3);
    assert_eq!(ledger.load(ms(60), &endpoint()).occupied, 2);
}

/// Slots of a gateway that died are used again: its requests ended with its connections.
#[test]
fn load_of_a_silent_peer_is_dropped() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(3, 0)]);
    assert!(ledger.forget_silent(ms(1_400)).is_empty());
    assert_eq!(ledger.forget_silent(ms(1_600)), vec![peer()]);
    assert_eq!(ledger.load(ms(1_600), &endpoint()).occupied, 0);
    assert_eq!(ledger.peer_count(), 0);
}

/// An engine that reads slower than predicted is not believed to be free.
#[test]
fn a_late_prefill_extends_the_backlog() {
    let mut ledger = WorkLedger::new();
    let first = ledger.place(ms(0), work(100));
    ledger.place(ms(0), work(400));
    ledger.finish_prefill(ms(300), first);
    assert_eq!(ledger.load(ms(300), &endpoint()).backlog, ms(300));
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An endpoint whose entry lapsed and came back gets work again at once.
///
/// A peer has placed a minute of reading there in all its life, all of it long read. The store is away,
/// the entry lapses and is written again, and the peer tells its total once more. Taken for new, the
/// engine looks as if it had a minute to read, and callers are refused beside an idle engine.
#[test]
fn an_endpoint_listed_again_has_no_backlog() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(1, 60_000)]);
    assert_eq!(ledger.load(ms(0), &endpoint()).backlog, ms(0));
    ledger.record_unlisted(ms(100), &endpoint());
    ledger.forget_unlisted(ms(3_000));
    ledger.record_listed(&endpoint());
    ledger.apply_peer_loads(ms(3_000), &peer(), [peer_load(1, 60_100)]);
    assert_eq!(ledger.load(ms(3_000), &endpoint()).backlog, ms(100));
}

/// A process that was started again has nothing of the former one's work.
///
/// Two requests of this gateway are on an engine that crashes and starts again. They end later, one by
/// one. Counted out of the new process, it would show free slots that are taken.
#[test]
fn a_restarted_endpoint_starts_empty() {
    let mut ledger = WorkLedger::new();
    let former = [work(10), work(10)].map(|work| ledger.place(ms(0), work));
    ledger.forget_process(&endpoint());
    let next = EndpointProcess::new("engine", 2);
    let placed = PlacedWork {
        endpoint: next.clone(),
        ..work(10)
    };
    ledger.place(ms(5), placed);
    for key in former {
        ledger.finish(ms(20), key);
    }
    let load = ledger.load(ms(20), &next);
    assert_eq!((load.occupied, load.context), (1, 1_000));
    assert_eq!(ledger.load(ms(20), &endpoint()).occupied, 0);
}

/// Peers are told only of endpoints that this gateway has used.
///
/// What a peer tells of an endpoint that is gone would otherwise be told back to it, and by it again,
/// for ever, and messages grow with every replaced engine.
#[test]
fn loads_of_peers_are_not_forwarded() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(1, 500)]);
    assert_eq!(ledger.own_loads().count(), 0);
    let key = ledger.place(ms(0), work(10));
    ledger.finish(ms(10), key);
    assert_eq!(ledger.own_loads().count(), 1);
}
