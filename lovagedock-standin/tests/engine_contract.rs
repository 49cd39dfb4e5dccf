//! Contract of the engine adapters: the same cases for every vendor with its stand-in.

mod support;

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;

use lovagedock::prelude::{RanState, format_request_id};
use lovagedock_sidecar::adapter::{
    AdapterOptions, CacheChange, EngineError, EngineHolding, EngineOrder, EngineRequest, OrderKind,
    adapter_names, build_adapter,
};
use lovagedock_standin::engine::{
    ChatMessage, EngineFault, EngineOptions, JournalEvent, PREFIX_PIECE_TOKENS, chat_prompt,
    expected_answer, prefix_hashes,
};
use support::{
    ID, MODEL, PROMPT, VENDORS, answer, bench, bench_with, endless_request, first_bytes,
    read_answer, request, streamed_text, until,
};

const ANSWER_TOKENS: u64 = 12;
/// Keeps a request of two thousand tokens running for the length of any test.
const SLOW: EngineFault = EngineFault::Slow { factor: 100.0 };
/// Longer than any test lasts, even in model time.
const FOREVER: Duration = Duration::from_secs(1_000_000);

#[test]
fn adapters_register_themselves() {
    assert_eq!(
        adapter_names(),
        ["json-report", "plain", "prometheus-report"]
    );
    let address = ([127, 0, 0, 1], 1).into();
    let error = build_adapter("nobody", &AdapterOptions::new(address)).err();
    assert!(error.unwrap().to_string().contains("prometheus-report"));
}

#[tokio::test]
async fn a_streamed_answer_is_whole() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let request = request(PROMPT, ANSWER_TOKENS, true);
        let answer = answer(&*bench.adapter, request).await.unwrap();
        assert_eq!(answer.status, 200, "{}", vendor.adapter);
        assert!(answer.body.ends_with("data: [DONE]\n\n"));
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(PROMPT, ANSWER_TOKENS)
        );
        assert_eq!(answer.end.answer_tokens, ANSWER_TOKENS);
        assert_eq!(answer.end.prompt_tokens, PROMPT.len() as u64 / 4);
        assert!(answer.end.first_token_after > Duration::ZERO);
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Ended), 1);
        assert!(bench.adapter.account().await.unwrap().is_empty());
    }
}

/// With an interval the first token still comes alone and the text is the same.
#[tokio::test]
async fn events_can_carry_several_tokens() {
    for vendor in &VENDORS {
        let options = EngineOptions {
            stream_interval: 5,
            ..EngineOptions::default()
        };
        let bench = bench_with(vendor, options).await;
        let request = request(PROMPT, ANSWER_TOKENS, true);
        let answer = answer(&*bench.adapter, request).await.unwrap();
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(PROMPT, ANSWER_TOKENS)
        );
        // One token, two times five, the last one, and the end mark.
        assert_eq!(answer.body.matches("data: ").count(), 5);
    }
}

#[tokio::test]
async fn a_whole_answer_is_whole() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let request = request(PROMPT, ANSWER_TOKENS, false);
        let answer = answer(&*bench.adapter, request).await.unwrap();
        let document: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
        assert_eq!(
            document["choices"][0]["text"].as_str().unwrap(),
            expected_answer(PROMPT, ANSWER_TOKENS),
            "{}",
            vendor.adapter
        );
        assert_eq!(answer.end.answer_tokens, ANSWER_TOKENS);
    }
}

#[tokio::test]
async fn a_chat_is_answered_by_its_messages() {
    let body = json!({
        "model": MODEL, "stream": true, "max_completion_tokens": ANSWER_TOKENS,
        "messages": [{"role": "user", "content": PROMPT}],
    });
    let prompt = chat_prompt(&[ChatMessage {
        role: "user".to_owned(),
        content: PROMPT.to_owned(),
    }]);
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let request = EngineRequest {
            path: "/v1/chat/completions".to_owned(),
            body: Bytes::from(body.to_string()),
            ..request("", 1, true)
        };
        let answer = answer(&*bench.adapter, request).await.unwrap();
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(&prompt, ANSWER_TOKENS)
        );
    }
}

