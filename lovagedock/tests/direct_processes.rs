//! Endpoints that start again under their names, and news of them in any order.

use std::{net::SocketAddr, time::Duration};

use lovagedock::{
    DirectEndpoint, EndpointProcess, EndpointState, EndpointTable, EntryChange, MessageOrder,
    PeerSequences, prelude::*,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const READY: EndpointState = EndpointState::Ready;
const DRAINING: EndpointState = EndpointState::Draining;

fn entry(started: StartStamp, state: EndpointState) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new("i-1", started),
        service: "model".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: "a".into(),
        slots: 4,
        state,
    }
}

/// What is told of an endpoint.
#[derive(Clone, Copy, Debug)]
enum TableStep {
    Entry(StartStamp, EndpointState),
    /// An entry of a copy from which the store has come back.
    Restored(StartStamp, EndpointState),
    Gone,
    /// Time passes; entries that nobody overwrote are believed.
    Seconds(u64),
}

struct ProcessCase {
    name: &'static str,
    steps: &'static [TableStep],
    /// The process that is known in the end, and its state.
    known: Option<(StartStamp, EndpointState)>,
}

const PROCESS_CASES: &[ProcessCase] = &[
    ProcessCase {
        name: "a process that left and stands in the copy gets no work at once",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Seconds(1),
        ],
        known: None,
    },
    ProcessCase {
        name: "the same is believed when it writes its entry again",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Entry(5, READY),
        ],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "the same is believed when its entry stands, and still drains",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Seconds(5),
        ],
        known: Some((5, DRAINING)),
    },
    ProcessCase {
        name: "a process that was not known serves at once",
        steps: &[TableStep::Restored(5, READY)],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "the next process takes work though the former one drained",
        steps: &[TableStep::Entry(5, DRAINING), TableStep::Entry(9, READY)],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "the same after the entry was away",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Entry(9, READY),
        ],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "a draining process whose entry was away still drains",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Entry(5, READY),
        ],
        known: Some((5, DRAINING)),
    },
    ProcessCase {
        name: "a process whose entry lapsed comes back",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Entry(5, READY),
        ],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "the last write of the former process comes late",
        steps: &[TableStep::Entry(9, READY), TableStep::Entry(5, DRAINING)],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "it comes late and the next process writes again",
        steps: &[
            TableStep::Entry(9, READY),
            TableStep::Entry(5, DRAINING),
            TableStep::Seconds(2),
            TableStep::Entry(9, READY),
            TableStep::Seconds(5),
        ],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "it comes after the entry of the next one was removed",
        steps: &[
            TableStep::Entry(9, READY),
            TableStep::Gone,
            TableStep::Entry(5, READY),
        ],
        known: None,
    },
    ProcessCase {
        name: "a host's clock was set back before the restart",
        steps: &[
            TableStep::Entry(9, DRAINING),
            TableStep::Entry(5, READY),
            TableStep::Seconds(5),
        ],
        known: Some((5, READY)),
    },
];

fn apply_steps(steps: &[TableStep]) -> EndpointTable {
    let mut table = EndpointTable::new();
    let mut now = Duration::ZERO;
    for step in steps {
        match step {
            TableStep::Entry(started, state) => {
                table.insert(now, entry(*started, *state));
            }
            TableStep::Restored(started, state) => {
                table.insert_restored(now, entry(*started, *state));
            }
            TableStep::Gone => {
                table.remove(&"i-1".into());
            }
            TableStep::Seconds(seconds) => {
                now += Duration::from_secs(*seconds);
                table.apply_deferred(now);
            }
        }
    }
    table
}

fn known(table: &EndpointTable) -> Option<(StartStamp, EndpointState)> {
    let endpoint = table.get(&"i-1".into());
    endpoint.map(|endpoint| (endpoint.process.started, endpoint.state))
}

/// Callers get the process that serves, and none that has promised to exit or has ended.
///
/// Entries of two processes of one name come in unlike orders, some late, some after the entry was
/// away. Taken by name alone, the next process inherits the drain of the former one and never gets
/// work, or a late write brings the former one back.
#[test]
fn the_latest_process_is_known() {
    for case in PROCESS_CASES {
        assert_eq!(known(&apply_steps(case.steps)), case.known, "{}", case.name);
    }
}

/// A restart is told once, with what ended; news of the former process changes nothing after it.
#[test]
fn a_restart_is_reported_once() {
    let mut table = EndpointTable::new();
    let now = Duration::ZERO;
    table.insert(now, entry(5, READY));
    let restarted = EntryChange::Restarted(entry(5, READY));
    assert_eq!(table.insert(now, entry(9, READY)), restarted);
    assert_eq!(table.insert(now, entry(9, READY)), EntryChange::Unchanged);
    assert_eq!(table.insert(now, entry(5, READY)), EntryChange::Outdated);
    assert!(table.is_replaced(&EndpointProcess::new("i-1", 5)));
    assert!(table.is_current(&EndpointProcess::new("i-1", 9)));
}

/// In any order of entries within the time of a late write, the latest process stays known, and one
/// that drained never takes work again.
#[test]
fn no_order_of_entries_restores_an_earlier_process() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(512), rng);
    let news = prop::collection::vec((0_u64..4, any::<bool>(), any::<bool>()), 1..24);
    let outcome = runner.run(&news, |news| {
        let mut table = EndpointTable::new();
        let mut latest: Option<(StartStamp, bool)> = None;
        for (started, drains, is_gone) in news {
            let state = if drains { DRAINING } else { READY };
            table.insert(Duration::ZERO, entry(started, state));
            latest = match latest {
                Some((known, drained)) if known == started => Some((known, drained || drains)),
                Some((known, drained)) if known > started => Some((known, drained)),
                Some(_) | None => Some((started, drains)),
            };
            if let Some((started, state)) = known(&table) {
                let drained = state == DRAINING;
                prop_assert_eq!(Some((started, drained)), latest);
            }
            if is_gone {
                table.remove(&"i-1".into());
            }
        }
        Ok(())
    });
    outcome.expect("the latest process stays known");
}

struct SequenceCase {
    name: &'static str,
    /// Incarnation and sequence of each message, and what is made of it.
    messages: &'static [(Incarnation, u64, MessageOrder)],
}

const SEQUENCE_CASES: &[SequenceCase] = &[
    SequenceCase {
        name: "messages in order",
        messages: &[(7, 1, MessageOrder::Latest), (7, 2, MessageOrder::Latest)],
    },
    SequenceCase {
        name: "one comes twice, one is overtaken",
        messages: &[
            (7, 2, MessageOrder::Latest),
            (7, 2, MessageOrder::Stale),
            (7, 1, MessageOrder::Stale),
        ],
    },
    SequenceCase {
        name: "a message of the former process comes after the restart",
        messages: &[
            (7, 90, MessageOrder::Latest),
            (3, 1, MessageOrder::Restarted),
            (7, 91, MessageOrder::Stale),
            (3, 2, MessageOrder::Latest),
        ],
    },
];

/// What a restarted peer has placed is not forgotten for a message of its former life.
///
/// The peer restarts and places work; a datagram from before overtakes nothing but comes last. Taken
/// for another restart, the work is forgotten, and the same engine slots are given out twice.
#[test]
fn messages_of_a_former_incarnation_are_ignored() {
    for case in SEQUENCE_CASES {
        let mut hearing = PeerSequences::new();
        for (incarnation, sequence, expected) in case.messages {
            let news = hearing.record(&"peer".into(), *incarnation, *sequence);
            assert_eq!(news, *expected, "{}", case.name);
        }
    }
}
