//! Contract of the engine adapters: the same cases against every adapter with its stand-in.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use serde_json::json;

use lovagedock::prelude::{RanState, RequestId, format_request_id};
use lovagedock_sidecar::adapter::{
    AdapterOptions, EngineAdapter, EngineEnd, EngineError, EngineEvent, EngineRequest,
    adapter_names, build_adapter,
};
use lovagedock_standin::engine::{
    EngineOptions, EngineStandin, JournalEvent, ReportStyle, RunningEngine, expected_answer,
};

const MODEL: &str = "register-reader";
const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
const ANSWER_TOKENS: u64 = 12;
const ID: RequestId = 0x5a;

/// One vendor: the adapter's name and how its stand-in reports.
struct VendorCase {
    adapter: &'static str,
    style: ReportStyle,
}

const VENDORS: [VendorCase; 2] = [
    VendorCase {
        adapter: "json-report",
        style: ReportStyle::JsonReport,
    },
    VendorCase {
        adapter: "prometheus-report",
        style: ReportStyle::PrometheusReport,
    },
];

struct Bench {
    engine: RunningEngine,
    adapter: Arc<dyn EngineAdapter>,
}

async fn bench(vendor: &VendorCase) -> Bench {
    let options = EngineOptions {
        report_style: vendor.style,
        time_scale: 200.0,
        ..EngineOptions::default()
    };
    bench_with(vendor, options).await
}

async fn bench_with(vendor: &VendorCase, options: EngineOptions) -> Bench {
    let engine = EngineStandin::start(options).await.unwrap();
    let options = AdapterOptions::new(engine.address);
    let adapter = build_adapter(vendor.adapter, &options).unwrap();
    Bench { engine, adapter }
}

fn request(prompt: &str, stream: bool) -> EngineRequest {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": stream,
    });
    EngineRequest {
        request_id: ID,
        priority: 1,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(body.to_string()),
        resume_offset: 0,
        segments: Vec::new(),
    }
}

struct Answer {
    status: u16,
    body: String,
    end: EngineEnd,
}

async fn collect(
    adapter: &dyn EngineAdapter,
    request: EngineRequest,
) -> Result<Answer, EngineError> {
    let mut stream = adapter.start(request).await?;
    let mut status = 0;
    let mut body = Vec::new();
    while let Some(event) = stream.next().await {
        match event? {
            EngineEvent::Head(head) => status = head.status,
            EngineEvent::Bytes(bytes) => body.extend_from_slice(&bytes),
            EngineEvent::End(end) => {
                assert!(stream.next().await.is_none(), "nothing follows the end");
                let body = String::from_utf8(body).unwrap();
                return Ok(Answer { status, body, end });
            }
        }
    }
    panic!("the stream ended cleanly without an end");
}

/// The answer text of a streamed body, as an OpenAI-style client puts it together.
fn streamed_text(body: &str) -> String {
    assert!(body.ends_with("data: [DONE]\n\n"));
    body.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| {
            let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
            chunk["choices"][0]["text"].as_str().unwrap().to_owned()
        })
        .collect()
}

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
        let answer = collect(&*bench.adapter, request(PROMPT, true))
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", vendor.adapter);
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

#[tokio::test]
async fn a_whole_answer_is_whole() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let answer = collect(&*bench.adapter, request(PROMPT, false))
            .await
            .unwrap();
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
async fn what_the_engine_rejects_did_not_run() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut wrong = request(PROMPT, true);
        wrong.body = Bytes::from_static(b"{\"model\":\"another\",\"prompt\":\"x\"}");
        let error = bench.adapter.start(wrong).await.err().unwrap();
        assert!(
            matches!(error, EngineError::Refused { status: 404, .. }),
            "{error}"
        );
        assert_eq!(error.ran(), RanState::No);
        assert!(bench.engine.journal.entries().is_empty());
    }
}
