//! Contract of the engine adapters for requests: the same cases for every vendor with its stand-in.

mod support;

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;

use lovagedock::prelude::{RanState, format_request_id};
use lovagedock_sidecar::adapter::{
    AdapterOptions, EngineAllocation, EngineError, EngineRequest, adapter_names, build_adapter,
};
use lovagedock_standin::engine::{
    ChatMessage, EngineFault, EngineOptions, JournalEvent, chat_prompt, expected_answer,
};
use support::{
    ID, MODEL, PROMPT, VENDORS, answer, bench, bench_with, endless_request, first_bytes,
    read_answer, request, streamed_text,
};

const ANSWER_TOKENS: u64 = 12;
/// Keeps a request of two thousand tokens running for the length of any test.
const SLOW: EngineFault = EngineFault::Slow { factor: 100.0 };

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
        assert!(bench.adapter.allocations().await.unwrap().is_empty());
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
        let holding = EngineAllocation {
            request_id: ID,
            tokens: 300_016,
        };
        assert_eq!(bench.adapter.allocations().await.unwrap(), [holding]);

        bench.adapter.cancel(ID).await.unwrap();
        assert!(bench.adapter.allocations().await.unwrap().is_empty());
        assert_eq!(bench.engine.handle.allocated_blocks(), 0);
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
        assert_eq!(source.engine.handle.allocated_blocks(), 0);
        assert_eq!(target.engine.handle.allocated_blocks(), 0);
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
