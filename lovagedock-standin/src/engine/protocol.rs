//! Request and response bodies of the stand-in engine's HTTP interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use lovagedock::prelude::TokenCount;

use super::answer::ChatMessage;

const DEFAULT_MAX_TOKENS: TokenCount = 16;

#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    #[serde(default)]
    pub(crate) request_id: Option<String>,
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) prompt: String,
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens", alias = "max_completion_tokens")]
    pub(crate) max_tokens: TokenCount,
    #[serde(default)]
    pub(crate) priority: i32,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    pub(crate) resume_offset: TokenCount,
    #[serde(default)]
    pub(crate) segments: Vec<SegmentLocation>,
}

fn default_max_tokens() -> TokenCount {
    DEFAULT_MAX_TOKENS
}

/// Engine that holds one segment of a prompt.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct SegmentLocation {
    pub(crate) engine: SocketAddr,
    pub(crate) tokens: TokenCount,
}

/// Body of calls that refer to one request.
#[derive(Debug, Deserialize)]
pub(crate) struct RequestIdBody {
    pub(crate) request_id: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct CancelResponse {
    pub(crate) cancelled: bool,
}

#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorDetail,
}

#[derive(Debug, Serialize)]
pub(crate) struct ErrorDetail {
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    pub(crate) message: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct CompletionResponse<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: [CompletionChoice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<CompletionUsage>,
}

#[derive(Debug, Serialize)]
pub(crate) struct CompletionChoice {
    pub(crate) index: u32,
    #[serde(flatten)]
    pub(crate) text: ChoiceText,
    pub(crate) finish_reason: Option<&'static str>,
}

/// Text of a choice, in the field that the API defines for this kind of response.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ChoiceText {
    Text(String),
    Delta(CompletionMessage),
    Message(CompletionMessage),
}

#[derive(Debug, Serialize)]
pub(crate) struct CompletionMessage {
    pub(crate) role: &'static str,
    pub(crate) content: String,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CompletionUsage {
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) completion_tokens: TokenCount,
    pub(crate) total_tokens: TokenCount,
    pub(crate) prompt_tokens_details: CachedUsage,
}

#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct CachedUsage {
    pub(crate) cached_tokens: TokenCount,
}

/// List of allocations in the format [`JsonReport`](super::options::ReportStyle::JsonReport).
#[derive(Debug, Serialize)]
pub(crate) struct RequestAllocations {
    pub(crate) requests: Vec<RequestAllocation>,
}

#[derive(Debug, Serialize)]
pub(crate) struct RequestAllocation {
    pub(crate) request_id: String,
    pub(crate) blocks: u64,
    pub(crate) block_tokens: u64,
}

/// List of allocations in the format
/// [`PrometheusReport`](super::options::ReportStyle::PrometheusReport).
#[derive(Debug, Serialize)]
pub(crate) struct SequenceAllocations {
    pub(crate) sequences: Vec<SequenceAllocation>,
}

#[derive(Debug, Serialize)]
pub(crate) struct SequenceAllocation {
    pub(crate) id: String,
    pub(crate) kv_tokens: TokenCount,
}
