//! Tests of the loads that gateways count for their own work and for that of their peers.

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

/// Guards against load that remains after work has ended, in whichever order it ends.
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

/// Guards against a peer's first prompt on an endpoint that is not counted.
///
/// The peer is known and had no work there. Its first message about the endpoint reports 500 ms of
/// prefill. If it were not counted, the endpoint would appear idle and get more work.
#[test]
fn a_known_peers_first_prompt_counts() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), []);
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(1, 500)]);
    assert_eq!(ledger.load(ms(10), &endpoint()).backlog, ms(500));
}

/// Guards against counting the former prefills of a new peer, which may have finished long ago.
#[test]
fn a_new_peers_former_prompts_do_not_count() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(1, 90_000)]);
    let load = ledger.load(ms(10), &endpoint());
    assert_eq!((load.occupied, load.backlog), (1, Duration::ZERO));
}

/// Guards against a lost message that makes later loads wrong: totals only grow.
#[test]
fn totals_recover_from_a_lost_message() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(0, 0)]);
    ledger.apply_peer_loads(ms(20), &peer(), [peer_load(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
    ledger.apply_peer_loads(ms(20), &peer(), [peer_load(2, 300)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).backlog, ms(300));
}

/// Guards against requests at several gateways that are all sent to the one slot that became free.
///
/// A peer's request ends. For a short time the slot is reserved for the peer, which learned of it
/// first and has a request waiting. Then every gateway may use it.
#[test]
fn a_freed_slot_is_reserved_for_its_former_user() {
    let mut ledger = WorkLedger::new().with_slot_delay(ms(40));
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(3, 0)]);
    ledger.apply_peer_loads(ms(10), &peer(), [peer_load(2, 0)]);
    assert_eq!(ledger.load(ms(20), &endpoint()).occupied, 3);
    assert_eq!(ledger.load(ms(60), &endpoint()).occupied, 2);
}

/// Guards against slots that stay occupied by a gateway that crashed. Its requests ended with its
/// connections.
#[test]
fn load_of_a_silent_peer_is_dropped() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(3, 0)]);
    assert!(ledger.forget_silent(ms(1_400)).is_empty());
    assert_eq!(ledger.forget_silent(ms(1_600)), vec![peer()]);
    assert_eq!(ledger.load(ms(1_600), &endpoint()).occupied, 0);
    assert_eq!(ledger.peer_count(), 0);
}

/// Guards against an engine that counts as idle although it prefills more slowly than predicted.
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

/// Guards against an endpoint that gets no work after its entry lapsed and was written again.
///
/// A peer has placed a minute of prefills there over time, all of which have finished. During a
/// store outage the entry lapses and is written again, and the peer sends its total again. If the
/// total were counted as new, the engine would appear to have a minute of pending prefills, and
/// callers would be refused while it is idle.
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

/// Guards against a restarted process that inherits the work of the former one.
///
/// Two requests of this gateway are on an engine that crashes and restarts. They end later, one by
/// one. If they were subtracted from the new process, it would show free slots that are occupied.
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

/// Guards against gateways that send each other's loads back and forth.
///
/// A load that a peer reports for an endpoint that is gone would otherwise be sent back to the
/// peer, and returned by it, forever. Messages would grow with every replaced engine.
#[test]
fn loads_of_peers_are_not_forwarded() {
    let mut ledger = WorkLedger::new();
    ledger.apply_peer_loads(ms(0), &peer(), [peer_load(1, 500)]);
    assert_eq!(ledger.own_loads().count(), 0);
    let key = ledger.place(ms(0), work(10));
    ledger.finish(ms(10), key);
    assert_eq!(ledger.own_loads().count(), 1);
}
