//! Tells other gateways what this one has placed.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use lovagedock::{
    EndpointProcess, ListingVersion, LoadUpdates, MessageOrder, PeerSequences, RateUpdate,
    RequestFingerprint, SuspectQueue, SuspectUpdate, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use parking_lot::Mutex;
use slog::{debug, info};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{Instant, sleep, sleep_until},
};

use super::{
    board::{FleetBoard, TICK_INTERVAL},
    peer_message::{PeerEntry, PeerMessage, read_datagram, write_datagram},
    relay::{pull_endpoints, pull_traffic},
};

/// Least time between two datagrams. Shorter, and a burst costs a system call for each request and
/// peer; longer, and gateways fill the same slot twice.
const SEND_INTERVAL: Duration = Duration::from_millis(8);

/// Time until peers are told that work has ended. They leave a slot that became free to its former
/// user for 20 ms and more, so that nobody waits for this; what is placed meanwhile takes it along.
const ENDED_DELAY: Duration = Duration::from_millis(24);

/// Longest time between two datagrams. Peers take a gateway that is silent for 1.5 s for gone, and
/// loads that have not changed are told again with the next datagram after a second.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints in one datagram; with about 50 bytes each it stays below a usual packet.
const LOADS_PER_DATAGRAM: usize = 24;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// Ports that are tried when any free one will do.
const PORT_TRIES: usize = 32;

/// News of requests and of endpoints' rate limits for peers.
struct RequestNews {
    refused: Vec<RequestFingerprint>,
    suspects: Vec<SuspectUpdate>,
    limits: Vec<RateUpdate>,
    leaving: Vec<EndpointProcess>,
}

impl RequestNews {
    fn is_empty(&self) -> bool {
        self.refused.is_empty()
            && self.suspects.is_empty()
            && self.limits.is_empty()
            && self.leaving.is_empty()
    }
}

/// Binds one port for datagrams and connections.
///
/// With port 0 the system picks a port that is free for the one, and somebody may have it for the
/// other; then the next is tried.
async fn bind_both(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..tries {
        let listener = TcpListener::bind(address).await?;
        let socket = UdpSocket::bind(listener.local_addr()?).await;
        result = socket.map(|socket| (socket, listener));
        if result.is_ok() {
            break;
        }
    }
    result
}

/// Exchanges datagrams with other gateways.
pub(crate) struct PeerExchange {
    board: Arc<FleetBoard>,
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: Incarnation,
    heard: Mutex<PeerSequences>,
    pulling: AtomicBool,
}

impl PeerExchange {
    /// Listens on the gateway's address for peers, for datagrams and for connections.
    pub(crate) async fn bind(
        board: Arc<FleetBoard>,
        address: SocketAddr,
    ) -> io::Result<(Self, TcpListener)> {
        let (socket, listener) = bind_both(address).await?;
        let exchange = Self {
            board,
            address: socket.local_addr()?,
            socket,
            pulling: AtomicBool::new(false),
            incarnation: rand::random(),
            heard: Mutex::default(),
        };
        Ok((exchange, listener))
    }

    /// The address that peers send to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells peers of changes for as long as the gateway lives.
    pub(crate) async fn send_forever(self: Arc<Self>) {
        let mut told = LoadUpdates::new();
        let mut telling = SuspectQueue::new();
        let mut heartbeat_at = Instant::now();
        let mut sequence = 0;
        let mut told_versions = (0, ListingVersion::default());
        loop {
            self.await_news(heartbeat_at).await;
            let loads = self.board.take_load_news(&mut told);
            let news = RequestNews {
                refused: self.board.take_untold_refusals(),
                suspects: self.board.take_suspect_news(&mut telling),
                limits: self.board.take_rate_news(),
                leaving: self.board.take_leaving_news(),
            };
            let versions = (
                self.board.config().map_or(0, |config| config.version),
                self.board.listing_version(),
            );
            let is_new = std::mem::replace(&mut told_versions, versions) != versions;
            let is_due = Instant::now() >= heartbeat_at;
            let greets = self.board.take_greeting();
            if !loads.is_empty() || !news.is_empty() || is_new || is_due || greets {
                let entries = loads.iter().map(|(life, load)| PeerEntry::new(life, load));
                let entries: Vec<PeerEntry> = entries.collect();
                self.send(&entries, news, &mut sequence).await;
                heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
            }
            sleep(SEND_INTERVAL).await;
        }
    }

