//! Tests of the detection of requests that end the engines that run them.

mod direct_suspect_series;

use std::time::Duration;

use direct_suspect_series::{SeriesOutcome, SeriesPlan, simulate_series};
use lovagedock::{
    EndEvidence, EndpointProcess, ProcessEnd, RequestFingerprint, SuspectLedger, SuspectQueue,
    SuspectUpdate, Timestamp,
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

/// The request that ends engines.
const CRASHING: RequestFingerprint = 7;

/// A request that shares engines with it.
const UNRELATED: RequestFingerprint = 8;

fn seconds(seconds: u64) -> Timestamp {
    Duration::from_secs(seconds)
}

fn end(process: u64, evidence: EndEvidence) -> ProcessEnd {
    let process = EndpointProcess::new(format!("i-{process}").as_str(), 1);
    ProcessEnd::new(&process, evidence)
}

/// Event of a request.
#[derive(Clone, Copy, Debug)]
enum SuspectStep {
    /// The process with this number certainly ended, soon after it had started to run the request.
    Ended(u64),
    /// The process with this number may only be unreachable, or had streamed before it ended.
    MaybeEnded(u64),
    /// The request was served.
    Served,
    /// This number of seconds passes.
    Wait(u64),
}

struct SuspectCase {
    name: &'static str,
    steps: &'static [SuspectStep],
    quarantined: bool,
}

const CASES: &[SuspectCase] = {
    use SuspectStep::{Ended, MaybeEnded, Served, Wait};
    &[
        SuspectCase {
            name: "three processes ended",
            steps: &[Ended(1), Ended(2), Ended(3)],
            quarantined: true,
        },
        SuspectCase {
            name: "two did",
            steps: &[Ended(1), Ended(2)],
            quarantined: false,
        },
        SuspectCase {
            name: "one process, reported three times",
            steps: &[Ended(1), Ended(1), Ended(1)],
            quarantined: false,
        },
        SuspectCase {
            name: "it had streamed before one of them ended",
            steps: &[MaybeEnded(1), Ended(2), Ended(3)],
            quarantined: false,
        },
        SuspectCase {
            name: "weak evidence becomes strong",
            steps: &[MaybeEnded(1), Ended(2), Ended(3), Ended(1)],
            quarantined: true,
        },
        SuspectCase {
            name: "six ends with weak evidence",
            steps: &[
                MaybeEnded(1),
                MaybeEnded(2),
                MaybeEnded(3),
                MaybeEnded(4),
                MaybeEnded(5),
                MaybeEnded(6),
            ],
            quarantined: true,
        },
        SuspectCase {
            name: "served in between",
            steps: &[Ended(1), Ended(2), Served, Ended(3)],
            quarantined: false,
        },
        SuspectCase {
            name: "a frequent request, and a failure domain is lost",
            steps: &[Served, Wait(20), Ended(1), Ended(2), Ended(3), Ended(4)],
            quarantined: false,
        },
        SuspectCase {
            name: "served long ago",
            steps: &[Served, Wait(120), Ended(1), Ended(2), Ended(3)],
            quarantined: true,
        },
        SuspectCase {
            name: "served after the ends",
            steps: &[Ended(1), Ended(2), Ended(3), Served],
            quarantined: false,
        },
        SuspectCase {
            name: "submitted again minutes later",
            steps: &[Ended(1), Wait(300), Ended(2), Wait(300), Ended(3)],
            quarantined: true,
        },
        SuspectCase {
            name: "evidence expires in between",
            steps: &[Ended(1), Ended(2), Wait(700), Ended(3)],
            quarantined: false,
        },
        SuspectCase {
            name: "the quarantine has ended",
            steps: &[Ended(1), Ended(2), Ended(3), Wait(601)],
            quarantined: false,
        },
        SuspectCase {
            name: "another end after the quarantine",
            steps: &[Ended(1), Ended(2), Ended(3), Wait(601), Ended(4)],
            quarantined: true,
        },
        SuspectCase {
            name: "the second quarantine is twice as long",
            steps: &[
                Ended(1),
                Ended(2),
                Ended(3),
                Wait(601),
                Ended(4),
                Wait(1100),
            ],
            quarantined: true,
        },
    ]
};

#[test]
fn quarantine_follows_from_ended_processes() {
    for case in CASES {
        let mut ledger = SuspectLedger::new();
        let mut now = seconds(5);
        for step in case.steps {
            match step {
                SuspectStep::Ended(process) => {
                    ledger.record_end(now, CRASHING, end(*process, EndEvidence::Strong));
                }
                SuspectStep::MaybeEnded(process) => {
                    ledger.record_end(now, CRASHING, end(*process, EndEvidence::Weak));
                }
                SuspectStep::Served => ledger.record_served(now, CRASHING),
                SuspectStep::Wait(time) => {
                    now += seconds(*time);
                    ledger.forget_old(now);
                }
            }
        }
        let left = ledger.quarantined_for(now, CRASHING);
        assert_eq!(left.is_some(), case.quarantined, "{}", case.name);
    }
}

/// Guards against ends that count against a request that shared two processes with one that is in
/// quarantine by now.
#[test]
fn a_quarantine_clears_other_requests_of_its_processes() {
    let mut ledger = SuspectLedger::new();
    let now = seconds(1);
    for process in 1..3 {
        ledger.record_end(now, UNRELATED, end(process, EndEvidence::Strong));
        ledger.record_end(now, CRASHING, end(process, EndEvidence::Strong));
    }
    assert!(ledger.record_end(now, CRASHING, end(3, EndEvidence::Strong)));
    assert_eq!(ledger.end_count(UNRELATED), 0);
    // The gateway of the unrelated request reports the third end a moment later.
    assert!(!ledger.record_end(now, UNRELATED, end(3, EndEvidence::Strong)));
    assert!(!ledger.is_suspect(UNRELATED));
}

/// Guards against unbounded memory. The requests with the most evidence are kept longest.
#[test]
fn memory_is_bounded() {
    let mut ledger = SuspectLedger::new();
    for process in 1..4 {
        ledger.record_end(seconds(1), CRASHING, end(process, EndEvidence::Strong));
    }
    ledger.record_end(seconds(1), UNRELATED, end(4, EndEvidence::Strong));
    ledger.record_end(seconds(1), UNRELATED, end(5, EndEvidence::Strong));
    for fingerprint in 100..20_100 {
        let process = end(fingerprint, EndEvidence::Strong);
        ledger.record_end(seconds(2), fingerprint, process);
        assert!(ledger.len() <= 2048);
    }
    assert!(ledger.quarantined_for(seconds(2), CRASHING).is_some());
    assert_eq!(ledger.end_count(UNRELATED), 2);
    assert!(ledger.reports(seconds(2), true).len() <= 256);
    ledger.forget_old(seconds(4000));
    assert!(ledger.is_empty());
}

/// Guards against evidence that is lost with a gateway's process. The next process of its name
/// restores it and reports it again.
#[test]
fn reports_outlive_the_gateway() {
    let now = seconds(10);
    let mut ledger = SuspectLedger::new();
    for process in 1..4 {
        ledger.record_end(now, CRASHING, end(process, EndEvidence::Strong));
    }
    ledger.record_end(now, UNRELATED, end(9, EndEvidence::Strong));
    let reports = ledger.reports(now, false);
    assert_eq!(reports.len(), 1, "a single end is not reported");
    assert_eq!(ledger.reports(now, true).len(), 2);
    for is_own in [true, false] {
        let mut next = SuspectLedger::new();
        assert_eq!(next.restore(seconds(1), reports.clone(), is_own), 1);
        assert!(next.quarantined_for(seconds(2), CRASHING).is_some());
        let kept = next.reports(seconds(2), false).len();
        assert_eq!(kept, usize::from(is_own), "each gateway reports its own");
    }
}

/// Guards against gateways that disagree on a request after message loss.
///
/// Processes end under the request at random gateways. Each message to each peer is lost with a
/// probability of two in five, duplicated or delayed, so the three sends of an update overtake each
/// other. A request that was served at one gateway must not be suspected by any of them.
#[test]
fn gateways_agree_despite_message_loss() {
    const GATEWAYS: usize = 5;
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledgers = vec![SuspectLedger::new(); GATEWAYS];
        let mut queues = vec![SuspectQueue::new(); GATEWAYS];
        let mut messages: Vec<(Timestamp, usize, SuspectUpdate)> = Vec::new();
        ledgers[0].record_served(Duration::ZERO, UNRELATED);
        for round in 0..1200_u64 {
            let now = Duration::from_millis(round * 10);
            if round < 40 && round % 10 == 0 {
                let gateway = random.random_range(0..GATEWAYS);
                let ended = end(round, EndEvidence::Strong);
                ledgers[gateway].record_end(now, CRASHING, ended);
                ledgers[1].record_end(now, UNRELATED, ended);
            }
            for sender in 0..GATEWAYS {
                for update in queues[sender].take_due(now, &mut ledgers[sender]) {
                    for receiver in (0..GATEWAYS).filter(|receiver| *receiver != sender) {
                        for _ in 0..random.random_range(1..3) {
                            if random.random_bool(0.6) {
                                let delay = Duration::from_millis(random.random_range(1..900));
                                messages.push((now + delay, receiver, update));
                            }
                        }
                    }
                }
            }
            messages.shuffle(&mut random);
            messages.retain(|(at, receiver, update)| {
                if *at <= now {
                    ledgers[*receiver].apply_update(now, *update);
                }
                *at > now
            });
        }
        let now = seconds(12);
        for (gateway, ledger) in ledgers.iter().enumerate() {
            let left = ledger.quarantined_for(now, CRASHING);
            assert!(left.is_some(), "seed {seed}, gateway {gateway}");
            let unrelated = ledger.quarantined_for(now, UNRELATED);
            assert!(unrelated.is_none(), "seed {seed}, gateway {gateway}");
        }
    }
}

