//! Tests of endpoints that restart under the same name, with entries and messages in any order.

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
        cold_left: Duration::ZERO,
    }
}

/// Event that the endpoint table receives.
#[derive(Clone, Copy, Debug)]
enum TableStep {
    Entry(StartStamp, EndpointState),
    /// An entry of a copy from which the store was restored.
    Restored(StartStamp, EndpointState),
    Gone,
    /// Time passes, and deferred entries that were not overwritten are applied.
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
        name: "a process that left and is in the copy gets no work at once",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Seconds(1),
        ],
        known: None,
    },
    ProcessCase {
        name: "it is applied at once when it writes its entry again",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Entry(5, READY),
        ],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "its entry is applied when it remains in the store, and the process still drains",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Restored(5, READY),
            TableStep::Seconds(5),
        ],
        known: Some((5, DRAINING)),
    },
    ProcessCase {
        name: "an unknown process gets work at once",
        steps: &[TableStep::Restored(5, READY)],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "the next process accepts work although the former one drained",
        steps: &[TableStep::Entry(5, DRAINING), TableStep::Entry(9, READY)],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "the next process accepts work after the entry was gone",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Entry(9, READY),
        ],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "a draining process whose entry was gone still drains",
        steps: &[
            TableStep::Entry(5, DRAINING),
            TableStep::Gone,
            TableStep::Entry(5, READY),
        ],
        known: Some((5, DRAINING)),
    },
    ProcessCase {
        name: "a process whose entry lapsed is listed again",
        steps: &[
            TableStep::Entry(5, READY),
            TableStep::Gone,
            TableStep::Entry(5, READY),
        ],
        known: Some((5, READY)),
    },
    ProcessCase {
        name: "the last write of the former process arrives late",
        steps: &[TableStep::Entry(9, READY), TableStep::Entry(5, DRAINING)],
        known: Some((9, READY)),
    },
    ProcessCase {
        name: "it arrives late and the next process writes again",
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
        name: "it arrives after the next process's entry was removed",
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

/// Guards against requests to a process that is draining or has ended, and against a new process
/// that gets no work.
///
/// Entries of two processes of one endpoint arrive in different orders, some late, some after the
/// entry was gone. If they were matched by name alone, the next process would inherit the draining
/// state of the former one, or a late write would restore the former process.
#[test]
fn the_latest_process_is_known() {
    for case in PROCESS_CASES {
        assert_eq!(known(&apply_steps(case.steps)), case.known, "{}", case.name);
    }
}

/// Guards against a restart that is reported twice, and against later entries of the former process
/// that have an effect.
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

/// Guards against any order of entries, within the time of a late write, that restores an earlier
/// process or makes a draining one ready.
#[test]
fn no_order_of_entries_restores_an_earlier_process() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(512), rng);
    let strategy = prop::collection::vec((0_u64..4, any::<bool>(), any::<bool>()), 1..24);
    let outcome = runner.run(&strategy, |entries| {
        let mut table = EndpointTable::new();
        let mut latest: Option<(StartStamp, bool)> = None;
        for (started, drains, is_gone) in entries {
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
    /// Incarnation and sequence number of each message, and its expected order.
    messages: &'static [(Incarnation, u64, MessageOrder)],
}

const SEQUENCE_CASES: &[SequenceCase] = &[
    SequenceCase {
        name: "messages in order",
        messages: &[(7, 1, MessageOrder::Latest), (7, 2, MessageOrder::Latest)],
    },
    SequenceCase {
        name: "one is duplicated, one is overtaken",
        messages: &[
            (7, 2, MessageOrder::Latest),
            (7, 2, MessageOrder::Stale),
            (7, 1, MessageOrder::Stale),
        ],
    },
    SequenceCase {
        name: "a message of the former incarnation arrives after the restart",
        messages: &[
            (7, 90, MessageOrder::Latest),
            (3, 1, MessageOrder::Restarted),
            (7, 91, MessageOrder::Stale),
            (3, 2, MessageOrder::Latest),
        ],
    },
];

/// Guards against a late message of a former incarnation that resets a restarted peer's load.
///
/// The peer restarts and places work, and then a datagram from before the restart arrives. If it
/// were treated as another restart, the work would be forgotten, and the same slots would be used
/// twice.
#[test]
fn messages_of_a_former_incarnation_are_ignored() {
    for case in SEQUENCE_CASES {
        let mut sequences = PeerSequences::new();
        for (incarnation, sequence, expected) in case.messages {
            let order = sequences.record(&"peer".into(), *incarnation, *sequence);
            assert_eq!(order, *expected, "{}", case.name);
        }
    }
}
