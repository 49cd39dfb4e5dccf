//! Figures and names of the report.

use std::time::Duration;

use expect_test::expect;
use lovagedock::{LengthBucket, RanState};
use lovagedock_standin::load::{
    AnswerCheck, CallOutcome, CallRecord, CallerJournal, LoadReport, OutcomeCounts, ReportMetadata,
    ViolationCounts, render_table,
};

const fn milliseconds(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn call(bucket: LengthBucket, intended_ms: u64, first_token_after_ms: u64) -> CallRecord {
    let intended_at = milliseconds(intended_ms);
    CallRecord {
        number: 0,
        request: None,
        organisation: "outlets".into(),
        service: "drafts".into(),
        bucket: Some(bucket),
        key: None,
        non_idempotent: false,
        gateway: String::new(),
        intended_at,
        // Sent late: the first-token time still counts from the plan.
        sent_at: intended_at + milliseconds(first_token_after_ms / 2),
        first_token_at: Some(intended_at + milliseconds(first_token_after_ms)),
        token_gaps: vec![milliseconds(4)],
        ended_at: intended_at + milliseconds(first_token_after_ms + 4),
        deadline: milliseconds(5000),
        outcome: CallOutcome::Complete,
        answer: AnswerCheck::Complete,
        answer_digest: None,
    }
}

fn tags() -> ReportMetadata {
    ReportMetadata {
        seed: 7,
        policy: "length-aware".to_owned(),
        mix: "sample".to_owned(),
        duration: milliseconds(20_000),
        long_start: milliseconds(1000),
        time_scale: 8.0,
    }
}

fn report(calls: Vec<CallRecord>) -> LoadReport {
    let violations = ViolationCounts {
        ran_twice: 2,
        ..ViolationCounts::default()
    };
    LoadReport::new(&tags(), &CallerJournal { calls }, violations, None)
}

#[test]
fn the_report_has_every_name_that_scripts_rely_on() {
    let report = report(vec![call(LengthBucket::K1, 0, 10)]);
    let text = serde_json::to_string_pretty(&report).unwrap();
    expect![[r#"
        {
          "schema": 1,
          "seed": 7,
          "policy": "length-aware",
          "mix": "sample",
          "duration_s": 20.0,
          "time_scale": 8.0,
          "ttft_ms": {
            "1k": {
              "n": 1,
              "p50": 80.063,
              "p95": 80.063,
              "p99": 80.063
            },
            "4k": {
              "n": 0,
              "p50": 0.0,
              "p95": 0.0,
              "p99": 0.0
            },
            "16k": {
              "n": 0,
              "p50": 0.0,
              "p95": 0.0,
              "p99": 0.0
            },
            "64k": {
              "n": 0,
              "p50": 0.0,
              "p95": 0.0,
              "p99": 0.0
            },
            "256k": {
              "n": 0,
              "p50": 0.0,
              "p95": 0.0,
              "p99": 0.0
            },
            "1m": {
              "n": 0,
              "p50": 0.0,
              "p95": 0.0,
              "p99": 0.0
            }
          },
          "itl_ms": {
            "p50": 32.015,
            "p95": 32.015
          },
          "short_slowdown_p95": 0.0,
          "outcomes": {
            "complete": 1,
            "refused_not_run": 0,
            "failed": 0,
            "unknown": 0,
            "timed_out": 0
          },
          "problems": [],
          "violations": {
            "no_outcome_in_time": 0,
            "cut_answers": 0,
            "wrong_answers": 0,
            "ran_after_not_run": 0,
            "ran_twice": 2,
            "differing_redelivery": 0,
            "work_after_leaving": 0,
            "cut_by_shutdown": 0,
            "stale_config": 0,
            "leaked_blocks": 0
          },
          "control": {
            "cpu_pct": 0.0,
            "rss_mb": 0.0,
            "bytes_per_s": 0.0,
            "store_reads_per_s": 0.0,
            "store_writes_per_s": 0.0
          },
          "control_measured": false
        }"#]]
    .assert_eq(&text);
}

// Short prompts take 10 ms in the first part of the run and 30 ms while long ones are sent. Long
// prompts themselves, and middling ones, have no part in the ratio.
#[test]
fn the_slowdown_compares_short_prompts_of_both_parts() {
    let calls = vec![
        call(LengthBucket::K1, 100, 10),
        call(LengthBucket::K4, 900, 10),
        call(LengthBucket::K1, 1000, 30),
        call(LengthBucket::K4, 1500, 30),
        call(LengthBucket::K16, 100, 500),
        call(LengthBucket::M1, 1500, 5000),
    ];
    let slowdown = report(calls).short_slowdown_p95;
    assert!((2.9..=3.1).contains(&slowdown), "{slowdown}");
}

struct OutcomeCase {
    name: &'static str,
    outcome: CallOutcome,
    expected: OutcomeCounts,
}

const NONE: OutcomeCounts = OutcomeCounts {
    complete: 0,
    refused_not_run: 0,
    failed: 0,
    unknown: 0,
    timed_out: 0,
};

fn problem(code: u16, ran: RanState) -> CallOutcome {
    CallOutcome::Problem { code, ran }
}

#[test]
fn every_call_is_in_one_outcome() {
    let unknown = OutcomeCounts { unknown: 1, ..NONE };
    let timed_out = OutcomeCounts {
        timed_out: 1,
        ..NONE
    };
    let refused = OutcomeCounts {
        refused_not_run: 1,
        ..NONE
    };
    let failed = OutcomeCounts { failed: 1, ..NONE };
    let complete = OutcomeCounts {
        complete: 1,
        ..NONE
    };
    let cases = [
        OutcomeCase {
            name: "complete",
            outcome: CallOutcome::Complete,
            expected: complete,
        },
        OutcomeCase {
            name: "no capacity",
            outcome: problem(2001, RanState::No),
            expected: refused,
        },
        OutcomeCase {
            name: "no gateway",
            outcome: CallOutcome::Unsent,
            expected: refused,
        },
        OutcomeCase {
            name: "expired while waiting",
            outcome: problem(2002, RanState::No),
            expected: timed_out,
        },
        OutcomeCase {
            name: "expired while running",
            outcome: problem(2003, RanState::Yes),
            expected: timed_out,
        },
        OutcomeCase {
            name: "engine failed",
            outcome: problem(3001, RanState::Yes),
            expected: failed,
        },
        OutcomeCase {
            name: "sidecar restarted",
            outcome: problem(3006, RanState::Unknown),
            expected: unknown,
        },
        OutcomeCase {
            name: "broken connection",
            outcome: CallOutcome::Broken,
            expected: unknown,
        },
        OutcomeCase {
            name: "nothing",
            outcome: CallOutcome::NoOutcome,
            expected: unknown,
        },
    ];
    for case in cases {
        let mut record = call(LengthBucket::K1, 0, 1);
        record.outcome = case.outcome;
        let counts = OutcomeCounts::new(&CallerJournal {
            calls: vec![record],
        });
        assert_eq!(counts, case.expected, "{}", case.name);
    }
}

#[test]
fn the_table_names_every_length_and_every_counter() {
    let table = render_table(&report(vec![call(LengthBucket::K1, 0, 10)]));
    for length in LengthBucket::ALL {
        assert!(table.contains(length.as_str()), "{table}");
    }
    for (name, _) in ViolationCounts::default().named() {
        assert!(table.contains(name), "{table}");
    }
    assert!(table.contains("violations: 2"), "{table}");
}
