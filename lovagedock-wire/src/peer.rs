//! Both sides of a session between gateways.

use std::{rc::Rc, time::Duration};

use lovagedock::{
    ConfigBundle, PartUpdate, PullAnswer, SuspectUpdate, UsageAck, UsageReport, prelude::*,
};
use tokio::task::JoinHandle;

use crate::{
    codec,
    endpoint_client::{to_capnp_error, with_timeout},
    lovagedock_capnp::peer_session,
    messages::{PeerIdentity, WireError},
    part_codec::{read_part_updates, write_part_updates},
    stream::{SessionSystem, WireStream, client_system, server_system},
    suspect_codec::{read_updates, update_count, write_updates},
};

/// Handles the calls of another gateway.
pub trait PeerHandler: 'static {
    /// Returns this gateway's identity in response to an introduction.
    fn hello(&self, identity: PeerIdentity) -> PeerIdentity;
    /// Receives a complete configuration or a change to one; returns the generation that this
    /// gateway has afterwards.
    fn push(&self, bundle: ConfigBundle) -> Generation;
    /// Receives the generation that the other gateway has.
    fn offer(&self, generation: Generation);
    /// Returns the generation of this gateway, with the chunks that a gateway at generation `above`
    /// lacks.
    fn pull(&self, above: Generation) -> PullAnswer;
    /// Receives the usage of organisations at the other gateway; returns a confirmation, or `None`
    /// if the report is outdated.
    fn usage(&self, report: UsageReport) -> Option<UsageAck>;
    /// Receives updates from the other gateway about requests that were running on an engine when
    /// its process ended.
    fn suspects(&self, updates: Vec<SuspectUpdate>);
    /// Receives updates from the other gateway about parts of prompts that end engines.
    fn parts(&self, updates: Vec<PartUpdate>);
}

/// A session from one gateway to another; dropping it closes the connection.
pub struct PeerClient {
    session: peer_session::Client,
    rpc_task: JoinHandle<()>,
}

impl PeerClient {
    /// Starts a session on a connection; must be called on a `LocalSet`.
    pub fn new(stream: Box<dyn WireStream>) -> Self {
        let (system, session): (SessionSystem, peer_session::Client) = client_system(stream);
        let rpc_task = tokio::task::spawn_local(async move {
            let _ended: Result<(), capnp::Error> = system.await;
        });
        Self { session, rpc_task }
    }

    /// Introduces this process and returns the identity of the other side.
    pub async fn hello(
        &self,
        identity: &PeerIdentity,
        limit: Duration,
    ) -> Result<PeerIdentity, WireError> {
        let mut request = self.session.hello_request();
        codec::write_hello(identity, request.get().init_hello());
        let response = with_timeout(limit, request.send().promise).await?;
        codec::read_welcome(response.get()?.get_welcome()?)
    }

    /// Sends the part of the configuration that the peer lacks; returns the generation that it has
    /// afterwards.
    pub async fn push(
        &self,
        bundle: &ConfigBundle,
        limit: Duration,
    ) -> Result<Generation, WireError> {
        let mut request = self.session.push_request();
        request.get().set_bundle(&bundle.encode());
        let response = with_timeout(limit, request.send().promise).await?;
        Ok(response.get()?.get_generation())
    }

    /// Sends the generation of this gateway to the peer.
    pub async fn offer(&self, generation: Generation, limit: Duration) -> Result<(), WireError> {
        let mut request = self.session.offer_request();
        request.get().set_generation(generation);
        with_timeout(limit, request.send().promise).await?;
        Ok(())
    }

    /// Requests the peer's generation and the chunks that a gateway at generation `above` lacks.
    pub async fn pull(&self, above: Generation, limit: Duration) -> Result<PullAnswer, WireError> {
        let mut request = self.session.pull_request();
        request.get().set_above(above);
        let response = with_timeout(limit, request.send().promise).await?;
        codec::read_pull_answer(response.get()?)
    }

