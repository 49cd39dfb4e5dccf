//! The stand-in engine's scheduler, step by step in model time.

use std::time::Duration;

use proptest::prelude::*;

use lovagedock_standin::engine::{
    BatchEngine, EngineJournal, EngineOptions, JournalEvent, PREFIX_CHUNK_TOKENS, SequenceKind,
    SequenceRequest, StepOutput, SubmitError, prefill_time, prefix_hashes,
};

const MEMORY_TOKENS: u64 = 10_000;

struct Bench {
    batch: BatchEngine,
    journal: EngineJournal,
}

fn options() -> EngineOptions {
    EngineOptions {
        memory_tokens: MEMORY_TOKENS,
        ..EngineOptions::default()
    }
}

fn bench() -> Bench {
    let journal = EngineJournal::default();
    Bench {
        batch: BatchEngine::new(options(), journal.clone()),
        journal,
    }
}

fn request(id: &str, priority: i32, prompt_tokens: u64, max_tokens: u64) -> SequenceRequest {
    SequenceRequest {
        request_id: id.into(),
        kind: SequenceKind::Answer,
        priority,
        start: 0,
        prompt_tokens,
        resume_offset: 0,
        max_tokens,
        prefix_hashes: Vec::new(),
        imported: false,
    }
}

/// Steps until nothing is left to do; the order in which requests got their first token.
fn first_tokens(batch: &mut BatchEngine) -> Vec<String> {
    let mut order: Vec<String> = Vec::new();
    while let Some(outputs) = batch.step(1.0) {
        for output in outputs {
            let id = output.request_id.to_string();
            if !order.contains(&id) {
                order.push(id);
            }
        }
    }
    order
}

fn holding(batch: &BatchEngine, id: &str) -> u64 {
    batch
        .allocations()
        .iter()
        .filter(|holding| &*holding.request_id == id)
        .map(|holding| holding.blocks)
        .sum()
}

#[test]
fn a_step_costs_its_base_its_prefill_and_its_decodes() {
    let options = options();
    let mut batch = bench().batch;
    batch.submit(request("a", 0, 2_048, 3)).unwrap();
    let outputs = batch.step(1.0).unwrap();
    let expected = StepOutput {
        number: 1,
        request_id: "a".into(),
        produced: 1,
        cached_tokens: 0,
        finished: false,
    };
    assert_eq!(outputs, [expected]);
    let prefill = options.step_base + prefill_time(&options, 0, 2_048);
    assert_eq!(batch.now(), prefill);

    batch.step(1.0).unwrap();
    assert_eq!(
        batch.now(),
        prefill + options.step_base + options.decode_cost
    );

    let before = batch.now();
    assert!(batch.step(3.0).unwrap()[0].finished);
    let slow_step = (options.step_base + options.decode_cost) * 3;
    assert_eq!(batch.now() - before, slow_step);
    assert!(batch.step(1.0).is_none());
}

#[test]
fn a_prompt_token_costs_more_the_later_it_stands() {
    let options = options();
    let early = prefill_time(&options, 0, 1_000);
    let late = prefill_time(&options, options.cost_doubling_position, 1_000);
    let difference = late - early;
    let flat = options.prefill_cost * 1_000;
    assert!(difference.abs_diff(flat) < Duration::from_micros(1));
}

