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

/// An answer: a head, bytes, an end; an error is its last item.
pub type EngineStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>> + Send>>;

/// One endpoint as the sidecar sees it.
///
/// Every call opens its own connection: an open connection can go silent for good while new ones
/// work, and to an endpoint on the same host a new one costs little. A silent endpoint is found
/// by the idle timeout, except while a whole (not streamed) answer or the end of an order is awaited: only the deadline
/// bounds that, and a silent engine shows in the next [`EngineAdapter::load`].
#[async_trait]
pub trait EngineAdapter: Send + Sync {
    /// What the endpoint can do; the calls that it cannot answer are `Refused` with status 501.
    fn capabilities(&self) -> AdapterCapabilities;

    /// Starts a request, or goes on with one from its `resume_offset`.
    ///
    /// `Refused` with status 409 says that a request with this id is there already: nothing new
    /// was started and the former one goes on. Dropping the stream closes the connection but frees nothing; [`EngineAdapter::cancel`]
    /// does.
    async fn start(&self, request: EngineRequest) -> Result<EngineStream, EngineError>;

    /// Ends a request or a held segment and frees its memory; no error if it is not there.
    async fn cancel(&self, request_id: RequestId) -> Result<(), EngineError>;

    /// What each request holds by the engine's own account.
    async fn allocations(&self) -> Result<Vec<EngineAllocation>, EngineError>;

    /// The load that the endpoint reports.
    async fn load(&self) -> Result<EngineLoad, EngineError>;

    /// Prefills one part of a prompt and holds it until [`EngineAdapter::cancel`].
    async fn segment(&self, request: SegmentRequest) -> Result<SegmentHolder, EngineError>;

    /// Stops a decoding request and reads its state, which stays held until it is cancelled.
    async fn export(&self, request_id: RequestId) -> Result<Bytes, EngineError>;

    /// Takes a request over with the state that another engine exported.
    async fn import(&self, state: Bytes) -> Result<(), EngineError>;

    /// Gives an order; `Refused` with status 409 if the engine has seen a higher fencing number.
    ///
    /// Ends when the order is carried out, without a bound of its own.
    async fn order(&self, order: EngineOrder) -> Result<(), EngineError>;

    /// Cache events after the given number.
    async fn cache_events(&self, after: u64) -> Result<CacheReport, EngineError>;

    /// Everything that the prefix cache holds; asked for after a gap in its
    /// events.
    async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError>;
}
