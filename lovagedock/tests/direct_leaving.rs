//! Tests of endpoints that announce that they are leaving.

use std::time::Duration;

use lovagedock::{
    DirectEndpoint, EndpointProcess, EndpointState, EndpointTable, EntryChange, LeavingQueue,
    prelude::*,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(started: StartStamp, state: EndpointState) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new("i-0", started),
        service: "service".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "a".into(),
        slots: 4,
        state,
        cold_left: Duration::ZERO,
    }
}

struct LeavingCase {
    name: &'static str,
    /// What happens after the announcement.
    then: fn(&mut EndpointTable),
    /// Whether the endpoint accepts new work afterwards.
    ready: bool,
}

const LEAVING_CASES: &[LeavingCase] = &[
    LeavingCase {
        name: "its entry still says that it is ready",
        then: |table| {
            table.insert(ms(100), entry(2, EndpointState::Ready));
        },
        ready: false,
    },
    LeavingCase {
        name: "its entry is removed and inserted again",
        then: |table| {
            table.remove(&"i-0".into());
            table.insert(ms(200), entry(2, EndpointState::Ready));
        },
        ready: false,
    },
    LeavingCase {
        name: "an entry of its former process is read late",
        then: |table| {
            table.insert(ms(100), entry(1, EndpointState::Ready));
        },
        ready: false,
    },
    LeavingCase {
        name: "the store is restored from an older copy",
        then: |table| {
            table.insert_restored(ms(100), entry(2, EndpointState::Ready));
            table.apply_deferred(ms(20_000));
        },
        ready: false,
    },
    LeavingCase {
        name: "the next process starts under its name",
        then: |table| {
            table.insert(ms(100), entry(3, EndpointState::Ready));
        },
        ready: true,
    },
];

/// Guards against a leaving endpoint that gets work again because of an outdated entry.
#[test]
fn a_leaving_process_never_becomes_ready_again() {
    for case in LEAVING_CASES {
        let mut table = EndpointTable::new();
        let change = table.insert(ms(0), entry(2, EndpointState::Ready));
        assert_eq!(change, EntryChange::Changed);
        let process = EndpointProcess::new("i-0", 2);
        assert!(table.record_leaving(&process), "{}", case.name);
        assert!(
            !table.record_leaving(&process),
            "{}: reported once",
            case.name
        );
        (case.then)(&mut table);
        let ready = table.ready(&"service".into()).count();
        assert_eq!(ready == 1, case.ready, "{}", case.name);
    }
}

/// Guards against an announcement of a former process that marks the next one as leaving.
#[test]
fn only_the_announcing_process_is_leaving() {
    let mut table = EndpointTable::new();
    table.insert(ms(0), entry(2, EndpointState::Ready));
    assert!(!table.record_leaving(&EndpointProcess::new("i-0", 1)));
    assert!(!table.record_leaving(&EndpointProcess::new("i-1", 2)));
    assert_eq!(table.ready(&"service".into()).count(), 1);
}

/// Guards against a lost message after which peers never learn of a leaving endpoint.
#[test]
fn leaving_processes_are_sent_to_peers_repeatedly() {
    let mut queue = LeavingQueue::new();
    queue.push(ms(0), EndpointProcess::new("i-0", 1));
    let sent: Vec<usize> = [0, 100, 400, 800, 1_200, 5_000]
        .map(|now| queue.take_due(ms(now)).len())
        .to_vec();
    assert_eq!(sent, [1, 0, 1, 1, 0, 0]);
}