    /// Sends the usage of organisations at this gateway and returns the peer's confirmation.
    pub async fn usage(
        &self,
        report: &UsageReport,
        limit: Duration,
    ) -> Result<UsageAck, WireError> {
        let mut request = self.session.usage_request();
        codec::write_usage(report, request.get().init_report());
        let response = with_timeout(limit, request.send().promise).await?;
        codec::read_ack(response.get()?.get_ack()?)
    }
}

impl PeerClient {
    /// Sends updates about requests that were running on an engine when its process ended.
    pub async fn suspects(
        &self,
        updates: &[SuspectUpdate],
        limit: Duration,
    ) -> Result<(), WireError> {
        let mut request = self.session.suspects_request();
        write_updates(updates, request.get().init_news(update_count(updates)));
        with_timeout(limit, request.send().promise).await?;
        Ok(())
    }

    /// Sends updates about parts of prompts that end engines.
    pub async fn parts(&self, updates: &[PartUpdate], limit: Duration) -> Result<(), WireError> {
        let mut request = self.session.parts_request();
        let count = codec::list_length(updates.len());
        write_part_updates(updates, request.get().init_news(count));
        with_timeout(limit, request.send().promise).await?;
        Ok(())
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Runs one session until its connection ends; must be called on a `LocalSet`.
pub async fn serve_peer<H: PeerHandler>(
    stream: Box<dyn WireStream>,
    handler: Rc<H>,
) -> Result<(), WireError> {
    let client: peer_session::Client = capnp_rpc::new_client(SessionServer { handler });
    server_system(stream, client.client).await?;
    Ok(())
}

struct SessionServer<H> {
    handler: Rc<H>,
}

impl<H: PeerHandler> peer_session::Server for SessionServer<H> {
    async fn hello(
        self: Rc<Self>,
        params: peer_session::HelloParams,
        mut results: peer_session::HelloResults,
    ) -> Result<(), capnp::Error> {
        let identity = codec::read_hello(params.get()?.get_hello()?).map_err(to_capnp_error)?;
        let own = self.handler.hello(identity);
        codec::write_welcome(&own, results.get().init_welcome());
        Ok(())
    }

    async fn push(
        self: Rc<Self>,
        params: peer_session::PushParams,
        mut results: peer_session::PushResults,
    ) -> Result<(), capnp::Error> {
        let bundle = codec::read_bundle(params.get()?.get_bundle()?).map_err(to_capnp_error)?;
        results.get().set_generation(self.handler.push(bundle));
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: peer_session::OfferParams,
        _results: peer_session::OfferResults,
    ) -> Result<(), capnp::Error> {
        self.handler.offer(params.get()?.get_generation());
        Ok(())
    }

    async fn pull(
        self: Rc<Self>,
        params: peer_session::PullParams,
        mut results: peer_session::PullResults,
    ) -> Result<(), capnp::Error> {
        let answer = self.handler.pull(params.get()?.get_above());
        codec::write_pull_answer(&answer, results.get());
        Ok(())
    }

    async fn usage(
        self: Rc<Self>,
        params: peer_session::UsageParams,
        mut results: peer_session::UsageResults,
    ) -> Result<(), capnp::Error> {
        let report = codec::read_usage(params.get()?.get_report()?).map_err(to_capnp_error)?;
        match self.handler.usage(report) {
            Some(ack) => {
                codec::write_ack(ack, results.get().init_ack());
                Ok(())
            }
            None => Err(capnp::Error::failed("the report is not current".to_owned())),
        }
    }

    async fn suspects(
        self: Rc<Self>,
        params: peer_session::SuspectsParams,
        _results: peer_session::SuspectsResults,
    ) -> Result<(), capnp::Error> {
        let updates = read_updates(params.get()?.get_news()?).map_err(to_capnp_error)?;
        self.handler.suspects(updates);
        Ok(())
    }

    async fn parts(
        self: Rc<Self>,
        params: peer_session::PartsParams,
        _results: peer_session::PartsResults,
    ) -> Result<(), capnp::Error> {
        let updates = read_part_updates(params.get()?.get_news()?).map_err(to_capnp_error)?;
        self.handler.parts(updates);
        Ok(())
    }
}
