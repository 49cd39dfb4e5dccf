//! Tests the changes of an endpoint list that peers get instead of the whole list.

use std::time::Duration;

use lovagedock::{
    DirectEndpoint, EndpointChange, EndpointProcess, EndpointState, EndpointTable, ListingLog,
    ListingVersion, StorePosition,
};

fn version(era: u64, revision: u64, settled: bool) -> ListingVersion {
    ListingVersion {
        position: StorePosition::new(era, revision),
        settled,
    }
}

fn endpoint(id: &str) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new(id, 1),
        service: "service".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}

/// A list that was read at revision 10, with an endpoint added at 12 and one removed at 14.
fn changed_list() -> (EndpointTable, ListingLog) {
    let mut table = EndpointTable::new();
    let mut log = ListingLog::new();
    table.insert(Duration::ZERO, endpoint("old"));
    table.insert(Duration::ZERO, endpoint("gone"));
    log.reset(StorePosition::new(0, 10));
    table.insert(Duration::ZERO, endpoint("new"));
    log.record(StorePosition::new(0, 12), &"new".into());
    table.remove(&"gone".into());
    log.record(StorePosition::new(0, 14), &"gone".into());
    (table, log)
}

struct DeltaCase {
    name: &'static str,
    from: ListingVersion,
    to: ListingVersion,
    /// Ids of the changed endpoints, with a minus for removed ones.
    changes: Option<&'static [&'static str]>,
}

/// Guards against a peer whose list lacks a change, or that gets the whole list for a few.
#[test]
fn a_delta_has_all_changes_since_a_version() {
    let settled = |revision| version(0, revision, true);
    let cases = [
        DeltaCase {
            name: "all changes",
            from: settled(10),
            to: settled(14),
            changes: Some(&["-gone", "new"]),
        },
        DeltaCase {
            name: "the last change",
            from: settled(13),
            to: settled(14),
            changes: Some(&["-gone"]),
        },
        DeltaCase {
            name: "older than the log",
            from: settled(9),
            to: settled(14),
            changes: None,
        },
        DeltaCase {
            name: "another era",
            from: settled(10),
            to: version(1, 14, true),
            changes: None,
        },
        DeltaCase {
            name: "a list that waits for entries to reappear",
            from: settled(10),
            to: version(0, 14, false),
            changes: None,
        },
    ];
    let (table, log) = changed_list();
    for case in cases {
        let delta = log.delta(&table, case.from, case.to);
        let changes: Option<Vec<String>> = delta.map(|delta| {
            let changes = delta.changes.iter().map(|change| match change {
                EndpointChange::Listed(endpoint) => endpoint.process.id.to_string(),
                EndpointChange::Removed(id) => format!("-{id}"),
            });
            changes.collect()
        });
        let expected = case.changes.map(|changes| changes.to_vec());
        let changes = changes.as_ref().map(|changes| {
            let names = changes.iter().map(String::as_str);
            names.collect::<Vec<&str>>()
        });
        assert_eq!(changes, expected, "{}", case.name);
    }
}

struct ApplyCase {
    name: &'static str,
    known: ListingVersion,
    applies: bool,
}

/// Guards against changes that are applied to a list that lacks earlier ones.
#[test]
fn a_delta_applies_only_to_a_list_that_it_continues() {
    let (table, log) = changed_list();
    let delta = log.delta(&table, version(0, 12, true), version(0, 14, true));
    let delta = delta.expect("the log has the changes");
    let cases = [
        ApplyCase {
            name: "where it begins",
            known: version(0, 12, true),
            applies: true,
        },
        ApplyCase {
            name: "within it",
            known: version(0, 13, true),
            applies: true,
        },
        ApplyCase {
            name: "before it",
            known: version(0, 11, true),
            applies: false,
        },
        ApplyCase {
            name: "known already",
            known: version(0, 14, true),
            applies: false,
        },
        ApplyCase {
            name: "another era",
            known: version(1, 12, true),
            applies: false,
        },
        ApplyCase {
            name: "not settled",
            known: version(0, 12, false),
            applies: false,
        },
    ];
    for case in cases {
        assert_eq!(delta.applies_to(case.known), case.applies, "{}", case.name);
    }
}

/// Guards against a delta that is larger than a datagram, or reaches back further than the log.
#[test]
fn many_changes_are_no_delta() {
    let (mut table, mut log) = changed_list();
    for number in 0..600_u64 {
        let id = format!("i-{number}");
        table.insert(Duration::ZERO, endpoint(&id));
        log.record(StorePosition::new(0, 15 + number), &id.as_str().into());
    }
    let to = version(0, 615, true);
    assert_eq!(log.delta(&table, version(0, 10, true), to), None);
    assert_eq!(log.delta(&table, version(0, 500, true), to), None);
    let recent = log.delta(&table, version(0, 610, true), to);
    assert_eq!(recent.map(|delta| delta.changes.len()), Some(4));
}
