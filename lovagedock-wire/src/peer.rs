//! Both ends of a session between gateways.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lovagedock::{UsageAck, UsageReport, prelude::*};
use tokio::task::JoinHandle;

use crate::{
    codec,
    endpoint_client::{failed, within},
    lovagedock_capnp::peer_session,
    messages::{ConfigMessage, PeerIdentity, WireError},
    stream::{SessionSystem, WireStream, client_system, server_system},
};

/// What a gateway does with the calls of another gateway.
pub trait PeerHandler: 'static {
    /// Answers an introduction.
    fn hello(&self, identity: PeerIdentity) -> PeerIdentity;
    /// Whether a configuration of this generation is wanted.
    fn wants(&self, generation: Generation) -> bool;
    /// Takes a configuration; returns the generation in force.
    fn configure(&self, message: ConfigMessage) -> Generation;
    /// The newest configuration, if it is above a generation.
    fn latest(&self, above: Generation) -> Option<ConfigMessage>;
    /// Takes what organisations use at the other gateway; confirms it unless it is of no use.
    fn usage(&self, report: UsageReport) -> Option<UsageAck>;
}

/// A session from one gateway to another; dropping it closes the connection.
pub struct PeerClient {
    session: peer_session::Client,
    driver: JoinHandle<()>,
}

impl PeerClient {
    /// Starts a session on a connection; must be called on a `LocalSet`.
    pub fn new(stream: Box<dyn WireStream>) -> Self {
        let (system, session): (SessionSystem, peer_session::Client) = client_system(stream);
        let driver = tokio::task::spawn_local(async move {
            let _ended: Result<(), capnp::Error> = system.await;
        });
        Self { session, driver }
    }

    /// Introduces this process and learns who the other end is.
    pub async fn hello(
        &self,
        identity: &PeerIdentity,
        limit: Duration,
    ) -> Result<PeerIdentity, WireError> {
        let mut request = self.session.hello_request();
        codec::write_hello(identity, request.get().init_hello());
        let response = within(limit, request.send().promise).await?;
        codec::read_welcome(response.get()?.get_welcome()?)
    }

    /// Asks whether the peer lacks a generation.
    pub async fn offer(&self, generation: Generation, limit: Duration) -> Result<bool, WireError> {
        let mut request = self.session.offer_request();
        request.get().set_generation(generation);
        let response = within(limit, request.send().promise).await?;
        Ok(response.get()?.get_wanted())
    }

    /// Hands over a configuration; returns the generation in force at the peer.
    pub async fn configure(
        &self,
        message: &ConfigMessage,
        limit: Duration,
    ) -> Result<Generation, WireError> {
        let mut request = self.session.configure_request();
        request.get().set_generation(message.generation);
        request.get().set_config(&message.config);
        let response = within(limit, request.send().promise).await?;
        Ok(response.get()?.get_generation())
    }

    /// Fetches the peer's newest configuration, if it is above a generation.
    pub async fn latest(
        &self,
        above: Generation,
        limit: Duration,
    ) -> Result<Option<ConfigMessage>, WireError> {
        let mut request = self.session.latest_request();
        request.get().set_above(above);
        let response = within(limit, request.send().promise).await?;
        let reply = response.get()?;
        if reply.get_generation() <= above {
            return Ok(None);
        }
        Ok(Some(ConfigMessage {
            generation: reply.get_generation(),
            config: Bytes::copy_from_slice(reply.get_config()?),
        }))
    }

    /// Tells the peer what organisations use here, and returns its confirmation.
    pub async fn usage(
        &self,
        report: &UsageReport,
        limit: Duration,
    ) -> Result<UsageAck, WireError> {
        let mut request = self.session.usage_request();
        codec::write_usage(report, request.get().init_report());
        let response = within(limit, request.send().promise).await?;
        codec::read_ack(response.get()?.get_ack()?)
    }
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.driver.abort();
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
        let identity = codec::read_hello(params.get()?.get_hello()?).map_err(failed)?;
        let own = self.handler.hello(identity);
        codec::write_welcome(&own, results.get().init_welcome());
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: peer_session::OfferParams,
        mut results: peer_session::OfferResults,
    ) -> Result<(), capnp::Error> {
        let wanted = self.handler.wants(params.get()?.get_generation());
        results.get().set_wanted(wanted);
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: peer_session::ConfigureParams,
        mut results: peer_session::ConfigureResults,
    ) -> Result<(), capnp::Error> {
        let call = params.get()?;
        let message = ConfigMessage {
            generation: call.get_generation(),
            config: Bytes::copy_from_slice(call.get_config()?),
        };
        results
            .get()
            .set_generation(self.handler.configure(message));
        Ok(())
    }

    async fn latest(
        self: Rc<Self>,
        params: peer_session::LatestParams,
        mut results: peer_session::LatestResults,
    ) -> Result<(), capnp::Error> {
        if let Some(message) = self.handler.latest(params.get()?.get_above()) {
            results.get().set_generation(message.generation);
            results.get().set_config(&message.config);
        }
        Ok(())
    }

    async fn usage(
        self: Rc<Self>,
        params: peer_session::UsageParams,
        mut results: peer_session::UsageResults,
    ) -> Result<(), capnp::Error> {
        let report = codec::read_usage(params.get()?.get_report()?).map_err(failed)?;
        match self.handler.usage(report) {
            Some(ack) => {
                codec::write_ack(ack, results.get().init_ack());
                Ok(())
            }
            None => Err(capnp::Error::failed("the report is not current".to_owned())),
        }
    }
}