#[test]
fn prefill_chunks_go_to_the_higher_priority_first() {
    struct Case {
        name: &'static str,
        priorities: [i32; 2],
        order: [&'static str; 2],
    }
    let cases = [
        Case {
            name: "the later one is more urgent and overtakes",
            priorities: [0, 2],
            order: ["second", "first"],
        },
        Case {
            name: "of equal ones the earlier goes first",
            priorities: [1, 1],
            order: ["first", "second"],
        },
    ];
    for case in cases {
        let mut batch = bench().batch;
        batch
            .submit(request("first", case.priorities[0], 5_000, 1))
            .unwrap();
        batch.step(1.0).unwrap();
        batch
            .submit(request("second", case.priorities[1], 4_000, 1))
            .unwrap();
        assert_eq!(first_tokens(&mut batch), case.order, "{}", case.name);
    }
}

#[test]
fn a_request_waits_for_memory_and_holds_it_until_it_ends() {
    let Bench { mut batch, journal } = bench();
    batch.submit(request("a", 0, 8_000, 16)).unwrap();
    batch.submit(request("b", 0, 4_000, 1)).unwrap();
    batch.step(1.0).unwrap();
    assert_eq!(holding(&batch, "a"), 8_016 / 16);
    assert_eq!(holding(&batch, "b"), 0);
    assert_eq!(batch.waiting(), 1);

    assert_eq!(first_tokens(&mut batch), ["a", "b"]);
    assert_eq!(batch.memory().allocated(), 0);
    let ended = journal
        .entries()
        .iter()
        .rposition(|entry| entry.event == JournalEvent::Ended && entry.request_id == "a");
    let started = journal
        .entries()
        .iter()
        .position(|entry| entry.event == JournalEvent::Started && entry.request_id == "b");
    assert!(
        ended.unwrap() < started.unwrap(),
        "b starts only after a ended"
    );
}

#[test]
fn what_never_fits_or_is_there_already_is_refused() {
    let mut batch = bench().batch;
    let too_large = request("a", 0, MEMORY_TOKENS, 1);
    assert_eq!(batch.submit(too_large), Err(SubmitError::TooLarge));
    batch.submit(request("b", 0, 10, 1)).unwrap();
    let twice = batch.submit(request("b", 0, 10, 1));
    assert_eq!(twice, Err(SubmitError::Duplicate));
}

#[test]
fn only_what_ran_is_in_the_journal() {
    let Bench { mut batch, journal } = bench();
    batch.submit(request("ran", 0, 8_000, 100)).unwrap();
    batch.submit(request("waited", 0, 8_000, 100)).unwrap();
    batch.step(1.0).unwrap();
    assert!(batch.cancel("waited"));
    assert!(batch.cancel("ran"));
    assert!(!batch.cancel("ran"));
    assert_eq!(batch.memory().allocated(), 0);
    let events: Vec<_> = journal
        .entries()
        .into_iter()
        .map(|entry| (entry.request_id, entry.event))
        .collect();
    let expected = [
        ("ran".to_owned(), JournalEvent::Started),
        ("ran".to_owned(), JournalEvent::Cancelled),
    ];
    assert_eq!(events, expected);
}

#[test]
fn the_cache_spares_a_known_prefix_while_memory_is_left() {
    let pieces = 3;
    let prompt = "p".repeat((pieces * PREFIX_CHUNK_TOKENS * 4) as usize);
    let hashes = prefix_hashes(&prompt);
    assert_eq!(hashes.len() as u64, pieces);
    let tokens = pieces * PREFIX_CHUNK_TOKENS;
    let with_hashes = |id| SequenceRequest {
        prefix_hashes: hashes.clone(),
        ..request(id, 0, tokens, 1)
    };
    let cached = |batch: &mut BatchEngine, id: &'static str| {
        batch.submit(with_hashes(id)).unwrap();
        let mut cached = None;
        while let Some(outputs) = batch.step(1.0) {
            cached = outputs.first().map(|output| output.cached_tokens);
        }
        cached.unwrap()
    };

    let mut batch = bench().batch;
    assert_eq!(cached(&mut batch, "cold"), 0);
    // The last token is always computed.
    assert_eq!(cached(&mut batch, "warm"), tokens - 1);

    // A request that needs the memory drives the cache out, the last piece first.
    let kept = PREFIX_CHUNK_TOKENS;
    batch
        .submit(request("large", 0, MEMORY_TOKENS - kept - 16, 1))
        .unwrap();
    while batch.step(1.0).is_some() {}
    assert_eq!(batch.memory().cached_hashes(), [hashes[0]]);
    assert_eq!(cached(&mut batch, "cooled"), kept);
}

#[derive(Clone, Debug)]
enum ScheduleStep {
    Submit {
        id: u8,
        /// Requests of one family share their prefix.
        family: u64,
        priority: i32,
        prompt: u64,
        answer: u64,
    },
    Cancel {
        id: u8,
    },
    Pause {
        id: u8,
    },
    Unpause {
        id: u8,
    },
    Step,
}

fn schedule_step() -> impl Strategy<Value = ScheduleStep> {
    prop_oneof![
        (0..6u8, 0..3u64, 0..3i32, 1..9_000u64, 1..20u64).prop_map(
            |(id, family, priority, prompt, answer)| ScheduleStep::Submit {
                id,
                family,
                priority,
                prompt,
                answer,
            }
        ),
        (0..6u8).prop_map(|id| ScheduleStep::Cancel { id }),
        (0..6u8).prop_map(|id| ScheduleStep::Pause { id }),
        (0..6u8).prop_map(|id| ScheduleStep::Unpause { id }),
        Just(ScheduleStep::Step),
        Just(ScheduleStep::Step),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// However requests come, pause and go, the memory's count is that of its holders, is never
    /// above the total, and is zero when all have gone.
    #[test]
    fn blocks_are_held_by_requests_or_free(steps in prop::collection::vec(schedule_step(), 1..60)) {
        let mut batch = bench().batch;
        for step in steps {
            match step {
                ScheduleStep::Submit { id, family, priority, prompt, answer } => {
                    let pieces = prompt / PREFIX_CHUNK_TOKENS;
                    let _ = batch.submit(SequenceRequest {
                        prefix_hashes: (0..pieces).map(|piece| family * 100 + piece).collect(),
                        ..request(&id.to_string(), priority, prompt, answer)
                    });
                }
                ScheduleStep::Cancel { id } => {
                    batch.cancel(&id.to_string());
                }
                ScheduleStep::Pause { id } => {
                    let _ = batch.pause(&id.to_string());
                }
                ScheduleStep::Unpause { id } => batch.resume(&id.to_string()),
                ScheduleStep::Step => {
                    batch.step(1.0);
                }
            }
            let allocated: u64 = batch.allocations().iter().map(|holding| holding.blocks).sum();
            prop_assert_eq!(allocated, batch.memory().allocated());
            prop_assert!(allocated + batch.memory().cached() <= batch.memory().total());
        }
        for id in 0..6u8 {
            batch.cancel(&id.to_string());
        }
        prop_assert_eq!(batch.memory().allocated(), 0);
    }
}
