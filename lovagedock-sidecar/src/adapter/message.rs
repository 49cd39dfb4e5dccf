//! What goes to an endpoint through an adapter and what comes back.

use std::time::Duration;

use bytes::Bytes;

use lovagedock::prelude::{Epoch, RequestId, TokenCount};

/// What an endpoint can do besides answering requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdapterCapabilities {
    /// It accounts for memory, and cancels by request id.
    pub tracks_memory: bool,
    /// It prefills parts of prompts and decodes with parts that others hold.
    pub accepts_segments: bool,
    /// It exports and imports the state of requests.
    pub transfers_requests: bool,
    /// It takes orders.
    pub accepts_orders: bool,
}

/// One header of a request or an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as it was received.
    pub value: Bytes,
}

/// One request of a caller for the endpoint.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Id under which the endpoint accounts for it.
    pub request_id: RequestId,
    /// Higher goes first.
    pub priority: i32,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// The caller's headers.
    pub headers: Vec<EngineHeader>,
    /// The caller's body.
    pub body: Bytes,
    /// Answer tokens that the caller has already; 0 for a new request.
    pub resume_offset: TokenCount,
    /// Parts of the prompt that other engines hold, in the order of the prompt.
    pub segments: Vec<SegmentHolder>,
}

/// Where one part of a long prompt is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SegmentHolder {
    /// What the holding engine called itself when it prefilled the part.
    pub locator: String,
    /// Tokens that it holds.
    pub tokens: TokenCount,
}

/// Order to prefill one part of a prompt and to hold it.
#[derive(Clone, Debug)]
pub struct SegmentRequest {
    /// Id of the request that the part belongs to.
    pub request_id: RequestId,
    /// Higher goes first.
    pub priority: i32,
    /// Position of the part's first token in the prompt.
    pub start: TokenCount,
    /// Tokens of the part.
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

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineEnd {
    /// Prompt tokens by the engine's count.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens that the prefix cache spared.
    pub cached_tokens: TokenCount,
    /// Answer tokens.
    pub answer_tokens: TokenCount,
    /// From the start of the request to the first token; for a whole answer, to its end.
    pub first_token_after: Duration,
}

/// One event of an answer: a head, then bytes, then an end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// Status and headers.
    Head(EngineHead),
    /// The next bytes of the body as the caller sees them.
    Bytes(Bytes),
    /// The answer is whole. A stream without it was cut.
    End(EngineEnd),
}

/// What one request holds by the engine's own account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAllocation {
    /// Id of the request.
    pub request_id: RequestId,
    /// KV memory in tokens; 0 while it waits.
    pub tokens: TokenCount,
}

/// Load as the engine reports it; it may be seconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// KV memory in all; 0 for a plain service.
    pub memory_tokens: TokenCount,
    /// KV memory that no request holds.
    pub free_tokens: TokenCount,
    /// KV memory that the prefix cache fills.
    pub cached_tokens: TokenCount,
    /// Role that the engine is in.
    pub role: String,
    /// Model that is loaded.
    pub model: String,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
}

/// Order to an engine, with the fencing number of who gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Fencing number of the lease.
    pub fence: Epoch,
    /// What to do.
    pub kind: OrderKind,
}

/// What an engine can be ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model in a version.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: String,
    },
    /// Load an adapter in a version.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
        /// Its version.
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
    /// A prompt piece with this hash is held.
    Stored(u64),
    /// It is held no more.
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

/// What the engine publishes of its prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Whether events are missing before or between these: a snapshot is due.
    pub has_gap: bool,
    /// Events after the number that was asked for, in their order.
    pub events: Vec<CacheEvent>,
}

/// Everything that the prefix cache holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Number of the last event that it includes.
    pub sequence: u64,
    /// Hashes of the held prompt pieces.
    pub hashes: Vec<u64>,
}
