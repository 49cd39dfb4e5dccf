//! Segments: parts of a prompt that does not fit into the memory of one engine.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Request, StatusCode, body::Incoming, client::conn::http1, header::HOST};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use lovagedock::prelude::TokenCount;

use super::{
    batch::{SequenceKind, SequenceRequest, SubmitError},
    completion::submit_route_error,
    protocol::SegmentLocation,
    render::AnswerSource,
    routes::{EngineResponse, RouteError, RouteResult, json_response, query_value, read_json},
    state::{EngineState, Progress},
};

const HELD_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Real time after which a holder of a segment that does not respond counts as lost.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Deserialize)]
struct SegmentBody {
    request_id: String,
    #[serde(default)]
    priority: i32,
    start: TokenCount,
    tokens: TokenCount,
    prompt_part: String,
}

#[derive(Debug, Serialize)]
struct SegmentResponse {
    engine: SocketAddr,
    tokens: TokenCount,
}

/// Prefills a segment and responds when its state is held.
pub(crate) async fn prefill(state: &EngineState, request: Request<Incoming>) -> RouteResult {
    let body: SegmentBody = read_json(request).await?;
    if body.tokens == 0 || body.prompt_part.is_empty() {
        let message = "the segment is empty";
        return Err(RouteError::new(StatusCode::BAD_REQUEST, message));
    }
    let submitted = state
        .core
        .lock()
        .submit(segment_request(&body), segment_source(&body));
    if submitted.as_ref().err() == Some(&SubmitError::Duplicate) {
        return wait_until_held(state, &body).await;
    }
    let mut receiver = submitted.map_err(submit_route_error)?;
    state.wake.notify_one();
    loop {
        match receiver.recv().await {
            Some(Progress::KeepAlive) => {}
            Some(Progress::Produced { .. }) => {
                return Ok(held_response(state, body.tokens));
            }
            Some(Progress::Failed(reason)) => {
                return Err(RouteError::new(StatusCode::INTERNAL_SERVER_ERROR, reason));
            }
            None => {
                let message = "the engine lost the segment";
                return Err(RouteError::new(StatusCode::INTERNAL_SERVER_ERROR, message));
            }
        }
    }
}

/// Waits until a segment that was submitted before is held, so that a repeated call changes
/// nothing.
async fn wait_until_held(state: &EngineState, body: &SegmentBody) -> RouteResult {
    loop {
        let held = state
            .core
            .lock()
            .batch
            .holds_segment(&body.request_id, body.start);
        match held {
            Some(true) => return Ok(held_response(state, body.tokens)),
            Some(false) => state.sleep(HELD_POLL_INTERVAL).await,
            None => {
                let message = "the segment was cancelled";
                return Err(RouteError::new(StatusCode::INTERNAL_SERVER_ERROR, message));
            }
        }
    }
}

/// Returns to another engine how many tokens of a request's prompt are held here.
pub(crate) fn held_token_count(state: &EngineState, query: &str) -> RouteResult {
    let id = query_value(query, "request_id").unwrap_or_default();
    match state.core.lock().batch.held_tokens(id) {
        0 => Err(RouteError::new(StatusCode::NOT_FOUND, "no such segment")),
        tokens => Ok(held_response(state, tokens)),
    }
}

fn held_response(state: &EngineState, tokens: TokenCount) -> EngineResponse {
    json_response(&SegmentResponse {
        engine: state.address,
        tokens,
    })
}

fn segment_request(body: &SegmentBody) -> SequenceRequest {
    SequenceRequest {
        request_id: body.request_id.as_str().into(),
        kind: SequenceKind::Segment,
        priority: body.priority,
        start: body.start,
        prompt_tokens: body.tokens,
        resume_offset: 0,
        max_tokens: 0,
        prefix_hashes: Vec::new(),
        imported: false,
    }
}

fn segment_source(body: &SegmentBody) -> AnswerSource {
    AnswerSource {
        request_id: body.request_id.as_str().into(),
        model: String::new(),
        chat: false,
        digest: 0,
        prompt_tokens: body.tokens,
        max_tokens: 0,
    }
}

/// Monitors the engines that hold the other segments of a request while this engine decodes it.
#[derive(Debug)]
pub(crate) struct SegmentMonitor {
    request_id: Arc<str>,
    holders: Vec<SegmentLocation>,
}

impl SegmentMonitor {
    pub(crate) fn new(request_id: Arc<str>, holders: Vec<SegmentLocation>) -> Self {
        Self {
            request_id,
            holders,
        }
    }

    /// Checks that all segments are still held.
    pub(crate) async fn check(&self) -> Result<(), RouteError> {
        for holder in &self.holders {
            if !is_held(holder.engine, &self.request_id).await {
                let message = format!("no segment of this request is held at {}", holder.engine);
                return Err(RouteError::new(StatusCode::CONFLICT, &message));
            }
        }
        Ok(())
    }

    /// Spawns a task that fails the request when a holder is lost.
    pub(crate) fn spawn(self, state: Arc<EngineState>) {
        if self.holders.is_empty() {
            return;
        }
        tokio::spawn(async move {
            loop {
                state.sleep(CHECK_INTERVAL).await;
                if state.core.lock().batch.produced(&self.request_id).is_none() {
                    return;
                }
                if self.check().await.is_err() {
                    let reason = "an engine that held a segment of the prompt was lost";
                    state.core.lock().fail_request(&self.request_id, reason);
                    return;
                }
            }
        });
    }
}

async fn is_held(engine: SocketAddr, request_id: &str) -> bool {
    tokio::time::timeout(CHECK_TIMEOUT, fetch_segment_status(engine, request_id))
        .await
        .is_ok_and(|status| status == Some(StatusCode::OK))
}

async fn fetch_segment_status(engine: SocketAddr, request_id: &str) -> Option<StatusCode> {
    let stream = TcpStream::connect(engine).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = Request::builder()
        .uri(format!("/v1/segments?request_id={request_id}"))
        .header(HOST, engine.to_string())
        .body(Empty::<Bytes>::new())
        .ok()?;
    let response = sender.send_request(request).await.ok()?;
    Some(response.status())
}
