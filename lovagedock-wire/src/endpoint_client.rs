//! Gateway side of a session with a sidecar.

use std::{future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use tokio::{task::JoinHandle, time::timeout};

use crate::{
    codec,
    fleet_name::fleets_differ,
    lovagedock_capnp::{answer_sink, endpoint_session},
    messages::{
        AnswerHead, ConfigMessage, LoadMessage, OrderMessage, OrderReply, PeerIdentity,
        ReserveReply, SegmentRange, SegmentReply, SubmitReply, WireError, WorkMessage,
    },
    order_codec,
    stream::{SessionSystem, WireStream, client_system},
};

/// Receives an answer as it arrives; its methods are called in order.
pub trait AnswerReceiver: 'static {
    /// Receives status and headers.
    fn head(&self, head: AnswerHead) -> impl Future<Output = ()> + 'static;
    /// Receives bytes at an offset of the answer.
    ///
    /// The sidecar sends more only after the future completes, so a slow caller delays only its own
    /// answer.
    fn chunk(&self, offset: u64, bytes: Bytes) -> impl Future<Output = ()> + 'static;
    /// Receives the result of the request.
    fn done(&self, end: AnswerEnd) -> impl Future<Output = ()> + 'static;
}

/// A session from a gateway to one sidecar.
///
/// Dropping it closes the connection.
pub struct EndpointClient {
    session: endpoint_session::Client,
    rpc_task: JoinHandle<()>,
}

impl EndpointClient {
    /// Starts a session on a connection; must be called on a `LocalSet`.
    pub fn new(stream: Box<dyn WireStream>) -> Self {
        let (system, session): (SessionSystem, endpoint_session::Client) = client_system(stream);
        let rpc_task = tokio::task::spawn_local(async move {
            let _ended: Result<(), capnp::Error> = system.await;
        });
        Self { session, rpc_task }
    }

    /// Closes the connection: pending calls end with an error and no more frames arrive.
    pub fn close(&self) {
        self.rpc_task.abort();
    }

    /// Introduces this process and returns the identity of the other side.
    ///
    /// Fails with [`WireError::OtherFleet`] if the sidecar belongs to another fleet.
    pub async fn hello(
        &self,
        identity: &PeerIdentity,
        limit: Duration,
    ) -> Result<PeerIdentity, WireError> {
        let mut request = self.session.hello_request();
        codec::write_hello(identity, request.get().init_hello());
        let response = with_timeout(limit, request.send().promise).await?;
        let welcome = codec::read_welcome(response.get()?.get_welcome()?)?;
        match &welcome.fleet {
            Some(fleet) if fleets_differ(identity.fleet.as_ref(), Some(fleet)) => {
                Err(WireError::OtherFleet(fleet.clone()))
            }
            _ => Ok(welcome),
        }
    }

    /// Submits a request; the answer goes to `receiver`.
    ///
    /// After an error it is not known whether the sidecar has the request; only a revoke can
    /// determine it.
    pub async fn submit<R: AnswerReceiver>(
        &self,
        work: &WorkMessage,
        receiver: R,
        limit: Duration,
    ) -> Result<SubmitReply, WireError> {
        let mut request = self.session.submit_request();
        codec::write_work(work, request.get().init_order());
        request.get().set_sink(new_sink(receiver));
        let response = with_timeout(limit, request.send().promise).await?;
        let reply = response.get()?;
        if reply.get_accepted() {
            return Ok(SubmitReply::Accepted);
        }
        Ok(SubmitReply::Refused(codec::read_end(reply.get_refusal()?)?))
    }

    /// Requests the rest of an answer from an offset; returns false if the sidecar does not have
    /// it.
    pub async fn resume<R: AnswerReceiver>(
        &self,
        key: AttemptKey,
        offset: u64,
        receiver: R,
        limit: Duration,
    ) -> Result<bool, WireError> {
        let mut request = self.session.resume_request();
        codec::write_key(key, request.get().init_key());
        request.get().set_offset(offset);
        request.get().set_sink(new_sink(receiver));
        let response = with_timeout(limit, request.send().promise).await?;
        Ok(response.get()?.get_found())
    }

    /// Revokes a request, so that it never runs, and returns whether it has run already.
    pub async fn revoke(
        &self,
        key: AttemptKey,
        limit: Duration,
    ) -> Result<RevokeVerdict, WireError> {
        let mut request = self.session.revoke_request();
        codec::write_key(key, request.get().init_key());
        let response = with_timeout(limit, request.send().promise).await?;
        let verdict = response.get()?.get_verdict();
        match verdict {
            Ok(verdict) => Ok(codec::read_verdict(verdict)),
            Err(unknown) => Err(WireError::Malformed(format!(
                "unknown verdict {}",
                unknown.0
            ))),
        }
    }

    /// Cancels a request whose answer is no longer needed.
    pub async fn cancel(&self, key: AttemptKey, limit: Duration) -> Result<(), WireError> {
        let mut request = self.session.cancel_request();
        codec::write_key(key, request.get().init_key());
        with_timeout(limit, request.send().promise).await?;
        Ok(())
    }