#[tokio::test]
async fn what_the_engine_rejects_did_not_run() {
    struct Case {
        name: &'static str,
        body: String,
        status: u16,
    }
    let cases = [
        Case {
            name: "unknown model",
            body: json!({"model": "another", "prompt": PROMPT}).to_string(),
            status: 404,
        },
        Case {
            name: "larger than the memory",
            body: json!({"model": MODEL, "prompt": PROMPT, "max_tokens": 400_000}).to_string(),
            status: 413,
        },
        Case {
            name: "not JSON, found before anything is sent",
            body: "{".to_owned(),
            status: 400,
        },
        Case {
            name: "a field of the wrong type",
            body: json!({"model": MODEL, "prompt": 7}).to_string(),
            status: 400,
        },
    ];
    for vendor in &VENDORS {
        for case in &cases {
            let bench = bench(vendor).await;
            let wrong = EngineRequest {
                body: Bytes::from(case.body.clone()),
                ..request("", 1, true)
            };
            let error = bench.adapter.start(wrong).await.err().unwrap();
            let EngineError::Refused { status, .. } = &error else {
                panic!("{}: {error}", case.name);
            };
            assert_eq!(*status, case.status, "{}", case.name);
            assert_eq!(error.ran(), RanState::No);
            assert!(bench.engine.journal.entries().is_empty());
        }
    }
}

/// A caller puts the sidecar's own fields into its body to raise its priority or to take over
/// another's request. The sidecar's values go to the engine in their place.
#[tokio::test]
async fn the_caller_cannot_set_the_sidecars_fields() {
    let body = json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": ANSWER_TOKENS, "stream": true,
        "request_id": format_request_id(1), "resume_offset": 5, "priority": 99,
    });
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let request = EngineRequest {
            body: Bytes::from(body.to_string()),
            ..request("", 1, true)
        };
        let answer = answer(&*bench.adapter, request).await.unwrap();
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(PROMPT, ANSWER_TOKENS)
        );
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Started), 1);
    }
}

/// A caller goes away: its stream is dropped, yet the engine goes on and holds its blocks. They
/// are in the engine's account until the sidecar cancels the request; then all are free.
#[tokio::test]
async fn only_cancel_frees_the_blocks_of_a_request() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut stream = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut stream).await;
        drop(stream);
        let holding = EngineHolding {
            request_id: ID,
            tokens: 300_016,
        };
        assert_eq!(bench.adapter.account().await.unwrap(), [holding]);

        bench.adapter.cancel(ID).await.unwrap();
        assert!(bench.adapter.account().await.unwrap().is_empty());
        assert_eq!(bench.engine.handle.held_blocks(), 0);
        bench.adapter.cancel(ID).await.unwrap();
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Cancelled), 1);
    }
}

#[tokio::test]
async fn a_cancelled_stream_ends_as_failed() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut stream = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut stream).await;
        bench.adapter.cancel(ID).await.unwrap();
        let error = read_answer(stream).await.unwrap_err();
        assert_eq!(error.ran(), RanState::Yes, "{error}");
    }
}

/// The connection to the engine breaks after some tokens. A second start with the number of
/// tokens that arrived attaches to the running request; both parts make the whole answer, and
/// the engine ran it once.
#[tokio::test]
async fn a_cut_stream_resumes_at_its_offset() {
    let tokens = 2_000;
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        bench.engine.handle.set_fault(SLOW);
        let request = request(PROMPT, tokens, true);
        let mut stream = bench.adapter.start(request.clone()).await.unwrap();
        let before = streamed_text(&first_bytes(&mut stream).await);
        drop(stream);
        bench.engine.handle.set_fault(EngineFault::None);
        let rest = EngineRequest {
            resume_offset: before.len() as u64 / 4,
            ..request
        };
        let after = answer(&*bench.adapter, rest).await.unwrap();
        assert_eq!(
            before + &streamed_text(&after.body),
            expected_answer(PROMPT, tokens)
        );
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Started), 1);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Resumed), 0);
    }
}