/// Guards against large messages after the loss of a failure domain with a thousand requests.
#[test]
fn messages_are_bounded() {
    let mut ledger = SuspectLedger::new();
    let mut queue = SuspectQueue::new();
    for fingerprint in 0..5_000 {
        let ended = end(fingerprint % 57, EndEvidence::Strong);
        ledger.record_end(seconds(1), fingerprint, ended);
    }
    let mut sent = 0;
    for round in 0..1_000 {
        let now = seconds(1) + Duration::from_millis(10 * round);
        let updates = queue.take_due(now, &mut ledger).len();
        assert!(updates <= 24, "{updates} in one message");
        sent += updates;
    }
    assert!(sent <= 3 * 5_000, "{sent} in all");
    assert!(queue.take_due(seconds(60), &mut ledger).is_empty());
}

/// Guards against repeated updates about a frequent request that every gateway has served.
#[test]
fn a_queued_clearance_is_not_queued_twice() {
    let mut ledger = SuspectLedger::new();
    let mut queue = SuspectQueue::new();
    ledger.record_served(seconds(1), UNRELATED);
    let mut sent = 0;
    for process in 0..50 {
        let ended = end(process, EndEvidence::Strong);
        ledger.apply_update(seconds(2), SuspectUpdate::Ended(UNRELATED, ended));
        sent += queue.take_due(seconds(2), &mut ledger).len();
    }
    assert_eq!(sent, 1);
    assert_eq!(queue.take_due(seconds(3), &mut ledger).len(), 1);
}

/// Guards against the quarantine of requests that only share engines with one that ends them, and
/// against many ended engines.
///
/// On 21 engines, 126 requests run at a time, about 9 on each engine in use. One request that ends
/// its engine after 0.15 s is submitted every 0.4 s, 30 times. All requests that were on an ended
/// engine are placed again at the same moment. If suspect requests are isolated, no other request
/// is quarantined. Otherwise, those that share an engine with the crashing request three times are,
/// since they cannot be told from it.
#[test]
fn requests_on_shared_engines_are_not_quarantined() {
    let mut isolated = SeriesOutcome::default();
    let mut together = SeriesOutcome::default();
    for seed in 0..100 {
        isolated.add(simulate_series(&SeriesPlan {
            seed,
            isolated: true,
        }));
        together.add(simulate_series(&SeriesPlan {
            seed,
            isolated: false,
        }));
    }
    assert_eq!(isolated.others_quarantined, 0, "{isolated:?} {together:?}");
    assert!(isolated.max_ends <= 6, "{isolated:?}");
    assert!(together.others_quarantined > 0, "{together:?}");
}
