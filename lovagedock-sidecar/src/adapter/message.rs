//! Messages between a sidecar and its endpoint's adapter.

use std::time::Duration;

use bytes::Bytes;

use lovagedock::prelude::{Epoch, RequestId, TokenCount};

/// What an endpoint supports besides answering requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdapterCapabilities {
    /// Whether it reports memory allocations and cancels by request id.
    pub tracks_memory: bool,
    /// Whether it prefills segments and decodes with segments that other engines hold.
    pub accepts_segments: bool,
    /// Whether it exports and imports the state of requests.
    pub transfers_requests: bool,
    /// Whether it accepts orders.
    pub accepts_orders: bool,
}

/// One header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as received.
    pub value: Bytes,
}

/// A caller's request to the endpoint.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id under which the endpoint reports its allocation.
    pub request_id: RequestId,
    /// Requests with a higher priority are served first.
    pub priority: i32,
    /// HTTP method.
    pub method: String,
    /// Path including the query.
    pub path: String,
    /// The caller's headers.
    pub headers: Vec<EngineHeader>,
    /// The caller's body.
    pub body: Bytes,
    /// Answer tokens that the caller already has; 0 for a new request.
    pub resume_offset: TokenCount,
    /// Parts of the prompt that other engines hold, in prompt order.
    pub segments: Vec<SegmentHolder>,
}

/// The engine that holds one part of a long prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentHolder {
    /// Name that the holding engine returned when it prefilled the part.
    pub locator: String,
    /// Number of tokens that it holds.
    pub tokens: TokenCount,
}

/// Request to prefill one part of a prompt and to hold it.
#[derive(Clone, Debug)]
pub struct SegmentRequest {
    /// Id of the request that the part belongs to.
    pub request_id: RequestId,
    /// Requests with a higher priority are served first.
    pub priority: i32,
    /// Position of the part's first token in the prompt.
    pub start: TokenCount,
    /// Number of tokens in the part.
    pub tokens: TokenCount,
    /// Text of the part.
    pub prompt_part: String,
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHead {
    /// HTTP status.
    pub status: u16,
    /// Headers that the caller may see.
    pub headers: Vec<EngineHeader>,
}

/// Token counts and timing of an ended answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEnd {
    /// Prompt tokens as counted by the engine.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that were read from the prefix cache.
    pub cached_tokens: TokenCount,
    /// Answer tokens.
    pub answer_tokens: TokenCount,
    /// Time from the start of the request to the first token; for a whole (not streamed) answer, to
    /// its end.
    pub first_token_after: Duration,
}

/// One event of an answer. An answer consists of a head, then bytes, then an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Status and headers.
    Head(EngineHead),
    /// The next bytes of the body as the caller sees them.
    Bytes(Bytes),
    /// The answer is complete. A stream without this event was truncated.
    End(EngineEnd),
}

/// Memory of one request as reported by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAllocation {
    /// Id of the request.
    pub request_id: RequestId,
    /// KV memory in tokens; 0 while the request waits.
    pub tokens: TokenCount,
}

/// Load as reported by the engine; it may be seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Total KV memory in tokens; 0 for a plain service.
    pub memory_tokens: TokenCount,
    /// KV memory in tokens that no request holds.
    pub free_tokens: TokenCount,
    /// KV memory in tokens that the prefix cache uses.
    pub cached_tokens: TokenCount,
    /// Current role of the engine.
    pub role: String,
    /// The loaded model.
    pub model: String,
    /// The loaded adapters.
    pub adapters: Vec<String>,
}

/// Order to an engine, with the fencing number of the lease holder that sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Fencing number of the lease.
    pub fence: Epoch,
    /// The operation.
    pub kind: OrderKind,
}

/// Operations that an engine can be ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a version of a model.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
    },
    /// Load a version of an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
        /// Version of the adapter.
        version: String,
    },
    /// Change the role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

/// A change of the engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prompt chunk with this hash is cached.
    Stored(u64),
    /// The prompt chunk with this hash is no longer cached.
    Removed(u64),
}

/// One cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// Events of the engine's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Whether events are missing before or between these. If so, a snapshot is needed.
    pub has_gap: bool,
    /// Events after the requested number, in order.
    pub events: Vec<CacheEvent>,
}

/// Complete content of the prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Number of the last event that it includes.
    pub sequence: u64,
    /// Hashes of the cached prompt chunks.
    pub hashes: Vec<u64>,
}