#[tokio::test]
async fn the_reported_load_lags() {
    for vendor in &VENDORS {
        let lagging = EngineOptions {
            load_lag: FOREVER,
            ..EngineOptions::default()
        };
        let current = EngineOptions {
            load_lag: Duration::ZERO,
            ..EngineOptions::default()
        };
        let lagging = bench_with(vendor, lagging).await;
        let current = bench_with(vendor, current).await;
        let idle = lagging.adapter.load().await.unwrap();
        assert_eq!((idle.running, idle.free_tokens), (0, 400_000));
        assert_eq!((idle.model.as_str(), idle.role.as_str()), (MODEL, "any"));

        let mut streams = Vec::new();
        for bench in [&lagging, &current] {
            let mut stream = bench.adapter.start(endless_request()).await.unwrap();
            first_bytes(&mut stream).await;
            streams.push(stream);
        }
        until(async || current.adapter.load().await.unwrap().running == 1).await;
        let busy = current.adapter.load().await.unwrap();
        assert_eq!(busy.free_tokens, 400_000 - 300_016);
        assert_eq!(lagging.adapter.load().await.unwrap(), idle);
    }
}

/// Cache events come late and some never. The adapter tells of the gap, and a snapshot holds
/// what the missing events would have told.
#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let pieces = 8;
    let prompt = "p".repeat((pieces * PREFIX_PIECE_TOKENS * 4) as usize);
    for vendor in &VENDORS {
        let gappy = EngineOptions {
            cache_event_delay: Duration::ZERO,
            cache_event_gap: 3,
            ..EngineOptions::default()
        };
        let late = EngineOptions {
            cache_event_delay: FOREVER,
            ..EngineOptions::default()
        };
        let gappy = bench_with(vendor, gappy).await;
        let late = bench_with(vendor, late).await;
        for bench in [&gappy, &late] {
            answer(&*bench.adapter, request(&prompt, 1, true))
                .await
                .unwrap();
        }
        until(async || gappy.adapter.cache_events(7).await.unwrap().events.len() == 1).await;

        let report = gappy.adapter.cache_events(0).await.unwrap();
        let sequences: Vec<_> = report.events.iter().map(|event| event.sequence).collect();
        assert_eq!(sequences, [1, 2, 4, 5, 7, 8]);
        assert!(report.has_gap);
        let stored = CacheChange::Stored(prefix_hashes(&prompt)[0]);
        assert_eq!(report.events[0].change, stored);
        assert!(!gappy.adapter.cache_events(7).await.unwrap().has_gap);

        let mut hashes = prefix_hashes(&prompt);
        hashes.sort_unstable();
        let snapshot = gappy.adapter.cache_snapshot().await.unwrap();
        assert_eq!((snapshot.sequence, snapshot.hashes), (pieces, hashes));

        let report = late.adapter.cache_events(0).await.unwrap();
        assert!(report.events.is_empty() && !report.has_gap);
        // An engine that began anew is behind the number that was seen before.
        assert!(late.adapter.cache_events(7).await.unwrap().has_gap);
    }
}

#[tokio::test]
async fn a_known_prefix_is_reported_as_cached() {
    let prompt = "p".repeat((2 * PREFIX_PIECE_TOKENS * 4) as usize);
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut cached = Vec::new();
        for tail in ["first tail", "second tail"] {
            let request = request(&format!("{prompt}{tail}"), ANSWER_TOKENS, true);
            let answer = answer(&*bench.adapter, request).await.unwrap();
            cached.push(answer.end.cached_tokens);
        }
        assert_eq!(cached, [0, 2 * PREFIX_PIECE_TOKENS]);
    }
}

/// A former lease holder gives an order with its old fencing number. An engine that checks
/// refuses it; one that does not carries it out, which is why the sidecar has to check.
#[tokio::test]
async fn orders_with_an_old_fencing_number() {
    struct Case {
        checks_fences: bool,
        status: Option<u16>,
        role: &'static str,
    }
    let cases = [
        Case {
            checks_fences: true,
            status: Some(409),
            role: "long",
        },
        Case {
            checks_fences: false,
            status: None,
            role: "short",
        },
    ];
    let role_order = |fence, role: &str| EngineOrder {
        fence,
        kind: OrderKind::SetRole {
            role: role.to_owned(),
        },
    };
    for vendor in &VENDORS {
        for case in &cases {
            let options = EngineOptions {
                checks_fences: case.checks_fences,
                load_lag: Duration::ZERO,
                ..EngineOptions::default()
            };
            let bench = bench_with(vendor, options).await;
            let adapter = &bench.adapter;
            adapter.order(role_order(5, "long")).await.unwrap();
            let status = match adapter.order(role_order(4, "short")).await {
                Err(EngineError::Refused { status, .. }) => Some(status),
                _ => None,
            };
            assert_eq!(status, case.status);
            until(async || adapter.load().await.unwrap().role == case.role).await;
        }
    }
}

