//! Adapters to endpoints: vendors' engines and plain services behind one trait.
//!
//! An adapter registers itself as an [`AdapterPlugin`]. [`build_adapter`] finds it by the name that
//! the sidecar's settings contain.

mod client;
mod dialect;
mod engine_adapter;
mod error;
mod json_report;
mod message;
mod model;
mod plain;
mod prometheus_report;
mod registry;
mod request_body;
mod sse;

pub use engine_adapter::{EngineAdapter, EngineStream};
pub use error::EngineError;
pub use message::{
    AdapterCapabilities, CacheChange, CacheEvent, CacheReport, CacheSnapshot, EngineAllocation,
    EngineEnd, EngineEvent, EngineHead, EngineHeader, EngineLoad, EngineOrder, EngineRequest,
    OrderKind, SegmentHolder, SegmentRequest,
};
pub use registry::{AdapterOptions, AdapterPlugin, BuildError, adapter_names, build_adapter};
