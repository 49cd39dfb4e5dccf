//! Sidecar side of a session.

use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};

use bytes::Bytes;
use lovagedock::{AnswerEnd, AttemptKey, RevokeVerdict, prelude::*};
use tokio::{sync::Notify, time::sleep};

use crate::{
    codec,
    endpoint_client::to_capnp_error,
    fleet_name::{FleetName, fleets_differ},
    lovagedock_capnp::{answer_sink, endpoint_session},
    messages::{
        AnswerHead, ConfigMessage, LoadMessage, OrderMessage, OrderReply, PeerIdentity,
        ReserveReply, SegmentRange, SegmentReply, SubmitReply, WireError, WorkMessage,
    },
    order_codec,
    stream::{WireStream, server_system},
};

/// Time for the welcome to reach a gateway of another fleet before its session is closed.
const REFUSAL_LINGER: Duration = Duration::from_secs(1);

/// Handles the calls of a session at a sidecar.
pub trait EndpointHandler: 'static {
    /// Returns the sidecar's identity in response to an introduction.
    fn hello(&self, identity: PeerIdentity) -> PeerIdentity;
    /// Accepts or refuses a request; the answer goes to `sender`.
    fn submit(
        &self,
        work: WorkMessage,
        sender: AnswerSender,
    ) -> impl Future<Output = SubmitReply> + 'static;
    /// Sends the rest of an answer from an offset; returns false if the answer is not available.
    fn resume(&self, key: AttemptKey, offset: u64, sender: AnswerSender) -> bool;
    /// Revokes a request if it has not run.
    fn revoke(&self, key: AttemptKey) -> RevokeVerdict;
    /// Cancels a request whose answer is no longer needed.
    fn cancel(&self, key: AttemptKey);
    /// Reports the load.
    fn heartbeat(&self, sequence: u64, generation: Generation) -> LoadMessage;
    /// Receives a configuration; returns the generation in force.
    fn configure(&self, message: ConfigMessage) -> Generation;
    /// Reserves memory for one part of a span.
    fn reserve(&self, key: AttemptKey, tokens: TokenCount, retention: Duration) -> ReserveReply;
    /// Releases a reservation.
    fn release(&self, key: AttemptKey);
    /// Prefills one part of a span.
    fn segment(
        &self,
        work: WorkMessage,
        range: SegmentRange,
    ) -> impl Future<Output = SegmentReply> + 'static;
    /// Starts or ends draining of the endpoint; returns the number of requests in flight.
    fn drain(&self, leaving: bool) -> u32;
    /// Passes an order of a lease holder to the engine, or reports what the engine has loaded.
    fn order(&self, message: OrderMessage) -> impl Future<Output = OrderReply> + 'static;
}

/// Runs one session until its connection ends; must be called on a `LocalSet`.
///
/// A session of a gateway of another fleet ends with [`WireError::OtherFleet`]. None of its calls
/// after the hello reaches the handler.
pub async fn serve_endpoint<H: EndpointHandler>(
    stream: Box<dyn WireStream>,
    handler: Rc<H>,
) -> Result<(), WireError> {
    let refusal = Rc::new(SessionRefusal::default());
    let server = SessionServer {
        handler,
        refusal: Rc::clone(&refusal),
    };
    let client: endpoint_session::Client = capnp_rpc::new_client(server);
    let system = server_system(stream, client.client);
    tokio::select! {
        ended = system => ended?,
        () = refusal.wait_until_closable() => {}
    }
    refusal.check().map_err(WireError::OtherFleet)
}

/// Whether a session is refused because the gateway belongs to another fleet.
#[derive(Default)]
struct SessionRefusal {
    other_fleet: RefCell<Option<FleetName>>,
    refused: Notify,
}

impl SessionRefusal {
    fn refuse(&self, other_fleet: Option<FleetName>) {
        self.other_fleet.replace(other_fleet);
        self.refused.notify_one();
    }

    async fn wait_until_closable(&self) {
        self.refused.notified().await;
        sleep(REFUSAL_LINGER).await;
    }

    fn check(&self) -> Result<(), FleetName> {
        self.other_fleet.borrow().clone().map_or(Ok(()), Err)
    }
}

/// Sends an answer to the gateway that requested it.
#[derive(Clone)]
pub struct AnswerSender {
    sink: answer_sink::Client,
}

impl AnswerSender {
    /// Sends status and headers.
    pub async fn head(&self, head: &AnswerHead) -> Result<(), WireError> {
        let mut request = self.sink.head_request();
        codec::write_head(head, request.get().init_head());
        request.send().promise.await?;
        Ok(())
    }

    /// Sends bytes; returns when flow control allows more.
    pub async fn chunk(&self, offset: u64, bytes: &Bytes) -> Result<(), WireError> {
        let mut request = self.sink.chunk_request();
        request.get().set_offset(offset);
        request.get().set_bytes(bytes);
        request.send().await?;
        Ok(())
    }

    /// Sends the result of the request; returns when the gateway has received it.
    pub async fn done(&self, end: &AnswerEnd) -> Result<(), WireError> {
        let mut request = self.sink.done_request();
        codec::write_end(end, request.get().init_end());
        request.send().promise.await?;
        Ok(())
    }
}