#[tokio::test]
async fn loading_shows_in_the_load() {
    for vendor in &VENDORS {
        let options = EngineOptions {
            load_lag: Duration::ZERO,
            ..EngineOptions::default()
        };
        let bench = bench_with(vendor, options).await;
        let kinds = [
            OrderKind::LoadAdapter {
                adapter: "kerala".to_owned(),
                version: "2".to_owned(),
            },
            OrderKind::LoadModel {
                model: "profile-drafter".to_owned(),
                version: "7".to_owned(),
            },
        ];
        for kind in kinds {
            bench
                .adapter
                .order(EngineOrder { fence: 1, kind })
                .await
                .unwrap();
        }
        until(async || bench.adapter.load().await.unwrap().model == "profile-drafter").await;
        assert_eq!(bench.adapter.load().await.unwrap().adapters, ["kerala"]);
        let orders = bench.engine.journal.orders();
        let kinds: Vec<_> = orders.iter().map(|order| order.kind.as_str()).collect();
        assert_eq!(
            kinds,
            ["load_adapter kerala 2", "load_model profile-drafter 7"]
        );
        let refused = bench.adapter.start(endless_request()).await.err().unwrap();
        assert_eq!(refused.ran(), RanState::No);
    }
}

/// A request moves while it is decoded: its state is exported, imported elsewhere and freed at
/// the source; the caller's stream goes on at the other engine without a missing byte.
#[tokio::test]
async fn a_request_moves_to_another_engine() {
    let tokens = 2_000;
    for vendor in &VENDORS {
        let source = bench(vendor).await;
        source.engine.handle.set_fault(SLOW);
        let target = bench(vendor).await;
        let request = request(PROMPT, tokens, true);
        let mut stream = source.adapter.start(request.clone()).await.unwrap();
        let before = streamed_text(&first_bytes(&mut stream).await);
        let state = source.adapter.export(ID).await.unwrap();
        target.adapter.import(state).await.unwrap();
        source.adapter.cancel(ID).await.unwrap();
        drop(stream);

        let rest = EngineRequest {
            resume_offset: before.len() as u64 / 4,
            ..request
        };
        let after = answer(&*target.adapter, rest).await.unwrap();
        assert_eq!(
            before + &streamed_text(&after.body),
            expected_answer(PROMPT, tokens)
        );
        let id = format_request_id(ID);
        assert_eq!(target.engine.journal.count(&id, JournalEvent::Started), 0);
        assert_eq!(target.engine.journal.count(&id, JournalEvent::Resumed), 1);
        assert_eq!(source.engine.handle.held_blocks(), 0);
        assert_eq!(target.engine.handle.held_blocks(), 0);
    }
}

/// A request is cancelled and sent again under its id while a step is under way: what the step
/// did for the former one is not told to the new one, which runs from its start.
#[tokio::test]
async fn a_request_that_is_sent_again_starts_anew() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        bench.engine.handle.set_fault(SLOW);
        let mut first = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut first).await;
        bench.adapter.cancel(ID).await.unwrap();
        let again = request(PROMPT, 2_000, true);
        let mut again = bench.adapter.start(again).await.unwrap();
        bench.engine.handle.set_fault(EngineFault::None);
        let text = streamed_text(&first_bytes(&mut again).await);
        assert_eq!(text, expected_answer(PROMPT, 1), "{}", vendor.adapter);
        let rest = read_answer(again).await.unwrap();
        assert_eq!(
            text + &streamed_text(&rest.body),
            expected_answer(PROMPT, 2_000)
        );
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Started), 2);
    }
}

#[tokio::test]
async fn only_a_decoding_request_can_be_exported() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let error = bench.adapter.export(ID).await.unwrap_err();
        assert!(matches!(error, EngineError::Refused { status: 404, .. }));
        let mut stream = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut stream).await;
        let state = bench.adapter.export(ID).await.unwrap();
        let twice = bench.adapter.import(state).await.unwrap_err();
        assert!(matches!(twice, EngineError::Refused { status: 409, .. }));
    }
}
