//! Connections of callers that a gateway holds.

use std::time::Duration;

use lovagedock::{ConnectionId, ConnectionPhase, ConnectionTable, ConnectionVerdict};

const LIMIT: usize = 4;

struct TableCase {
    name: &'static str,
    /// Phases of the connections, in the order in which they were opened and set.
    phases: [ConnectionPhase; LIMIT],
    /// Index of the connection that a new one closes, if there is one.
    closed: Option<usize>,
}

#[rustfmt::skip]
fn cases() -> Vec<TableCase> {
    use ConnectionPhase::{Body, Closing, Head, Idle, Serving};
    vec![
        TableCase { name: "all idle", phases: [Idle, Idle, Idle, Idle], closed: Some(0) },
        TableCase { name: "idle before slow heads", phases: [Head, Head, Idle, Idle], closed: Some(2) },
        TableCase { name: "heads and bodies alike", phases: [Body, Head, Serving, Head], closed: Some(0) },
        TableCase { name: "after the end", phases: [Idle, Head, Closing, Serving], closed: Some(2) },
        TableCase { name: "requests are kept", phases: [Serving, Serving, Serving, Body], closed: Some(3) },
        TableCase { name: "all serve", phases: [Serving, Serving, Serving, Serving], closed: None },
    ]
}

fn admitted(table: &mut ConnectionTable, now: Duration) -> (ConnectionId, Option<ConnectionId>) {
    match table.open(now) {
        ConnectionVerdict::Admitted { id, closed } => (id, closed),
        ConnectionVerdict::Full => panic!("the table should not be full"),
    }
}

/// Guards against connections that keep others out by staying open, and against closing one that
/// serves a request.
#[test]
fn a_full_table_closes_what_serves_no_request() {
    for case in cases() {
        let mut table = ConnectionTable::new(LIMIT);
        let mut ids = Vec::new();
        for (second, phase) in (1..).zip(case.phases) {
            let now = Duration::from_secs(second);
            let (id, closed) = admitted(&mut table, now);
            assert_eq!(closed, None, "{}", case.name);
            assert!(table.set_phase(now, id, phase), "{}", case.name);
            ids.push(id);
        }
        let now = Duration::from_secs(9);
        let verdict = table.open(now);
        let Some(expected) = case.closed else {
            assert_eq!(verdict, ConnectionVerdict::Full, "{}", case.name);
            continue;
        };
        let ConnectionVerdict::Admitted { id, closed } = verdict else {
            panic!("{}: nothing is closed", case.name);
        };
        assert_eq!(closed, Some(ids[expected]), "{}", case.name);
        assert_eq!(table.open_count(), LIMIT, "{}", case.name);
        let serves = table.set_phase(now, ids[expected], ConnectionPhase::Serving);
        assert!(!serves, "{}: a request on a closed connection", case.name);
        table.close(ids[expected]);
        table.close(id);
        assert_eq!(table.open_count(), LIMIT - 1, "{}", case.name);
    }
}

/// Guards against heads that arrive without an end, and against closing idle connections or bodies
/// by the time limit of heads.
#[test]
fn only_late_heads_are_closed_by_their_time_limit() {
    let mut table = ConnectionTable::new(LIMIT);
    let [idle, head, body, later] = [(); LIMIT].map(|()| admitted(&mut table, Duration::ZERO).0);
    assert!(table.set_phase(Duration::ZERO, idle, ConnectionPhase::Idle));
    for id in [head, body] {
        table.set_phase(Duration::from_secs(1), id, ConnectionPhase::Head);
    }
    table.set_phase(Duration::from_secs(2), body, ConnectionPhase::Body);
    table.set_phase(Duration::from_secs(2), later, ConnectionPhase::Head);
    let timeout = Duration::from_secs(3);
    assert!(table.take_late_heads(timeout, timeout).is_empty());
    let now = Duration::from_millis(4500);
    assert_eq!(table.take_late_heads(now, timeout), [head]);
    assert!(table.take_late_heads(now, timeout).is_empty(), "only once");
}
