//! Interface to the platform: its object store, its list of hosts, and the data that lovagedock
//! stores there.
//!
//! [`ObjectStore`] is the interface. [`HttpObjectStore`] uses the platform's HTTP API;
//! [`MemoryStore`] replaces it in tests, with scripted faults. A write whose response was lost
//! fails with [`StoreError::OutcomeUnknown`]; [`StoreError::Unavailable`] is returned only if the
//! write certainly did not take effect.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use lovagedock_platform::{CallPurpose, MemoryStore, ObjectStore, PutCondition, StoreError};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), StoreError> {
//! let store: Arc<dyn ObjectStore> = Arc::new(MemoryStore::new());
//! let version = store
//!     .put("leases/a", "holder".into(), PutCondition::Absent, CallPurpose::Lease)
//!     .await?;
//! let second = store
//!     .put("leases/a", "other".into(), PutCondition::Absent, CallPurpose::Lease)
//!     .await;
//! assert_eq!(second, Err(StoreError::Conflict { current: Some(version) }));
//! # Ok(())
//! # }
//! ```

mod bucket;
mod budget;
mod budgeted;
mod client;
mod config;
mod feed;
mod hosts;
mod http;
mod memory;
mod store;
mod table;

pub use bucket::TokenBucket;
pub use budget::{BudgetDecision, BudgetLimits, CallRate, CallResult, StoreBudget};
pub use budgeted::BudgetedStore;
pub use client::{CallFailure, StoreClient, StoreResponse, StoreTimeouts};
pub use config::{
    AcceptedRecord, ApplyNonce, ApplyOutcome, ApplyRequest, ApplyStatus, CHUNK_PREFIX, ChunkCache,
    ChunkName, ConfigChunk, ConfigRoot, ConfigStore, LoadError, LoadedConfig, NotAcceptedReason,
    ROOT_KEY, RetiredChunk, VersionedRoot, canonical_json, chunk_name, split_chunks,
};
pub use feed::{
    FeedChange, FeedError, FeedSnapshot, FeedStep, FeedSubject, FleetFeed, GatewayEntry,
    SuspectSheet,
};
pub use hosts::{HostDirectory, HostEntry, HostList, HostState};
pub use http::HttpObjectStore;
pub use memory::{CallCounts, CallKind, MemoryFault, MemoryStore};
pub use store::{
    CallPurpose, ChangeBatch, MAX_KEY_BYTES, MAX_VALUE_BYTES, ObjectEntry, ObjectStore,
    ObjectVersion, PutCondition, Revision, StoreError, StoredObject, is_valid_key, is_valid_prefix,
};
pub use table::ObjectTable;
