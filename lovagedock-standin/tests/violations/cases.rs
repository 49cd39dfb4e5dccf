//! Journals with one violation each, and with none.

use std::time::Duration;

use lovagedock::{RanState, ResultCode};
use lovagedock_standin::load::{
    AnswerCheck, CallOutcome, CallRecord, ConfigChange, DrainRecord, DrainTarget, ExcludedTarget,
    ExecutionRecord, LeakRecord, ViolationCounts,
};

use super::records::*;

pub(crate) struct CountCase {
    pub(crate) name: &'static str,
    pub(crate) journals: fn() -> Journals,
    pub(crate) expected: ViolationCounts,
}

pub(crate) const NONE: ViolationCounts = ViolationCounts {
    no_outcome_in_time: 0,
    cut_answers: 0,
    wrong_answers: 0,
    ran_after_not_run: 0,
    ran_twice: 0,
    differing_redelivery: 0,
    work_after_leaving: 0,
    cut_by_shutdown: 0,
    stale_config: 0,
    leaked_blocks: 0,
};

pub(crate) const CASES: &[CountCase] = &[
    CountCase {
        name: "a complete call",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a call that nobody answered",
        journals: || Journals {
            calls: vec![CallRecord {
                outcome: CallOutcome::NoOutcome,
                answer: AnswerCheck::Prefix,
                ended_at: seconds(11),
                ..call(1)
            }],
            ..Journals::default()
        },
        expected: ViolationCounts {
            no_outcome_in_time: 1,
            ..NONE
        },
    },
    CountCase {
        name: "an answer that came after the deadline and its grace",
        journals: || Journals {
            calls: vec![CallRecord {
                ended_at: Duration::from_millis(7001),
                ..call(1)
            }],
            ..Journals::default()
        },
        expected: ViolationCounts {
            no_outcome_in_time: 1,
            ..NONE
        },
    },
    CountCase {
        name: "an answer just within the grace",
        journals: || Journals {
            calls: vec![CallRecord {
                ended_at: seconds(7),
                ..call(1)
            }],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a clean end on half an answer",
        journals: || Journals {
            calls: vec![CallRecord {
                answer: AnswerCheck::Prefix,
                ..call(1)
            }],
            ..Journals::default()
        },
        expected: ViolationCounts {
            cut_answers: 1,
            ..NONE
        },
    },
    CountCase {
        name: "half an answer that ends as a failure is no cut answer",
        journals: || Journals {
            calls: vec![failed(1, ResultCode::ExpiredRunning, RanState::Yes)],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "another request's answer",
        journals: || Journals {
            calls: vec![CallRecord {
                answer: AnswerCheck::Different,
                ..call(1)
            }],
            ..Journals::default()
        },
        expected: ViolationCounts {
            wrong_answers: 1,
            ..NONE
        },
    },
    CountCase {
        name: "wrong bytes before a failure count too",
        journals: || Journals {
            calls: vec![CallRecord {
                answer: AnswerCheck::Different,
                ..failed(1, ResultCode::ExpiredRunning, RanState::Yes)
            }],
            ..Journals::default()
        },
        expected: ViolationCounts {
            wrong_answers: 1,
            ..NONE
        },
    },
    CountCase {
        name: "refused as not run, and run",
        journals: || Journals {
            calls: vec![refused(1)],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: ViolationCounts {
            ran_after_not_run: 1,
            ..NONE
        },
    },
    CountCase {
        name: "refused as not run, and another request ran",
        journals: || Journals {
            calls: vec![refused(1), call(2)],
            starts: vec![start(2)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a receipt that ran on two endpoints under one request id",
        journals: || Journals {
            calls: vec![keyed(1, "receipt")],
            starts: vec![start(1), start(1)],
            ..Journals::default()
        },
        expected: ViolationCounts {
            ran_twice: 1,
            ..NONE
        },
    },
    CountCase {
        name: "a receipt and its repeat that both ran, each under its request id",
        journals: || Journals {
            calls: vec![keyed(1, "receipt"), keyed(2, "receipt")],
            starts: vec![start(1), start(2)],
            ..Journals::default()
        },
        expected: ViolationCounts {
            ran_twice: 1,
            ..NONE
        },
    },
    CountCase {
        name: "a repeat whose first caller never learnt the request id",
        journals: || Journals {
            calls: vec![
                CallRecord {
                    request: None,
                    outcome: CallOutcome::Broken,
                    answer: AnswerCheck::Prefix,
                    ..keyed(1, "receipt")
                },
                keyed(2, "receipt"),
            ],
            starts: [1, 2]
                .map(|id| ExecutionRecord {
                    key: Some("receipt".to_owned()),
                    ..start(id)
                })
                .to_vec(),
            ..Journals::default()
        },
        expected: ViolationCounts {
            ran_twice: 1,
            ..NONE
        },
    },
    CountCase {
        name: "a repeat that was answered from the record",
        journals: || Journals {
            calls: vec![keyed(1, "receipt"), keyed(2, "receipt")],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "an idempotent request that ran again after its engine died",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start(1), start(1)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a redelivery with other bytes",
        journals: || Journals {
            calls: vec![
                keyed(1, "trace"),
                CallRecord {
                    answer_digest: Some([2; 32]),
                    ..keyed(2, "trace")
                },
            ],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: ViolationCounts {
            differing_redelivery: 1,
            ..NONE
        },
    },
    CountCase {
        name: "two organisations may use the same key",
        journals: || Journals {
            calls: vec![
                keyed(1, "trace"),
                CallRecord {
                    organisation: "lawyers".into(),
                    answer_digest: Some([2; 32]),
                    ..keyed(2, "trace")
                },
            ],
            starts: vec![start(1)],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "work that starts six seconds after its endpoint began to leave",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start_at(1, seconds(9))],
            drains: vec![engine_leaves(seconds(3))],
            ..Journals::default()
        },
        expected: ViolationCounts {
            work_after_leaving: 1,
            ..NONE
        },
    },
    CountCase {
        name: "work that starts four seconds after its endpoint began to leave",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start_at(1, seconds(7))],
            drains: vec![engine_leaves(seconds(3))],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "work that starts after the endpoint came back",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start_at(1, seconds(20))],
            drains: vec![DrainRecord {
                ended_at: Some(seconds(15)),
                ..engine_leaves(seconds(3))
            }],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a request that runs when its endpoint begins to leave and is lost",
        journals: || Journals {
            calls: vec![failed(1, ResultCode::EngineFailed, RanState::Yes)],
            starts: vec![start(1)],
            drains: vec![engine_leaves(Duration::from_millis(1500))],
            ..Journals::default()
        },
        expected: ViolationCounts {
            cut_by_shutdown: 1,
            ..NONE
        },
    },
    CountCase {
        name: "a request whose gateway leaves and whose connection breaks",
        journals: || Journals {
            calls: vec![CallRecord {
                outcome: CallOutcome::Broken,
                answer: AnswerCheck::Prefix,
                answer_digest: None,
                ..call(1)
            }],
            drains: vec![leave(
                DrainTarget::Gateway("gateway-1".to_owned()),
                Duration::from_millis(1500),
            )],
            ..Journals::default()
        },
        expected: ViolationCounts {
            cut_by_shutdown: 1,
            ..NONE
        },
    },
    CountCase {
        name: "a request that fails at another gateway than the one that leaves",
        journals: || Journals {
            calls: vec![failed(1, ResultCode::EngineFailed, RanState::Yes)],
            starts: vec![start(1)],
            drains: vec![leave(
                DrainTarget::Gateway("gateway-2".to_owned()),
                Duration::from_millis(1500),
            )],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "a request that had ended when its endpoint began to leave",
        journals: || Journals {
            calls: vec![failed(1, ResultCode::EngineFailed, RanState::Yes)],
            starts: vec![start(1)],
            drains: vec![engine_leaves(seconds(3))],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "work on an endpoint that a configuration took out seven seconds before",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start_at(1, seconds(10))],
            changes: vec![rules_out(
                ExcludedTarget::Endpoint("engine-1".into()),
                seconds(3),
            )],
            ..Journals::default()
        },
        expected: ViolationCounts {
            stale_config: 1,
            ..NONE
        },
    },
    CountCase {
        name: "work of an organisation that a configuration took out seven seconds before",
        journals: || Journals {
            calls: vec![call(1)],
            starts: vec![start_at(1, seconds(10))],
            changes: vec![rules_out(
                ExcludedTarget::Organisation("outlets".into()),
                seconds(3),
            )],
            ..Journals::default()
        },
        expected: ViolationCounts {
            stale_config: 1,
            ..NONE
        },
    },
    CountCase {
        name: "work within six seconds of the acceptance, and after it was lifted",
        journals: || Journals {
            calls: vec![call(1), call(2)],
            starts: vec![start_at(1, seconds(9)), start_at(2, seconds(20))],
            changes: vec![ConfigChange {
                reverted_at: Some(seconds(15)),
                ..rules_out(ExcludedTarget::Organisation("outlets".into()), seconds(3))
            }],
            ..Journals::default()
        },
        expected: NONE,
    },
    CountCase {
        name: "blocks that nobody waits for",
        journals: || Journals {
            leaks: vec![
                LeakRecord {
                    endpoint: "engine-1".into(),
                    blocks: 3,
                },
                LeakRecord {
                    endpoint: "engine-2".into(),
                    blocks: 4,
                },
            ],
            ..Journals::default()
        },
        expected: ViolationCounts {
            leaked_blocks: 7,
            ..NONE
        },
    },
];