struct SessionServer<H> {
    handler: Rc<H>,
    refusal: Rc<SessionRefusal>,
}

impl<H> SessionServer<H> {
    /// Returns the handler, or an error if the session is refused.
    fn handler(&self) -> Result<&H, capnp::Error> {
        match self.refusal.check() {
            Ok(()) => Ok(&self.handler),
            Err(fleet) => Err(to_capnp_error(WireError::OtherFleet(fleet))),
        }
    }
}

impl<H: EndpointHandler> endpoint_session::Server for SessionServer<H> {
    async fn hello(
        self: Rc<Self>,
        params: endpoint_session::HelloParams,
        mut results: endpoint_session::HelloResults,
    ) -> Result<(), capnp::Error> {
        let identity = codec::read_hello(params.get()?.get_hello()?).map_err(to_capnp_error)?;
        let other_fleet = identity.fleet.clone();
        let mut own = self.handler.hello(identity);
        if fleets_differ(own.fleet.as_ref(), other_fleet.as_ref()) {
            self.refusal.refuse(other_fleet);
        } else if other_fleet.is_none() {
            own.fleet = None;
        }
        codec::write_welcome(&own, results.get().init_welcome());
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: endpoint_session::SubmitParams,
        mut results: endpoint_session::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let work = codec::read_work(params.get()?.get_order()?).map_err(to_capnp_error)?;
        let sink = params.get()?.get_sink()?;
        drop(params);
        match self.handler()?.submit(work, AnswerSender { sink }).await {
            SubmitReply::Accepted => results.get().set_accepted(true),
            SubmitReply::Refused(end) => codec::write_end(&end, results.get().init_refusal()),
        }
        Ok(())
    }

    async fn resume(
        self: Rc<Self>,
        params: endpoint_session::ResumeParams,
        mut results: endpoint_session::ResumeResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let sender = AnswerSender {
            sink: call.get_sink()?,
        };
        let key = codec::read_key(call.get_key()?);
        let found = self.handler()?.resume(key, call.get_offset(), sender);
        results.get().set_found(found);
        Ok(())
    }

    async fn revoke(
        self: Rc<Self>,
        params: endpoint_session::RevokeParams,
        mut results: endpoint_session::RevokeResults,
    ) -> Result<(), capnp::Error> {
        let key = codec::read_key(params.get()?.get_key()?);
        let verdict = self.handler()?.revoke(key);
        results.get().set_verdict(codec::write_verdict(verdict));
        Ok(())
    }

    async fn cancel(
        self: Rc<Self>,
        params: endpoint_session::CancelParams,
        _results: endpoint_session::CancelResults,
    ) -> Result<(), capnp::Error> {
        self.handler()?
            .cancel(codec::read_key(params.get()?.get_key()?));
        Ok(())
    }

    async fn heartbeat(
        self: Rc<Self>,
        params: endpoint_session::HeartbeatParams,
        mut results: endpoint_session::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let report = self
            .handler()?
            .heartbeat(call.get_sequence(), call.get_generation());
        codec::write_load(&report, results.get().init_report());
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: endpoint_session::ConfigureParams,
        mut results: endpoint_session::ConfigureResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let message = ConfigMessage {
            generation: call.get_generation(),
            config: Bytes::copy_from_slice(call.get_config()?),
        };
        results
            .get()
            .set_generation(self.handler()?.configure(message));
        Ok(())
    }

    async fn reserve(
        self: Rc<Self>,
        params: endpoint_session::ReserveParams,
        mut results: endpoint_session::ReserveResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let key = codec::read_key(call.get_key()?);
        let retention = Duration::from_millis(call.get_hold_ms());
        let reply = self.handler()?.reserve(key, call.get_tokens(), retention);
        results.get().set_granted(reply.granted);
        results.get().set_free_tokens(reply.free_tokens);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: endpoint_session::ReleaseParams,
        _results: endpoint_session::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        self.handler()?
            .release(codec::read_key(params.get()?.get_key()?));
        Ok(())
    }

    async fn segment(
        self: Rc<Self>,
        params: endpoint_session::SegmentParams,
        mut results: endpoint_session::SegmentResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let work = codec::read_work(call.get_order()?).map_err(to_capnp_error)?;
        let range = SegmentRange {
            start: call.get_start(),
            tokens: call.get_tokens(),
        };
        drop(params);
        let reply = self.handler()?.segment(work, range).await;
        results.get().set_locator(reply.locator.as_str());
        codec::write_end(&reply.end, results.get().init_end());
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        params: endpoint_session::DrainParams,
        mut results: endpoint_session::DrainResults,
    ) -> Result<(), capnp::Error> {
        let in_flight = self.handler()?.drain(params.get()?.get_leaving());
        results.get().set_in_flight(in_flight);
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: endpoint_session::OrderParams,
        mut results: endpoint_session::OrderResults,
    ) -> Result<(), capnp::Error> {
        let message =
            order_codec::read_order(params.get()?.get_order()?).map_err(to_capnp_error)?;
        drop(params);
        let reply = self.handler()?.order(message).await;
        order_codec::write_reply(&reply, results.get().init_reply());
        Ok(())
    }
}
