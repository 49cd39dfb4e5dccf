//! Sessions between gateways, which exchange configurations, usage of limits and suspected
//! requests.

mod clients;
mod session;

use std::{io, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};

use lovagedock::{AdoptionEvent, PartUpdate, SuspectUpdate, prelude::*};
use lovagedock_daemon::Transport;
use lovagedock_wire::{PeerClient, WireError, serve_peer};
use slog::{Logger, debug, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender},
        watch,
    },
    task::{LocalSet, spawn_local},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

pub(crate) use clients::PeerClients;

use crate::{
    adopt::ConfigAdopter,
    connect::ConnectorFactory,
    context::GatewayContext,
    limits::{OrganisationLimiter, PeerReport, usage_exchange_interval},
    relay::{ConfigRelay, RelayParts, StoreRequest},
    suspects::{SUSPECT_SEND_INTERVAL, SuspectTracker},
};
use session::PeerSession;

/// Delay after a failed accept. Errors such as too many open files repeat at once until files are
/// closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum age of a session that another gateway opened. It removes sessions whose other end
/// disappeared without closing them; a running gateway opens a new session.
const MAX_SESSION_AGE: Duration = Duration::from_secs(60);
/// Timeout of one call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Dependencies of the peer thread.
pub(crate) struct PeerWorker {
    /// Configuration and fleet.
    pub(crate) context: GatewayContext,
    /// Puts configurations in force.
    pub(crate) adopter: Arc<ConfigAdopter>,
    /// Opens connections to peers.
    pub(crate) connectors: ConnectorFactory,
    /// Accepts connections of peers.
    pub(crate) transport: Transport,
    /// Usage limits of organisations.
    pub(crate) limits: OrganisationLimiter,
    /// Requests that may have caused engines to exit.
    pub(crate) suspects: SuspectTracker,
    /// Gateways to ask while no configuration is in force.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Requests of the relay to the store.
    pub(crate) store_requests: UnboundedSender<StoreRequest>,
    /// Log.
    pub(crate) log: Logger,
}

/// State that the tasks on the peer thread share.
struct PeerExchange {
    worker: PeerWorker,
    clients: Rc<PeerClients>,
    relay: Rc<ConfigRelay>,
}

impl PeerWorker {
    /// Serves peers and exchanges configurations until the sender of `stop` is dropped; `events`
    /// are the results of the store requests.
    pub(crate) fn start(
        self,
        listener: std::net::TcpListener,
        events: UnboundedReceiver<AdoptionEvent>,
        stop: watch::Receiver<()>,
    ) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || self.run(listener, events, stop))?;
        Ok(())
    }

    fn run(
        self,
        listener: std::net::TcpListener,
        events: UnboundedReceiver<AdoptionEvent>,
        mut stop: watch::Receiver<()>,
    ) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.log, "cannot create the runtime for peers"; "error" => %error);
                return;
            }
        };
        let exchange = Rc::new(PeerExchange::new(self));
        LocalSet::new().block_on(&runtime, async {
            tokio::select! {
                () = Rc::clone(&exchange).accept(listener) => {}
                () = Rc::clone(&exchange.relay).run(events) => {}
                () = Rc::clone(&exchange).exchange_usage() => {}
                () = Rc::clone(&exchange).send_suspects() => {}
                _ = stop.changed() => {}
            }
        });
    }
}

impl PeerExchange {
    fn new(worker: PeerWorker) -> Self {
        let clients = Rc::new(PeerClients::new(
            worker.context.clone(),
            worker.limits.clone(),
            worker.connectors.connector(),
            &worker.seeds,
        ));
        let relay = Rc::new(ConfigRelay::new(RelayParts {
            context: worker.context.clone(),
            adopter: Arc::clone(&worker.adopter),
            clients: Rc::clone(&clients),
            seeds: worker.seeds.clone(),
            store_requests: worker.store_requests.clone(),
            log: worker.log.clone(),
        }));
        Self {
            worker,
            clients,
            relay,
        }
    }

