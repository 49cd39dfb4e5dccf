//! Sessions between gateways: configuration goes from peer to peer, not from the store to each.

use std::{
    cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, sync::Arc, thread,
    time::Duration,
};

use lovagedock::{UsageAck, UsageReport, prelude::*};
use lovagedock_daemon::Transport;
use lovagedock_wire::{
    ConfigMessage, PROTOCOL_VERSION, PeerClient, PeerHandler, PeerIdentity, WireError, serve_peer,
};
use slog::{Logger, debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::watch,
    task::{LocalSet, spawn_local},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

use crate::{
    adopt::{AdoptError, ConfigAdopter},
    connect::{ConnectorFactory, PeerConnector},
    context::GatewayContext,
    limits::{LimitDesk, PeerReport, exchange_interval},
};

/// Pause after an accept that failed, since such errors repeat at once until files are closed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest life of a session that another gateway opened. One whose other end vanished without a
/// word is gone after it; a gateway that lives opens another.
const SESSION_LIFE: Duration = Duration::from_secs(60);
/// Time for one call.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Time between comparisons with peers, the backstop for a push that was lost.
const COMPARE_INTERVAL: Duration = Duration::from_secs(2);

/// What the thread for peers needs.
pub(crate) struct PeerWorker {
    /// Configuration and fleet.
    pub(crate) context: GatewayContext,
    /// Where configurations come into force.
    pub(crate) adopter: Arc<ConfigAdopter>,
    /// How to connect to peers.
    pub(crate) connectors: ConnectorFactory,
    /// How peers connect here.
    pub(crate) transport: Transport,
    /// Limits of organisations.
    pub(crate) limits: LimitDesk,
    /// Gateways to ask before there is a configuration.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Log.
    pub(crate) log: Logger,
}

impl PeerWorker {
    /// Serves peers and exchanges configuration until `stop` is dropped.
    pub(crate) fn start(
        self,
        listener: std::net::TcpListener,
        stop: watch::Receiver<()>,
    ) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || self.run(listener, stop))?;
        Ok(())
    }

    fn run(self, listener: std::net::TcpListener, mut stop: watch::Receiver<()>) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.log, "no runtime for peers"; "error" => %error);
                return;
            }
        };
        let worker = Rc::new(self);
        LocalSet::new().block_on(&runtime, async {
            tokio::select! {
                () = Rc::clone(&worker).accept(listener) => {}
                () = Rc::clone(&worker).push_adopted() => {}
                () = Rc::clone(&worker).compare() => {}
                () = Rc::clone(&worker).exchange_usage() => {}
                _ = stop.changed() => {}
            }
        });
    }

    async fn accept(self: Rc<Self>, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                warn!(self.log, "cannot listen for peers"; "error" => %error);
                return std::future::pending().await;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let worker = Rc::clone(&self);
                    spawn_local(async move {
                        let end = worker.serve(stream).await;
                        debug!(worker.log, "peer's session ended";
                            "peer" => %peer, "end" => format!("{end:?}"));
                    });
                }
                Err(error) => {
                    warn!(self.log, "cannot accept a peer"; "error" => %error);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), WireError> {
        let stream = self.transport.accept(stream).await;
        let stream = stream.map_err(|error| WireError::Disconnected(error.to_string()))?;
        let session = Rc::new(PeerSession {
            context: self.context.clone(),
            adopter: Arc::clone(&self.adopter),
            limits: self.limits.clone(),
            peer: RefCell::new(None),
        });
        match timeout(SESSION_LIFE, serve_peer(Box::new(stream), session)).await {
            Ok(ended) => ended,
            Err(_) => Ok(()),
        }
    }

    /// Hands each configuration that comes into force here to the peers that lack it.
    async fn push_adopted(self: Rc<Self>) {
        let mut adopted = self.adopter.subscribe();
        while adopted.changed().await.is_ok() {
            for address in self.peers() {
                let worker = Rc::clone(&self);
                spawn_local(async move {
                    if let Err(error) = worker.push(address).await {
                        debug!(worker.log, "no push to a peer"; "peer" => %address, "error" => %error);
                    }
                });
            }
        }
    }

    async fn push(&self, address: SocketAddr) -> Result<(), WireError> {
        let client = self.open(address).await?;
        let active = self.context.config.load_full();
        if client.offer(active.generation, CALL_TIME).await? {
            let message = ConfigMessage {
                generation: active.generation,
                config: active.text.clone(),
            };
            client.configure(&message, CALL_TIME).await?;
        }
        Ok(())
    }

    /// Asks one peer after the other for something newer.
    ///
    /// A push can be lost with its connection, and a gateway that starts while the store is out
    /// of reach has nobody else to ask: comparing makes both a matter of seconds.
    async fn compare(self: Rc<Self>) {
        let mut ticks = interval(COMPARE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut turn = 0;
        loop {
            ticks.tick().await;
            let peers = self.peers();
            if peers.is_empty() {
                continue;
            }
            let asked = match self.context.generation() {
                // Before the first configuration every peer is asked, and the highest wins.
                0 => peers,
                _ => vec![peers[turn % peers.len()]],
            };
            turn += 1;
            for address in asked {
                if let Err(error) = self.pull(address).await {
                    debug!(self.log, "no answer from a peer"; "peer" => %address, "error" => %error);
                }
            }
        }
    }

    async fn pull(&self, address: SocketAddr) -> Result<(), WireError> {
        let client = self.open(address).await?;
        let latest = client.latest(self.context.generation(), CALL_TIME).await?;
        if let Some(message) = latest {
            info!(self.log, "configuration from a peer";
                "peer" => %address, "generation" => message.generation);
            adopt(&self.adopter, message);
        }
        Ok(())
    }

    /// Tells the other gateways what organisations use here, so that limits hold over all.
    async fn exchange_usage(self: Rc<Self>) {
        let mut ticks = interval(exchange_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let clients: Rc<RefCell<HashMap<GatewayId, Rc<PeerClient>>>> = Rc::default();
        loop {
            ticks.tick().await;
            for report in self.limits.reports(self.context.clock.now()) {
                let worker = Rc::clone(&self);
                let clients = Rc::clone(&clients);
                spawn_local(async move {
                    let peer = report.peer.clone();
                    if let Err(error) = worker.send_usage(report, &clients).await {
                        clients.borrow_mut().remove(&peer);
                        debug!(worker.log, "no exchange with a peer"; "peer" => &*peer, "error" => %error);
                    }
                });
            }
        }
    }

    async fn send_usage(
        &self,
        PeerReport { peer, report }: PeerReport,
        clients: &RefCell<HashMap<GatewayId, Rc<PeerClient>>>,
    ) -> Result<(), WireError> {
        let known = clients.borrow().get(&peer).cloned();
        let client = match known {
            Some(client) => client,
            None => {
                let address = self.address_of(&peer)?;
                let client = Rc::new(self.open(address).await?);
                clients
                    .borrow_mut()
                    .insert(peer.clone(), Rc::clone(&client));
                client
            }
        };
        let ack = client.usage(&report, CALL_TIME).await?;
        self.limits.confirmed(self.context.clock.now(), peer, ack);
        Ok(())
    }

    fn address_of(&self, peer: &GatewayId) -> Result<SocketAddr, WireError> {
        let active = self.context.config.load();
        let named = active
            .fleet
            .gateways
            .iter()
            .find(|gateway| gateway.id == *peer);
        let gone = || WireError::Disconnected("not in the configuration".to_owned());
        named.map(|gateway| gateway.peer_address).ok_or_else(gone)
    }

    async fn open(&self, address: SocketAddr) -> Result<PeerClient, WireError> {
        let connector: Rc<dyn PeerConnector> = self.connectors.connector();
        let client = PeerClient::new(connector.connect(address, CALL_TIME).await?);
        let welcome = client.hello(&identity(&self.context), CALL_TIME).await?;
        let now = self.context.clock.now();
        self.limits
            .connected(now, welcome.name.into(), welcome.incarnation);
        Ok(client)
    }

    /// Addresses of the other gateways; the seeds while no configuration names any.
    fn peers(&self) -> Vec<SocketAddr> {
        let active = self.context.config.load();
        let named = active
            .fleet
            .gateways
            .iter()
            .filter(|gateway| gateway.id != self.context.name)
            .map(|gateway| gateway.peer_address);
        let mut addresses: Vec<SocketAddr> = named.collect();
        if addresses.is_empty() {
            addresses.clone_from(&self.seeds);
        }
        addresses
    }
}

struct PeerSession {
    context: GatewayContext,
    adopter: Arc<ConfigAdopter>,
    limits: LimitDesk,
    /// Who is at the other end, once it has said so.
    peer: RefCell<Option<GatewayId>>,
}

impl PeerHandler for PeerSession {
    fn hello(&self, peer: PeerIdentity) -> PeerIdentity {
        let name = GatewayId::from(peer.name);
        let now = self.context.clock.now();
        self.limits.connected(now, name.clone(), peer.incarnation);
        self.peer.replace(Some(name));
        identity(&self.context)
    }

    fn wants(&self, generation: Generation) -> bool {
        generation > self.context.generation()
    }

    fn configure(&self, message: ConfigMessage) -> Generation {
        adopt(&self.adopter, message);
        self.context.generation()
    }

    fn latest(&self, above: Generation) -> Option<ConfigMessage> {
        let active = self.context.config.load_full();
        (active.generation > above).then(|| ConfigMessage {
            generation: active.generation,
            config: active.text.clone(),
        })
    }

    fn usage(&self, report: UsageReport) -> Option<UsageAck> {
        let peer = self.peer.borrow().clone()?;
        self.limits.received(self.context.clock.now(), peer, report)
    }
}

fn identity(context: &GatewayContext) -> PeerIdentity {
    PeerIdentity {
        version: PROTOCOL_VERSION,
        name: context.name.to_string(),
        incarnation: context.incarnation,
        generation: context.generation(),
    }
}

fn adopt(adopter: &ConfigAdopter, message: ConfigMessage) {
    match adopter.adopt(message.generation, message.config) {
        Ok(()) | Err(AdoptError::NotNewer) => {}
        Err(AdoptError::Malformed(detail)) => adopter.refused(&detail),
    }
}
