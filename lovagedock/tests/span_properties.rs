//! A span reserves all its engines or none, and releases all of them after any failure.

mod span_model;

use std::time::Duration;

use lovagedock::{SpanCoordinator, SpanEvent, SpanPlan, prelude::*};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use span_model::{ENGINES, Engines, Fault, HOLD, PROMPT, REMAINING, STEP_MS};

fn run_schedule(faults: &[(u64, usize, Fault)], seed: u64) -> Result<(), TestCaseError> {
    let mut engines = Engines::new();
    let plan = SpanPlan::new(1, 1, PROMPT, REMAINING);
    let mut span = SpanCoordinator::new(Duration::ZERO, plan, seed);
    let first = span.start(Duration::ZERO, engines.parts());
    engines.carry_out(first);
    let mut faults = faults.iter().peekable();
    for step in 0..(REMAINING.as_millis() as u64 / STEP_MS) {
        engines.now = Duration::from_millis(step * STEP_MS);
        engines.expire_reservations();
        let mut events = Vec::new();
        // One answer per step, so that faults can occur between the segments.
        if !engines.answers.is_empty() {
            events.push(engines.answers.remove(0));
        }
        if engines.wake_at.is_some_and(|at| at <= engines.now) {
            engines.wake_at = None;
            events.push(SpanEvent::Tick);
        }
        if let Some((_, at, fault)) = faults.next_if(|(at_step, _, _)| *at_step <= step) {
            events.extend(engines.inject_fault(*at, *fault));
        }
        // The answer is complete, and the engines are no longer needed.
        if step == 800 {
            events.push(SpanEvent::Released);
        }
        for event in events {
            let finished = span.is_finished();
            let actions = span.handle(engines.now, event);
            prop_assert!(!finished || actions.is_empty(), "actions after the end");
            engines.carry_out(actions);
        }
    }
    prop_assert!(span.is_finished(), "the span never ended");
    prop_assert!(
        engines.held_until.is_empty(),
        "memory is still reserved: {:?}",
        engines.held_until
    );
    prop_assert!(engines.decoded <= 1 && engines.failed.len() <= 1);
    if let Some(end) = engines.failed.first() {
        let computed = engines.prefilled > 0;
        prop_assert!(
            !computed || end.ran != RanState::No,
            "reported as not run after a prefill"
        );
    }
    Ok(())
}

// At any step of reserving, prefill and decode, engines are busy, restart, fail or are unreachable,
// and the caller may disconnect. The span ends in time, never uses memory that it does not hold,
// and holds no memory afterwards: reservations that cannot be released expire.
#[test]
fn every_reservation_of_a_span_is_released() {
    let fault = prop_oneof![
        3 => Just(Fault::Busy),
        3 => Just(Fault::Silent),
        3 => Just(Fault::Reconnected),
        1 => Just(Fault::Restart),
        1 => Just(Fault::SegmentFails),
        1 => Just(Fault::Released),
    ];
    let faults =
        prop::collection::vec((0..120u64, 0..ENGINES, fault), 0..8).prop_map(|mut faults| {
            faults.sort_by_key(|(at, _, _)| *at);
            faults
        });
    let config = ProptestConfig {
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let outcome = TestRunner::new_with_rng(config, rng)
        .run(&(faults, any::<u64>()), |(faults, seed)| {
            run_schedule(&faults, seed)
        });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

struct EndCase {
    name: &'static str,
    faults: &'static [(u64, usize, Fault)],
    decoded: u32,
    failed: Option<(ResultCode, RanState)>,
}

// Single failures and the resulting end of the span.
#[test]
fn each_failure_ends_as_expected() {
    let cases = [
        EndCase {
            name: "nothing fails",
            faults: &[],
            decoded: 1,
            failed: None,
        },
        EndCase {
            name: "an engine is busy at first",
            faults: &[(0, 1, Fault::Busy)],
            decoded: 1,
            failed: None,
        },
        EndCase {
            name: "a silent connection is replaced in time",
            faults: &[(5, 1, Fault::Silent), (40, 1, Fault::Reconnected)],
            decoded: 1,
            failed: None,
        },
        EndCase {
            name: "a member stays disconnected during the prefill",
            faults: &[(5, 1, Fault::Silent)],
            decoded: 0,
            failed: Some((ResultCode::EndpointLost, RanState::Yes)),
        },
        EndCase {
            name: "the lead is silent during the decode: its request is resumed, the span stays",
            faults: &[(60, 0, Fault::Silent), (150, 0, Fault::Reconnected)],
            decoded: 1,
            failed: None,
        },
        EndCase {
            name: "a member restarts during the decode",
            faults: &[(60, 1, Fault::Restart)],
            decoded: 1,
            failed: Some((ResultCode::EndpointLost, RanState::Yes)),
        },
        EndCase {
            name: "an engine fails its segment",
            faults: &[(4, 0, Fault::SegmentFails)],
            decoded: 0,
            failed: Some((ResultCode::EngineFailed, RanState::Yes)),
        },
    ];
    for case in cases {
        let mut engines = Engines::new();
        let mut span =
            SpanCoordinator::new(Duration::ZERO, SpanPlan::new(1, 1, PROMPT, REMAINING), 3);
        if let Some((0, at, fault)) = case.faults.first() {
            engines.inject_fault(*at, *fault);
        }
        let first = span.start(Duration::ZERO, engines.parts());
        engines.carry_out(first);
        run_case(&case, &mut span, &mut engines);
        let failed = engines.failed.first().map(|end| (end.code, end.ran));
        assert_eq!(
            (engines.decoded, failed),
            (case.decoded, case.failed),
            "{}",
            case.name
        );
    }
}

fn run_case(case: &EndCase, span: &mut SpanCoordinator, engines: &mut Engines) {
    for step in 1..400 {
        engines.now = Duration::from_millis(step * STEP_MS);
        engines.expire_reservations();
        let fault = case.faults.iter().find(|(at, _, _)| *at == step);
        let mut events: Vec<SpanEvent> = fault
            .and_then(|(_, at, fault)| engines.inject_fault(*at, *fault))
            .into_iter()
            .collect();
        if !engines.answers.is_empty() {
            events.push(engines.answers.remove(0));
        }
        events.push(SpanEvent::Tick);
        for event in events {
            let actions = span.handle(engines.now, event);
            engines.carry_out(actions);
        }
    }
}

// No engine has free memory. The span fails as not run after its share of the remaining time and
// holds no memory.
#[test]
fn a_span_without_capacity_fails_within_its_time_limit() {
    let mut engines = Engines::new();
    engines.busy_until = [REMAINING; ENGINES];
    let plan = SpanPlan::new(1, 1, PROMPT, REMAINING);
    let time_limit = plan.reserve_time_limit();
    let mut span = SpanCoordinator::new(Duration::ZERO, plan, 3);
    let first = span.start(Duration::ZERO, engines.parts());
    engines.carry_out(first);
    while !span.is_finished() {
        engines.now += Duration::from_millis(1);
        let event = match engines.answers.is_empty() {
            true => SpanEvent::Tick,
            false => engines.answers.remove(0),
        };
        let actions = span.handle(engines.now, event);
        engines.carry_out(actions);
    }
    assert!(engines.now < time_limit + HOLD);
    assert!(engines.held_until.is_empty());
    let end = &engines.failed[0];
    assert_eq!((end.code, end.ran), (ResultCode::NoCapacity, RanState::No));
}
