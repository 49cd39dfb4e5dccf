//! Tests of the detection of parts of prompts that end the engines that answer them.

mod direct_part_series;

use std::{ops::Range, time::Duration};

use direct_part_series::{
    GatewayRestarts, RequestFlow, SeriesOutcome, SeriesPlan, simulate_part_series,
};
use lovagedock::{
    EndEvidence, EndpointProcess, PartEnd, PartLedger, PartVerdict, ProcessEnd, PromptPart,
    Timestamp, prompt_parts,
};

/// A part that all requests share, one that ends engines, and one of sound requests.
const COMMON: PromptPart = 1;
const CRASHING: PromptPart = 500;
const SOUND: PromptPart = 100;

fn end(number: u64, evidence: EndEvidence, ran_for: Duration) -> PartEnd {
    let process = EndpointProcess::new(format!("i-{number}").as_str(), 1);
    PartEnd {
        request: number,
        process: ProcessEnd::new(&process, evidence).process,
        evidence,
        ran_for,
        age: Duration::ZERO,
        is_trial: false,
    }
}

const RUN_TIME: Duration = Duration::from_millis(50);

/// Event of a request.
#[derive(Clone, Copy, Debug)]
enum PartStep {
    /// The process with this number certainly ended under a request with these parts, which was
    /// sent after the step before.
    Ended(u64, &'static [PromptPart]),
    /// The same for a request that is the same each time.
    EndedOnce(u64, &'static [PromptPart]),
    /// The same for a process that may only be unreachable.
    MaybeEnded(u64, &'static [PromptPart]),
    /// These processes ended at the same moment under requests with these parts.
    EndedTogether(u64, &'static [PromptPart]),
    /// An engine began to answer a request with these parts.
    Answered(&'static [PromptPart]),
    /// This number of seconds passes.
    Wait(u64),
}

#[derive(Debug, PartialEq)]
enum Expected {
    Clear,
    Suspect,
    Doubtful,
    Quarantined,
}

struct PartCase {
    name: &'static str,
    steps: &'static [PartStep],
    /// Parts of the next request, and what is expected for it.
    next: &'static [PromptPart],
    expected: Expected,
}

const BOTH: &[PromptPart] = &[COMMON, CRASHING];
const OTHER: &[PromptPart] = &[COMMON, SOUND];

const CASES: &[PartCase] = {
    use PartStep::{Answered, Ended, EndedOnce, EndedTogether, MaybeEnded, Wait};
    &[
        PartCase {
            name: "two ends",
            steps: &[Ended(1, BOTH), Ended(2, BOTH)],
            next: BOTH,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "three ends",
            steps: &[Ended(1, BOTH), Ended(2, BOTH), Ended(3, BOTH)],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "three ends of one request",
            steps: &[EndedOnce(1, BOTH), EndedOnce(2, BOTH), EndedOnce(3, BOTH)],
            next: BOTH,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "one process, reported three times",
            steps: &[Ended(1, BOTH), Ended(1, BOTH), Ended(1, BOTH)],
            next: BOTH,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "a request that shares a part with three ended ones",
            steps: &[Ended(1, BOTH), Ended(2, BOTH), Ended(3, BOTH)],
            next: OTHER,
            expected: Expected::Doubtful,
        },
        PartCase {
            name: "a sound request was answered between the ends",
            steps: &[
                Ended(1, BOTH),
                Ended(2, BOTH),
                Answered(OTHER),
                Ended(3, BOTH),
            ],
            next: OTHER,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "a sound request was answered after the ends",
            steps: &[
                Ended(1, BOTH),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Answered(OTHER),
            ],
            next: OTHER,
            expected: Expected::Clear,
        },
        PartCase {
            name: "the answer of a sound request says nothing about the other part",
            steps: &[
                Ended(1, BOTH),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Answered(OTHER),
            ],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "the part that the trial lacked is not the cause",
            steps: &[
                Ended(1, BOTH),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Ended(4, OTHER),
            ],
            next: OTHER,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "shortly after ends by another cause and a crashing part",
            steps: &[
                Ended(1, OTHER),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Ended(4, BOTH),
            ],
            next: OTHER,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "a second later",
            steps: &[
                Ended(1, OTHER),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Ended(4, BOTH),
                Wait(1),
            ],
            next: &[COMMON, SOUND + 1],
            expected: Expected::Doubtful,
        },
        PartCase {
            name: "a second after ends that no other part explains",
            steps: &[Ended(1, OTHER), Ended(2, BOTH), Ended(3, OTHER), Wait(1)],
            next: &[COMMON, SOUND + 1],
            expected: Expected::Doubtful,
        },
        PartCase {
            name: "the same for a request with more parts under which processes ended",
            steps: &[Ended(1, OTHER), Ended(2, BOTH), Ended(3, OTHER), Wait(1)],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "answered shortly before it ended engines",
            steps: &[
                Answered(BOTH),
                Ended(1, BOTH),
                Ended(2, BOTH),
                Ended(3, BOTH),
            ],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "a failure domain is lost",
            steps: &[EndedTogether(7, BOTH)],
            next: BOTH,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "five processes that may be unreachable",
            steps: &[
                MaybeEnded(1, BOTH),
                MaybeEnded(2, BOTH),
                MaybeEnded(3, BOTH),
                MaybeEnded(4, BOTH),
                MaybeEnded(5, BOTH),
            ],
            next: BOTH,
            expected: Expected::Suspect,
        },
        PartCase {
            name: "six of them",
            steps: &[
                MaybeEnded(1, BOTH),
                MaybeEnded(2, BOTH),
                MaybeEnded(3, BOTH),
                MaybeEnded(4, BOTH),
                MaybeEnded(5, BOTH),
                MaybeEnded(6, BOTH),
            ],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "the quarantine has ended",
            steps: &[Ended(1, BOTH), Ended(2, BOTH), Ended(3, BOTH), Wait(601)],
            next: BOTH,
            expected: Expected::Doubtful,
        },
        PartCase {
            name: "the second quarantine is twice as long",
            steps: &[
                Ended(1, BOTH),
                Ended(2, BOTH),
                Ended(3, BOTH),
                Wait(601),
                Ended(4, BOTH),
                Wait(1100),
            ],
            next: BOTH,
            expected: Expected::Quarantined,
        },
        PartCase {
            name: "evidence expires",
            steps: &[Ended(1, BOTH), Ended(2, BOTH), Wait(700), Ended(3, BOTH)],
            next: BOTH,
            expected: Expected::Suspect,
        },
    ]
};

#[test]
fn verdicts_follow_from_ends_and_answers() {
    for case in CASES {
        let mut ledger = PartLedger::new();
        let mut now = Duration::from_secs(5);
        for step in case.steps {
            now += RUN_TIME * 2;
            match step {
                PartStep::Ended(process, parts) => {
                    let end = end(*process, EndEvidence::Strong, RUN_TIME);
                    ledger.record_end(now, parts, end);
                }
                PartStep::EndedOnce(process, parts) => {
                    let end = end(*process, EndEvidence::Strong, RUN_TIME);
                    ledger.record_end(now, parts, PartEnd { request: 0, ..end });
                }
                PartStep::MaybeEnded(process, parts) => {
                    ledger.record_end(now, parts, end(*process, EndEvidence::Weak, RUN_TIME));
                }
                PartStep::EndedTogether(count, parts) => {
                    for process in 0..*count {
                        let end = end(process, EndEvidence::Strong, RUN_TIME);
                        ledger.record_end(now + RUN_TIME / 10, parts, end);
                    }
                }
                PartStep::Answered(parts) => {
                    ledger.record_answered(now, parts);
                }
                PartStep::Wait(time) => {
                    now += Duration::from_secs(*time);
                    ledger.forget_old(now);
                }
            }
        }
        let actual = match ledger.verdict(now, case.next) {
            PartVerdict::Clear => Expected::Clear,
            PartVerdict::Suspect => Expected::Suspect,
            PartVerdict::Doubtful => Expected::Doubtful,
            PartVerdict::Quarantined(_) => Expected::Quarantined,
        };
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}

fn blamed_ledger(now: Timestamp) -> PartLedger {
    let mut ledger = PartLedger::new();
    for process in 1..4 {
        let at = now - Duration::from_secs(4 - process);
        ledger.record_end(at, BOTH, end(process, EndEvidence::Strong, RUN_TIME));
    }
    ledger
}

/// Guards against several trials at the same time, each of which may cost an engine.
#[test]
fn one_trial_runs_at_a_time() {
    let now = Duration::from_secs(10);
    let mut ledger = blamed_ledger(now);
    let mut peer = PartLedger::new().with_rank(1);
    for update in ledger.take_due(now) {
        peer.apply_update(now, update);
    }
    let time = Duration::from_secs(1);
    assert!(ledger.try_start_trial(now, 1, OTHER, time));
    assert!(!ledger.try_start_trial(now, 2, &[COMMON, SOUND + 1], time));
    for update in ledger.take_due(now) {
        peer.apply_update(now, update);
    }
    assert!(peer.awaits_trial(now, OTHER), "the peer knows of the trial");
    assert!(ledger.holds_trial(now, OTHER));
    let later = now + time * 2;
    assert!(
        peer.try_start_trial(later, 1, OTHER, time),
        "nothing decided it"
    );
    ledger.record_answered(later, OTHER);
    assert_eq!(ledger.verdict(later, OTHER), PartVerdict::Clear);
}

/// Guards against two trials that two gateways start before they hear of each other.
#[test]
fn the_trial_of_one_gateway_goes_on() {
    let now = Duration::from_secs(10);
    let time = Duration::from_secs(1);
    let mut gateways: Vec<PartLedger> = (0..2)
        .map(|rank| blamed_ledger(now).with_rank(rank))
        .collect();
    let mut updates = Vec::new();
    for gateway in &mut gateways {
        assert!(gateway.try_start_trial(now, 1, OTHER, time));
        updates.push(gateway.take_due(now));
    }
    for (gateway, updates) in gateways.iter_mut().zip(updates.into_iter().rev()) {
        for update in updates {
            gateway.apply_update(now, update);
        }
    }
    assert!(gateways[0].holds_trial(now, OTHER));
    assert!(!gateways[1].holds_trial(now, OTHER));
}

/// Guards against trials without end if another request on the same process is reported first.
#[test]
fn a_failed_trial_counts_if_its_process_is_known() {
    let mut now = Duration::from_secs(10);
    let mut ledger = blamed_ledger(now);
    for trial in 0..3 {
        now += Duration::from_secs(2);
        let request = 50 + trial;
        assert_eq!(ledger.verdict(now, OTHER), PartVerdict::Doubtful, "{trial}");
        assert!(ledger.try_start_trial(now, request, OTHER, Duration::from_secs(1)));
        let end = end(20 + trial, EndEvidence::Strong, RUN_TIME);
        ledger.record_end(now, BOTH, end);
        ledger.record_end(now, OTHER, PartEnd { request, ..end });
        // The update arrives again.
        ledger.record_end(now, OTHER, PartEnd { request, ..end });
    }
    let verdict = ledger.verdict(now, OTHER);
    assert!(
        matches!(verdict, PartVerdict::Quarantined(_)),
        "{verdict:?}"
    );
}

/// Guards against more trials of a part that ends engines, and against none of one that shares its
/// requests with such a part.
#[test]
fn a_part_that_nothing_explains_is_tried_once() {
    let mut now = Duration::from_secs(10);
    let mut ledger = blamed_ledger(now);
    now += Duration::from_secs(5);
    ledger.set_has_silent_peers(true);
    let verdict = ledger.verdict(now, BOTH);
    assert!(
        matches!(verdict, PartVerdict::Quarantined(_)),
        "each gateway would try it: {verdict:?}"
    );
    ledger.set_has_silent_peers(false);
    assert_eq!(ledger.verdict(now, BOTH), PartVerdict::Doubtful);
    assert!(ledger.try_start_trial(now, 50, BOTH, Duration::from_secs(1)));
    ledger.record_end(now, BOTH, end(50, EndEvidence::Strong, RUN_TIME));
    now += Duration::from_secs(60);
    let verdict = ledger.verdict(now, BOTH);
    assert!(
        matches!(verdict, PartVerdict::Quarantined(_)),
        "{verdict:?}"
    );
    assert_eq!(ledger.verdict(now, OTHER), PartVerdict::Doubtful);
}

/// Guards against a sound part that is refused because its only trial shared a process with a
/// request that ends engines as a whole.
#[test]
fn a_trial_that_another_request_ended_does_not_count() {
    let mut now = Duration::from_secs(10);
    let mut ledger = PartLedger::new();
    for process in 1..4 {
        now += RUN_TIME * 2;
        ledger.record_end(now, OTHER, end(process, EndEvidence::Strong, RUN_TIME));
    }
    now += Duration::from_secs(5);
    assert!(ledger.try_start_trial(now, 50, OTHER, Duration::from_secs(1)));
    let trial_end = end(50, EndEvidence::Strong, RUN_TIME);
    ledger.record_end(now, OTHER, trial_end);
    now += Duration::from_secs(5);
    assert!(matches!(
        ledger.verdict(now, OTHER),
        PartVerdict::Quarantined(_)
    ));
    ledger.set_attributed([(trial_end.process, trial_end.request)]);
    let verdict = ledger.verdict(now, OTHER);
    assert!(
        matches!(verdict, PartVerdict::Quarantined(_)),
        "the trial itself ended it: {verdict:?}"
    );
    ledger.set_attributed([(trial_end.process, 51)]);
    assert_eq!(ledger.verdict(now, OTHER), PartVerdict::Doubtful);
}

/// Guards against a sound part that is refused because its only trial was sent to a process that had
/// ended before.
#[test]
fn a_trial_on_an_ended_process_does_not_count() {
    let mut now = Duration::from_secs(10);
    let mut ledger = PartLedger::new();
    for process in 1..4 {
        now += RUN_TIME * 2;
        ledger.record_end(now, OTHER, end(process, EndEvidence::Strong, RUN_TIME));
    }
    now += Duration::from_secs(5);
    assert!(ledger.try_start_trial(now, 50, OTHER, Duration::from_secs(1)));
    let ended_before = end(3, EndEvidence::Strong, RUN_TIME);
    let trial_end = PartEnd {
        request: 50,
        ..ended_before
    };
    ledger.record_end(now, OTHER, trial_end);
    assert_eq!(ledger.verdict(now, OTHER), PartVerdict::Doubtful);
}

/// Guards against a sound part that is refused because the process of its only trial could not be
/// reached any more.
#[test]
fn a_trial_on_an_unreachable_process_does_not_end_the_trials() {
    let mut now = Duration::from_secs(10);
    let mut ledger = PartLedger::new();
    for process in 1..4 {
        now += RUN_TIME * 2;
        ledger.record_end(now, OTHER, end(process, EndEvidence::Strong, RUN_TIME));
    }
    for trial in 50..53 {
        now += Duration::from_secs(5);
        assert_eq!(ledger.verdict(now, OTHER), PartVerdict::Doubtful, "{trial}");
        assert!(ledger.try_start_trial(now, trial, OTHER, Duration::from_secs(1)));
        ledger.record_end(now, OTHER, end(trial, EndEvidence::Weak, RUN_TIME));
    }
    now += Duration::from_secs(60);
    let verdict = ledger.verdict(now, OTHER);
    assert!(
        matches!(verdict, PartVerdict::Quarantined(_)),
        "three trials are the limit: {verdict:?}"
    );
}

/// Guards against evidence that is lost with a gateway's process, or that a stored copy brings back
/// after an answer.
#[test]
fn reports_outlive_the_gateway() {
    let now = Duration::from_secs(1000);
    let ledger = blamed_ledger(now);
    let reports = ledger.reports(now, false);
    assert_eq!(reports.len(), 2);
    // The clock of the next process starts anew.
    let start = Duration::from_millis(100);
    let mut next = PartLedger::new();
    assert_eq!(next.restore(start, reports.clone(), true).len(), 2);
    assert!(matches!(
        next.verdict(start, BOTH),
        PartVerdict::Quarantined(_)
    ));
    assert_eq!(next.reports(start, false).len(), 2);
    next.record_answered(start, OTHER);
    next.restore(start * 2, reports, true);
    assert_eq!(next.verdict(start * 2, OTHER), PartVerdict::Clear);
}

/// Guards against three more trials after each restart of a gateway, and at each peer that missed
/// the message about the trial.
#[test]
fn failed_trials_are_known_to_all_gateways() {
    let mut now = Duration::from_secs(10);
    let mut ledger = blamed_ledger(now);
    let mut peer = blamed_ledger(now).with_rank(1);
    now += Duration::from_secs(5);
    assert!(ledger.try_start_trial(now, 50, BOTH, Duration::from_secs(1)));
    ledger.take_due(now);
    ledger.record_end(now, BOTH, end(50, EndEvidence::Strong, RUN_TIME));
    for update in ledger.take_due(now) {
        peer.apply_update(now, update);
    }
    let mut restarted = PartLedger::new();
    restarted.restore(now, ledger.reports(now, false), true);
    now += Duration::from_secs(60);
    for (name, ledger) in [("the peer", peer), ("the restarted gateway", restarted)] {
        let verdict = ledger.verdict(now, BOTH);
        assert!(
            matches!(verdict, PartVerdict::Quarantined(_)),
            "{name}: {verdict:?}"
        );
    }
}

/// Guards against unbounded memory. The parts with the most evidence are kept longest.
#[test]
fn memory_is_bounded() {
    let now = Duration::from_secs(10);
    let mut ledger = blamed_ledger(now);
    for part in 1000..21_000 {
        let end = end(part, EndEvidence::Strong, RUN_TIME);
        ledger.record_end(now, &[part], end);
        assert!(ledger.len() <= 2048);
        assert!(ledger.take_due(now).len() <= 8);
    }
    assert!(matches!(
        ledger.verdict(now, BOTH),
        PartVerdict::Quarantined(_)
    ));
    assert!(ledger.reports(now, true).len() <= 256);
    ledger.forget_old(now * 1000);
    assert!(ledger.is_empty());
}

/// A series of ends, and what is expected of it at most.
struct SeriesCase {
    name: &'static str,
    flows: &'static [RequestFlow],
    crashing: &'static [(PromptPart, Duration)],
    losses: Option<Duration>,
    restarts: Option<GatewayRestarts>,
    /// Sound parts that no answer tells from the crashing ones.
    inseparable: usize,
}

const START: Duration = Duration::from_secs(10);
const LENGTH: Duration = Duration::from_secs(40);

const fn flow(rate: f64, levels: &'static [Range<PromptPart>]) -> RequestFlow {
    let from = Duration::ZERO;
    RequestFlow { rate, levels, from }
}

const fn crashing_flow(rate: f64, levels: &'static [Range<PromptPart>]) -> RequestFlow {
    let from = START;
    RequestFlow { rate, levels, from }
}

const SERIES: &[SeriesCase] = &[
    SeriesCase {
        name: "hundreds of sound requests a second",
        flows: &[
            flow(300.0, &[1..2, 10..14, 100..400]),
            crashing_flow(8.0, &[1..2, 500..501, 100..400]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "few sound requests",
        flows: &[
            flow(1.5, &[1..2, 10..14, 100..110]),
            crashing_flow(8.0, &[1..2, 500..501, 100..110]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "no sound request until later",
        flows: &[
            RequestFlow {
                rate: 3.0,
                levels: &[1..2, 10..14, 100..110],
                from: Duration::from_secs(20),
            },
            crashing_flow(8.0, &[1..2, 500..501, 100..110]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "the first part, with companions of sound requests",
        flows: &[
            flow(40.0, &[1..2, 10..14, 100..400]),
            crashing_flow(8.0, &[500..501, 10..14, 100..400]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "the first part of nested ones, under other parts as well",
        flows: &[
            flow(40.0, &[1..2, 10..14]),
            crashing_flow(4.0, &[500..501, 510..511, 520..521, 530..531]),
            RequestFlow {
                rate: 2.0,
                levels: &[500..501, 510..511, 520..521, 540..541],
                from: Duration::from_secs(22),
            },
            RequestFlow {
                rate: 2.0,
                levels: &[500..501, 510..511, 550..551, 560..561],
                from: Duration::from_secs(26),
            },
            RequestFlow {
                rate: 2.0,
                levels: &[500..501, 570..571, 580..581, 590..591],
                from: Duration::from_secs(30),
            },
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 9,
    },
    SeriesCase {
        name: "a part that was sound before",
        flows: &[flow(40.0, &[1..2, 10..14, 100..400])],
        crashing: &[(10, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "two parts at the same time, from one caller",
        flows: &[
            flow(2.0, &[1..2, 10..14, 100..110]),
            crashing_flow(4.0, &[1..2, 500..501, 100..110]),
            crashing_flow(4.0, &[1..2, 510..511, 100..110]),
        ],
        crashing: &[(500, START), (510, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "a request every four seconds",
        flows: &[
            flow(40.0, &[1..2, 10..14, 100..400]),
            crashing_flow(0.25, &[1..2, 500..501, 100..400]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "ends by another cause",
        flows: &[flow(40.0, &[1..2, 10..14, 100..400])],
        crashing: &[],
        losses: Some(Duration::from_millis(1500)),
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "ends by another cause beside few requests",
        flows: &[flow(2.0, &[1..2, 10..14, 100..110])],
        crashing: &[],
        losses: Some(Duration::from_millis(1500)),
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "a crashing part and another cause",
        flows: &[
            flow(40.0, &[1..2, 10..14, 100..400]),
            crashing_flow(8.0, &[1..2, 500..501, 100..400]),
        ],
        crashing: &[(500, START)],
        losses: Some(Duration::from_millis(3000)),
        restarts: None,
        inseparable: 0,
    },
    SeriesCase {
        name: "a gateway restarts every second, without the store",
        flows: &[
            flow(10.0, &[1..2, 10..14, 100..110]),
            crashing_flow(8.0, &[1..2, 500..501, 100..110]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: Some(GatewayRestarts {
            interval: Duration::from_secs(1),
            all: false,
            has_store: false,
        }),
        inseparable: 0,
    },
    SeriesCase {
        name: "all gateways restart every four seconds",
        flows: &[
            flow(2.0, &[1..2, 10..14, 100..110]),
            crashing_flow(8.0, &[1..2, 500..501, 100..110]),
        ],
        crashing: &[(500, START)],
        losses: None,
        restarts: Some(GatewayRestarts {
            interval: Duration::from_secs(4),
            all: true,
            has_store: true,
        }),
        inseparable: 0,
    },
    SeriesCase {
        name: "the same beside another cause",
        flows: &[
            flow(10.0, &[1..2, 10..14, 100..110]),
            crashing_flow(8.0, &[1..2, 500..501, 100..110]),
        ],
        crashing: &[(500, START)],
        losses: Some(Duration::from_millis(3000)),
        restarts: Some(GatewayRestarts {
            interval: Duration::from_secs(4),
            all: true,
            has_store: true,
        }),
        inseparable: 0,
    },
];

/// Maximum number of requests with a crashing part that may be sent later than three seconds after
/// its fifth end, and least fraction of sound requests served, relative to before.
const MAX_LATE_SENDS: usize = 3;
const MIN_SERVED_RATIO: f64 = 0.95;

/// Seeds of each series in the short run.
const SEEDS: Range<u64> = 0..4;

/// Simulates all series with each of the seeds. Returns the violations.
fn series_violations(seeds: Range<u64>) -> Vec<String> {
    let mut violations = Vec::new();
    for case in SERIES {
        let mut most = SeriesOutcome::default();
        for seed in seeds.clone() {
            let outcome = simulate_part_series(&SeriesPlan {
                seed,
                flows: case.flows,
                crashing: case.crashing,
                losses: case.losses,
                restarts: case.restarts,
                length: LENGTH,
            });
            let is_served = outcome.before.1 == 0 || outcome.served_ratio() >= MIN_SERVED_RATIO;
            let is_late = outcome.late_sends > MAX_LATE_SENDS;
            if is_late || outcome.sound_blamed > case.inseparable || !is_served {
                violations.push(format!("{}, seed {seed}: {outcome:?}", case.name));
            }
            most.ends = most.ends.max(outcome.ends);
            most.late_sends = most.late_sends.max(outcome.late_sends);
            most.sound_blamed = most.sound_blamed.max(outcome.sound_blamed);
            most.before = (
                most.before.0 + outcome.before.0,
                most.before.1 + outcome.before.1,
            );
            most.after = (
                most.after.0 + outcome.after.0,
                most.after.1 + outcome.after.1,
            );
        }
        println!(
            "{}: ends {}, late {}, blamed {} at most, served {:.3}",
            case.name,
            most.ends,
            most.late_sends,
            most.sound_blamed,
            most.served_ratio()
        );
    }
    violations
}

/// Guards against a crashing part that is sent on and on, and against sound requests that are
/// refused because they share parts with it.
#[test]
fn series_of_ends_blame_the_crashing_part_alone() {
    let violations = series_violations(SEEDS);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The same with seeds from the environment:
///
/// ```text
/// LOVAGEDOCK_SERIES_SEEDS=2000..2060 cargo test --release -p lovagedock --test direct_parts -- \
///     --ignored --nocapture
/// ```
#[test]
#[ignore = "long run, started by hand with chosen seeds"]
fn series_hold_under_chosen_seeds() {
    let seeds = std::env::var("LOVAGEDOCK_SERIES_SEEDS").unwrap_or_else(|_| "0..4".to_owned());
    let (first, last) = seeds.split_once("..").expect("seeds should be FIRST..LAST");
    let (Ok(first), Ok(last)) = (first.parse(), last.parse()) else {
        panic!("FIRST and LAST of the seeds should be numbers");
    };
    let violations = series_violations(first..last);
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against sound requests that are refused because two crashing parts share a part with them
/// that nobody else asks for at the moment.
#[test]
fn two_crashing_parts_leave_sound_requests_served() {
    let name = "two parts at the same time, from one caller";
    let case = SERIES.iter().find(|case| case.name == name);
    let case = case.expect("the series is listed");
    let outcome = simulate_part_series(&SeriesPlan {
        seed: 24,
        flows: case.flows,
        crashing: case.crashing,
        losses: case.losses,
        restarts: case.restarts,
        length: LENGTH,
    });
    assert!(outcome.served_ratio() >= MIN_SERVED_RATIO, "{outcome:?}");
}

/// Guards against a part of a prompt that is not recognised because another text comes before it.
#[test]
fn parts_of_a_text_do_not_depend_on_what_comes_before() {
    let shared: String = (0..3000)
        .map(|line| format!("{line} of the register\n"))
        .collect();
    let first = prompt_parts(format!("one\n{shared}").as_bytes());
    let second = prompt_parts(format!("a longer text before\n{shared}and after").as_bytes());
    let common = first.iter().filter(|part| second.contains(part)).count();
    assert!(common > first.len() / 2, "{common} of {}", first.len());
    assert!(prompt_parts(shared.repeat(40).as_bytes()).len() <= 64);
}