    /// Checks that the sidecar responds and returns the endpoint's load.
    pub async fn heartbeat(
        &self,
        sequence: u64,
        generation: Generation,
        limit: Duration,
    ) -> Result<LoadMessage, WireError> {
        let mut request = self.session.heartbeat_request();
        request.get().set_sequence(sequence);
        request.get().set_generation(generation);
        let response = with_timeout(limit, request.send().promise).await?;
        codec::read_load(response.get()?.get_report()?)
    }

    /// Sends a configuration; returns the generation in force at the sidecar.
    pub async fn configure(
        &self,
        message: &ConfigMessage,
        limit: Duration,
    ) -> Result<Generation, WireError> {
        let mut request = self.session.configure_request();
        request.get().set_generation(message.generation);
        request.get().set_config(&message.config);
        let response = with_timeout(limit, request.send().promise).await?;
        Ok(response.get()?.get_generation())
    }

    /// Reserves memory for one part of a span.
    pub async fn reserve(
        &self,
        key: AttemptKey,
        tokens: TokenCount,
        retention: Duration,
        limit: Duration,
    ) -> Result<ReserveReply, WireError> {
        let mut request = self.session.reserve_request();
        codec::write_key(key, request.get().init_key());
        request.get().set_tokens(tokens);
        request
            .get()
            .set_hold_ms(codec::duration_to_millis(retention));
        let response = with_timeout(limit, request.send().promise).await?;
        let reply = response.get()?;
        Ok(ReserveReply {
            granted: reply.get_granted(),
            free_tokens: reply.get_free_tokens(),
        })
    }

    /// Releases a reservation and discards whatever was prefilled into it.
    pub async fn release(&self, key: AttemptKey, limit: Duration) -> Result<(), WireError> {
        let mut request = self.session.release_request();
        codec::write_key(key, request.get().init_key());
        with_timeout(limit, request.send().promise).await?;
        Ok(())
    }

    /// Prefills one part of a span into reserved memory.
    pub async fn segment(
        &self,
        work: &WorkMessage,
        range: SegmentRange,
        limit: Duration,
    ) -> Result<SegmentReply, WireError> {
        let mut request = self.session.segment_request();
        codec::write_work(work, request.get().init_order());
        request.get().set_start(range.start);
        request.get().set_tokens(range.tokens);
        let response = with_timeout(limit, request.send().promise).await?;
        let reply = response.get()?;
        Ok(SegmentReply {
            end: codec::read_end(reply.get_end()?)?,
            locator: codec::read_text(reply.get_locator())?,
        })
    }

    /// Starts or ends draining of the endpoint; returns the number of requests still in flight.
    pub async fn drain(&self, leaving: bool, limit: Duration) -> Result<u32, WireError> {
        let mut request = self.session.drain_request();
        request.get().set_leaving(leaving);
        let response = with_timeout(limit, request.send().promise).await?;
        Ok(response.get()?.get_in_flight())
    }

    /// Sends an order to the engine, or queries what it has loaded; waits until the engine has
    /// completed it.
    ///
    /// After an error it is not known whether the order takes effect.
    pub async fn order(
        &self,
        message: &OrderMessage,
        limit: Duration,
    ) -> Result<OrderReply, WireError> {
        let mut request = self.session.order_request();
        order_codec::write_order(message, request.get().init_order());
        let response = with_timeout(limit, request.send().promise).await?;
        order_codec::read_reply(response.get()?.get_reply()?)
    }
}

impl Drop for EndpointClient {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Runs a call with a timeout.
///
/// If a device between the two sides silently drops the connection, calls are lost without an error
/// and may never return. After `limit` such a call fails with [`WireError::TimedOut`].
pub(crate) async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, WireError> {
    match timeout(limit, call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(WireError::TimedOut),
    }
}

fn new_sink<R: AnswerReceiver>(receiver: R) -> answer_sink::Client {
    capnp_rpc::new_client(SinkServer { receiver })
}

struct SinkServer<R> {
    receiver: R,
}

impl<R: AnswerReceiver> answer_sink::Server for SinkServer<R> {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _results: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let head = codec::read_head(params.get()?.get_head()?).map_err(to_capnp_error)?;
        self.receiver.head(head).await;
        Ok(())
    }

    async fn chunk(self: Rc<Self>, params: answer_sink::ChunkParams) -> Result<(), capnp::Error> {
        let chunk = params.get()?;
        let offset = chunk.get_offset();
        let bytes = Bytes::copy_from_slice(chunk.get_bytes()?);
        drop(params);
        self.receiver.chunk(offset, bytes).await;
        Ok(())
    }

    async fn done(
        self: Rc<Self>,
        params: answer_sink::DoneParams,
        _results: answer_sink::DoneResults,
    ) -> Result<(), capnp::Error> {
        let end = codec::read_end(params.get()?.get_end()?).map_err(to_capnp_error)?;
        self.receiver.done(end).await;
        Ok(())
    }
}

pub(crate) fn to_capnp_error(error: WireError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}
