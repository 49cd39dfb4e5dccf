//! What the contract suites of the adapters share.
#![allow(dead_code, reason = "each suite uses its own part")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::StreamExt;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

use lovagedock::prelude::RequestId;
use lovagedock_sidecar::adapter::{
    AdapterOptions, EngineAdapter, EngineEnd, EngineError, EngineEvent, EngineRequest,
    EngineStream, build_adapter,
};
use lovagedock_standin::engine::{EngineOptions, EngineStandin, ReportStyle, RunningEngine};

const UNTIL_LIMIT: Duration = Duration::from_secs(60);
const HEAD_END: &[u8] = b"\r\n\r\n";

pub(crate) const MODEL: &str = "register-reader";
pub(crate) const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
pub(crate) const ID: RequestId = 0x5a;

/// One vendor: the adapter's name and how its stand-in reports.
pub(crate) struct VendorCase {
    pub(crate) adapter: &'static str,
    pub(crate) style: ReportStyle,
}

pub(crate) const VENDORS: [VendorCase; 2] = [
    VendorCase {
        adapter: "json-report",
        style: ReportStyle::JsonReport,
    },
    VendorCase {
        adapter: "prometheus-report",
        style: ReportStyle::PrometheusReport,
    },
];

pub(crate) struct Bench {
    pub(crate) engine: RunningEngine,
    pub(crate) adapter: Arc<dyn EngineAdapter>,
}

pub(crate) async fn bench(vendor: &VendorCase) -> Bench {
    bench_with(vendor, EngineOptions::default()).await
}

/// A fast engine with the given options and an adapter to it.
pub(crate) async fn bench_with(vendor: &VendorCase, options: EngineOptions) -> Bench {
    let options = EngineOptions {
        report_style: vendor.style,
        time_scale: 200.0,
        ..options
    };
    let engine = EngineStandin::start(options).await.unwrap();
    let options = AdapterOptions::new(engine.address);
    let adapter = build_adapter(vendor.adapter, &options).unwrap();
    Bench { engine, adapter }
}

/// A completion of `max_tokens`.
pub(crate) fn request(prompt: &str, max_tokens: u64, stream: bool) -> EngineRequest {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
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

/// A streamed completion that does not end within any test.
pub(crate) fn endless_request() -> EngineRequest {
    request(PROMPT, 300_000, true)
}

#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) end: EngineEnd,
}

pub(crate) async fn answer(
    adapter: &dyn EngineAdapter,
    request: EngineRequest,
) -> Result<Answer, EngineError> {
    let stream = adapter.start(request).await?;
    read_answer(stream).await
}

/// Reads a stream to its end; a clean end without an end event fails the test.
pub(crate) async fn read_answer(mut stream: EngineStream) -> Result<Answer, EngineError> {
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

/// Reads up to the first bytes of the body.
pub(crate) async fn first_bytes(stream: &mut EngineStream) -> String {
    loop {
        let event = stream.next().await.unwrap().unwrap();
        if let EngineEvent::Bytes(bytes) = event {
            return String::from_utf8(bytes.to_vec()).unwrap();
        }
    }
}

/// The answer text of a streamed body, as a client puts it together.
pub(crate) fn streamed_text(body: &str) -> String {
    body.split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "))
        .filter(|data| *data != "[DONE]")
        .map(|data| {
            let chunk: serde_json::Value = serde_json::from_str(data).unwrap();
            let choice = &chunk["choices"][0];
            let text = choice["text"].as_str();
            let text = text.or(choice["delta"]["content"].as_str());
            text.unwrap().to_owned()
        })
        .collect()
}

/// Asks again until `done`. The limit only turns a wait without end into a failure; it is far
/// above what a busy machine needs.
pub(crate) async fn until(mut done: impl AsyncFnMut() -> bool) {
    let asking = async {
        while !done().await {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    let result = tokio::time::timeout(UNTIL_LIMIT, asking).await;
    result.expect("what was waited for never came about");
}

/// A server that answers one request, whose body has `body_bytes`, with that request's head.
pub(crate) async fn echo_head(body_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        let mut head_bytes = None;
        while head_bytes.is_none_or(|head| request.len() < head + HEAD_END.len() + body_bytes) {
            stream.read_buf(&mut request).await.unwrap();
            head_bytes = request
                .windows(HEAD_END.len())
                .position(|bytes| bytes == HEAD_END);
        }
        let head = String::from_utf8_lossy(&request[..head_bytes.unwrap()]).into_owned();
        let answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{head}");
        stream.write_all(answer.as_bytes()).await.unwrap();
        stream.shutdown().await.unwrap();
    });
    address
}

/// What the adapter may say of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Verdict {
    Unreachable,
    Lost,
    Failed,
}

pub(crate) fn verdict(error: &EngineError) -> Verdict {
    match error {
        EngineError::Unreachable { .. } => Verdict::Unreachable,
        EngineError::Lost { .. } => Verdict::Lost,
        EngineError::Failed { .. } => Verdict::Failed,
        EngineError::Refused { .. } => panic!("no endpoint refused: {error}"),
    }
}