    async fn accept(self: Rc<Self>, listener: std::net::TcpListener) {
        let log = &self.worker.log;
        let listener = match TcpListener::from_std(listener) {
            Ok(listener) => listener,
            Err(error) => {
                warn!(log, "cannot listen for peers"; "error" => %error);
                return std::future::pending().await;
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let exchange = Rc::clone(&self);
                    spawn_local(async move {
                        let end = exchange.serve(stream).await;
                        debug!(exchange.worker.log, "peer's session ended";
                            "peer" => %peer, "end" => format!("{end:?}"));
                    });
                }
                Err(error) => {
                    warn!(log, "cannot accept a peer's connection"; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> Result<(), WireError> {
        let stream = self.worker.transport.accept(stream).await;
        let stream = stream.map_err(|error| WireError::Disconnected(error.to_string()))?;
        let session = Rc::new(PeerSession::new(
            self.worker.context.clone(),
            self.worker.limits.clone(),
            self.worker.suspects.clone(),
            Rc::clone(&self.relay),
        ));
        match timeout(MAX_SESSION_AGE, serve_peer(Box::new(stream), session)).await {
            Ok(ended) => ended,
            Err(_) => Ok(()),
        }
    }

    /// Sends the usage of organisations at this gateway to the others, so that limits apply across
    /// all gateways.
    async fn exchange_usage(self: Rc<Self>) {
        let mut ticks = interval(usage_exchange_interval());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.worker.context.clock.now();
            for report in self.worker.limits.due_usage_reports(now) {
                let exchange = Rc::clone(&self);
                spawn_local(async move {
                    let peer = report.peer.clone();
                    if let Err(error) = exchange.send_usage(report).await {
                        debug!(exchange.worker.log, "usage exchange with a peer failed";
                            "peer" => &*peer, "error" => %error);
                    }
                });
            }
        }
    }

    /// Sends updates about suspected requests to the other gateways, so that every gateway
    /// quarantines them.
    async fn send_suspects(self: Rc<Self>) {
        let mut ticks = interval(SUSPECT_SEND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let now = self.worker.context.clock.now();
            let updates = self.worker.suspects.take_updates(now);
            let parts = self.worker.suspects.take_part_updates(now);
            if updates.is_empty() && parts.is_empty() {
                continue;
            }
            let updates: Rc<[SuspectUpdate]> = updates.into();
            let parts: Rc<[PartUpdate]> = parts.into();
            for peer in self.peers() {
                let exchange = Rc::clone(&self);
                let (updates, parts) = (Rc::clone(&updates), Rc::clone(&parts));
                spawn_local(async move {
                    let call = async |client: &PeerClient| {
                        if !updates.is_empty() {
                            client.suspects(&updates, CALL_TIMEOUT).await?;
                        }
                        if !parts.is_empty() {
                            client.parts(&parts, CALL_TIMEOUT).await?;
                        }
                        Ok(())
                    };
                    if let Err(error) = exchange.clients.call(&peer, call).await {
                        debug!(exchange.worker.log, "cannot send suspects to a peer";
                            "peer" => &*peer, "error" => %error);
                    }
                });
            }
        }
    }

    /// The other gateways of the configuration.
    fn peers(&self) -> Vec<GatewayId> {
        let context = &self.worker.context;
        let config = context.config.load();
        let gateways = config.fleet.gateways.iter().map(|gateway| &gateway.id);
        let others = gateways.filter(|id| **id != context.name);
        others.cloned().collect()
    }

    async fn send_usage(&self, PeerReport { peer, report }: PeerReport) -> Result<(), WireError> {
        let call = async |client: &PeerClient| client.usage(&report, CALL_TIMEOUT).await;
        let ack = self.clients.call(&peer, call).await?;
        let now = self.worker.context.clock.now();
        self.worker.limits.handle_ack(now, peer, ack);
        Ok(())
    }
}
