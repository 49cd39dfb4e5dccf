//! Transfer of KV state to another engine.

use hyper::{Request, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use lovagedock::prelude::TokenCount;

use super::{
    batch::{PauseError, SequenceKind, SequenceRequest},
    completion::submit_route_error,
    protocol::RequestIdBody,
    render::AnswerSource,
    routes::{RouteError, RouteResult, json_response, read_json},
    state::EngineState,
};

/// State of a request, as exported by one engine and imported by another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct KvState {
    request_id: String,
    model: String,
    chat: bool,
    digest: u64,
    priority: i32,
    /// Tokens of the complete prompt, for the usage report.
    prompt_tokens: TokenCount,
    /// Prompt tokens whose state is transferred.
    held_tokens: TokenCount,
    produced: TokenCount,
    max_tokens: TokenCount,
}

#[derive(Debug, Serialize)]
struct ImportResponse {
    tokens: TokenCount,
}

impl KvState {
    pub(crate) fn new(
        source: &AnswerSource,
        request: &SequenceRequest,
        produced: TokenCount,
    ) -> Self {
        Self {
            request_id: source.request_id.to_string(),
            model: source.model.clone(),
            chat: source.chat,
            digest: source.digest,
            priority: request.priority,
            prompt_tokens: source.prompt_tokens,
            held_tokens: request.prompt_tokens,
            produced,
            max_tokens: source.max_tokens,
        }
    }

    fn tokens(&self) -> TokenCount {
        self.held_tokens + self.produced
    }

    fn source(&self) -> AnswerSource {
        AnswerSource {
            request_id: self.request_id.as_str().into(),
            model: self.model.clone(),
            chat: self.chat,
            digest: self.digest,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
        }
    }

    fn request(&self) -> SequenceRequest {
        SequenceRequest {
            request_id: self.request_id.as_str().into(),
            kind: SequenceKind::Answer,
            priority: self.priority,
            start: self.prompt_tokens - self.held_tokens,
            prompt_tokens: self.held_tokens,
            resume_offset: self.produced,
            max_tokens: self.max_tokens,
            prefix_hashes: Vec::new(),
            imported: true,
        }
    }
}

pub(crate) async fn export(state: &EngineState, request: Request<Incoming>) -> RouteResult {
    let body: RequestIdBody = read_json(request).await?;
    let exported = state.core.lock().export(&body.request_id);
    let kv_state = exported.map_err(|error| match error {
        PauseError::Missing => RouteError::new(StatusCode::NOT_FOUND, "no such request"),
        PauseError::NotDecoding => {
            RouteError::new(StatusCode::CONFLICT, "the request is not being decoded")
        }
    })?;
    wait_for_transfer(state, &kv_state).await;
    Ok(json_response(&kv_state))
}

pub(crate) async fn import(state: &EngineState, request: Request<Incoming>) -> RouteResult {
    let kv_state: KvState = read_json(request).await?;
    wait_for_transfer(state, &kv_state).await;
    let imported = state
        .core
        .lock()
        .import(kv_state.request(), kv_state.source());
    imported.map_err(submit_route_error)?;
    state.wake.notify_one();
    Ok(json_response(&ImportResponse {
        tokens: kv_state.tokens(),
    }))
}

async fn wait_for_transfer(state: &EngineState, kv_state: &KvState) {
    let cost = state.options.transfer_cost;
    state.sleep(cost.mul_f64(kv_state.tokens() as f64)).await;
}
