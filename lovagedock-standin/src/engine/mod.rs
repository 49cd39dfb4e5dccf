//! Stand-in engine: simulates batching in model time behind the HTTP interface of a vendor's
//! engine.
//!
//! Model time is the simulated time of the engine. It runs faster than real time by
//! [`EngineOptions::time_scale`].

mod answer;
mod batch;
mod cache_feed;
mod completion;
mod driver;
mod fault;
mod journal;
mod load;
mod memory;
mod options;
mod order;
mod protocol;
mod render;
mod routes;
mod running;
mod segment;
mod sequence;
mod serve;
mod state;
mod transfer;
mod weights;

pub use answer::{
    BYTES_PER_TOKEN, ChatMessage, PREFIX_CHUNK_TOKENS, chat_prompt, expected_answer, prefix_hashes,
    prompt_tokens,
};
pub use batch::{
    BatchEngine, BlockAllocation, PauseError, SequenceKind, SequenceNumber, SequenceRequest,
    StepOutput, SubmitError, prefill_time,
};
pub use fault::EngineFault;
pub use journal::{EngineJournal, JournalEntry, JournalEvent, OrderEntry};
pub use memory::{BLOCK_TOKENS, CacheChange, KvMemory};
pub use options::{EngineOptions, ReportStyle};
pub use running::{EngineHandle, EngineStandin, RunningEngine};
pub use weights::WeightLoadGauge;