    /// Forgets what peers no longer tell, for as long as the gateway lives.
    pub(crate) async fn tick_forever(self: Arc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.board.tick();
        }
    }

    /// Waits until there is something to tell peers, and until `heartbeat_at` at the latest.
    async fn await_news(&self, heartbeat_at: Instant) {
        let ended = async {
            self.board.ended.notified().await;
            sleep(ENDED_DELAY).await;
        };
        tokio::select! {
            () = self.board.placed.notified() => {}
            () = ended => {}
            () = sleep_until(heartbeat_at) => {}
        }
    }

    async fn send(&self, entries: &[PeerEntry], mut news: RequestNews, sequence: &mut u64) {
        let peers = self.board.peers();
        let empty: [&[PeerEntry]; 1] = [&[]];
        let chunks: Vec<&[PeerEntry]> = match entries.is_empty() {
            true => empty.to_vec(),
            false => entries.chunks(LOADS_PER_DATAGRAM).collect(),
        };
        for chunk in chunks {
            *sequence += 1;
            let message = PeerMessage {
                gateway: self.board.name.clone(),
                incarnation: self.incarnation,
                sequence: *sequence,
                address: self.address,
                store_reachable: self.board.is_store_reachable(),
                config: self.board.config().map_or(0, |config| config.version),
                serving: self.board.is_ready(),
                endpoints: self.board.listing_version(),
                loads: chunk.to_vec(),
                refused: std::mem::take(&mut news.refused),
                suspects: std::mem::take(&mut news.suspects),
                limits: std::mem::take(&mut news.limits),
                leaving: std::mem::take(&mut news.leaving),
            };
            let Ok(bytes) = write_datagram(self.board.fleet_tag, &message) else {
                continue;
            };
            for peer in &peers {
                if let Err(error) = self.socket.send_to(&bytes, peer.address).await {
                    debug!(self.board.log, "cannot tell a peer";
                        "peer" => &*peer.name, "error" => %error);
                }
            }
        }
    }

    /// Takes in what peers tell for as long as the gateway lives.
    pub(crate) async fn receive_forever(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram to a peer that is down is told as an error of this socket.
                continue;
            };
            match read_datagram(self.board.fleet_tag, &buffer[..length]) {
                Ok(message) => Arc::clone(&self).receive(message),
                Err(problem) => {
                    metrics::counter!("lovagedock_peer_datagrams_refused_total",
                        "problem" => problem.as_str())
                    .increment(1);
                }
            }
        }
    }

    /// Takes newer state from a peer. Every peer tells of a change at about the same time; one
    /// answer is enough, and what it lacks comes with the next message.
    async fn pull(&self, peer: SocketAddr, config: bool, endpoints: bool) {
        if self.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        if config {
            pull_traffic(&self.board, peer).await;
        }
        if endpoints {
            pull_endpoints(&self.board, peer).await;
        }
        self.pulling.store(false, Ordering::Release);
    }

    fn receive(self: Arc<Self>, message: PeerMessage) {
        if message.gateway == self.board.name {
            return;
        }
        let news =
            self.heard
                .lock()
                .record(&message.gateway, message.incarnation, message.sequence);
        match news {
            MessageOrder::Latest => {}
            MessageOrder::Stale => return,
            MessageOrder::Restarted => {
                info!(self.board.log, "peer restarted"; "peer" => &*message.gateway);
                self.board.forget_peer(&message.gateway);
            }
        }
        // A gateway that started later is not in the list that was read at the start.
        self.board.gateway_changed(GatewayEntry {
            name: message.gateway.clone(),
            address: message.address,
        });
        self.board
            .hear_contact(&message.gateway, message.store_reachable);
        self.board.note_era(message.endpoints.position.era, "peer");
        let known = self.board.config().map_or(0, |config| config.version);
        let newer_config = message.config > known;
        let newer_endpoints = message.endpoints > self.board.listing_version();
        if message.serving && !newer_config {
            self.board.set_hears_serving();
        }
        if newer_config || newer_endpoints {
            let exchange = Arc::clone(&self);
            let peer = message.address;
            tokio::spawn(async move { exchange.pull(peer, newer_config, newer_endpoints).await });
        }
        let loads = message
            .loads
            .into_iter()
            .map(PeerEntry::into_load)
            .collect();
        self.board.hear(&message.gateway, loads, message.refused);
        self.board.hear_suspects(message.suspects);
        self.board.hear_limits(&message.gateway, message.limits);
        self.board.hear_leaving(message.leaving);
    }
}
