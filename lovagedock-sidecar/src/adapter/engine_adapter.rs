//! The trait that every adapter implements.

use std::pin::Pin;

use async_trait::async_trait;
use bytes::Bytes;
use futures::Stream;

use lovagedock::prelude::RequestId;

use super::{
    error::EngineError,
    message::{
        AdapterCapabilities, CacheReport, CacheSnapshot, EngineAllocation, EngineEvent, EngineLoad,
        EngineOrder, EngineRequest, SegmentHolder, SegmentRequest,
    },
};

/// An answer: a head, bytes and an end. If an error occurs, it is the last item.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// Interface to one endpoint.
///
/// Every call opens its own connection. An open connection can stop delivering data while new ones
/// work, and a new connection to an endpoint on the same host costs little. An endpoint that sends
/// nothing is detected by the idle timeout, except while the sidecar waits for a whole (not
/// streamed) answer or for the end of an order. Those waits are limited only by the deadline, and
/// an engine that sends nothing is detected by the next [`EngineAdapter::load`].
#[async_trait]
pub trait EngineAdapter: Send + Sync {
    /// What the endpoint supports. Unsupported calls for segments, transfers of requests or orders
    /// fail with `Refused` and status 501; other unsupported calls succeed without an effect.
    fn capabilities(&self) -> AdapterCapabilities;

    /// Starts a request, or continues one from its `resume_offset`.
    ///
    /// `Refused` with status 409 means that a request with this id already exists: nothing new was
    /// started and the earlier request continues. Dropping the stream closes the connection but
    /// frees no memory; [`EngineAdapter::cancel`] does.
    async fn start(&self, request: EngineRequest) -> Result<EngineStream, EngineError>;

    /// Ends a request or a held segment and frees its memory; succeeds if there is none.
    async fn cancel(&self, request_id: RequestId) -> Result<(), EngineError>;

    /// Memory allocation of each request as reported by the engine.
    async fn allocations(&self) -> Result<Vec<EngineAllocation>, EngineError>;

    /// Load as reported by the endpoint.
    async fn load(&self) -> Result<EngineLoad, EngineError>;

    /// Prefills one part of a prompt and holds it until [`EngineAdapter::cancel`].
    async fn segment(&self, request: SegmentRequest) -> Result<SegmentHolder, EngineError>;

    /// Stops a decoding request and returns its state, which the engine holds until it is
    /// cancelled.
    async fn export(&self, request_id: RequestId) -> Result<Bytes, EngineError>;

    /// Imports a request with the state that another engine exported.
    async fn import(&self, state: Bytes) -> Result<(), EngineError>;

    /// Sends an order; fails with `Refused` and status 409 if the engine has seen a higher fencing
    /// number.
    ///
    /// Returns when the order has been executed, without a time limit of its own.
    async fn order(&self, order: EngineOrder) -> Result<(), EngineError>;

    /// Cache events after the given number.
    async fn cache_events(&self, after: u64) -> Result<CacheReport, EngineError>;

    /// Complete content of the prefix cache; requested after a gap in its events.
    async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError>;
}
