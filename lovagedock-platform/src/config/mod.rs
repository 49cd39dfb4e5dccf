//! The configuration in the store: one root object and content-addressed chunks.

mod apply;
mod chunk_name;
mod chunks;
mod load;
mod root;

pub use apply::{ApplyOutcome, ApplyRequest, NotAcceptedReason};
pub use chunk_name::{ChunkName, chunk_name};
pub use chunks::{ChunkCache, ConfigChunk, canonical_json, split_chunks};
pub use load::{ConfigStore, LoadError, LoadedConfig, VersionedRoot};
pub use root::{AcceptedRecord, ApplyNonce, ApplyStatus, ConfigRoot, RetiredChunk};

/// Key of the root object.
pub const ROOT_KEY: &str = "config/root";

/// Prefix of the keys of chunks.
pub const CHUNK_PREFIX: &str = "config/chunks/";
