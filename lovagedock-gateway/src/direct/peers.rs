//! Exchanges placed load and other state with peers.

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
    peer_message::{LoadEntry, PeerMessage, read_datagram, write_datagram},
    peer_sync::{pull_endpoints, pull_traffic},
    state::{GatewayState, TICK_INTERVAL},
};

/// Minimum time between two datagrams. With a shorter one, a burst of requests costs a system call
/// for each request and peer. With a longer one, gateways fill the same slot twice.
const SEND_INTERVAL: Duration = Duration::from_millis(8);

/// Delay until peers are notified that work has ended. For 20 ms or more, a freed slot is used only
/// by the gateway that freed it, so no peer waits for this update. A placement in the meantime
/// sends it as well.
const DEFERRED_UPDATE_DELAY: Duration = Duration::from_millis(24);

/// Maximum time between two datagrams. Peers drop a gateway that is silent for 1.5 s, and unchanged
/// loads are repeated with the next datagram after a second.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of endpoints in one datagram. With about 50 bytes each, it stays below the usual
/// packet size.
const LOADS_PER_DATAGRAM: usize = 24;

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// Number of ports that are tried if the settings allow any free port.
const PORT_ATTEMPTS: usize = 32;

/// Updates about requests and endpoints that are sent to peers.
struct PeerNotices {
    refused: Vec<RequestFingerprint>,
    suspects: Vec<SuspectUpdate>,
    limits: Vec<RateUpdate>,
    cold_limits: Vec<RateUpdate>,
    leaving: Vec<EndpointProcess>,
}

impl PeerNotices {
    fn is_empty(&self) -> bool {
        self.refused.is_empty()
            && self.suspects.is_empty()
            && self.limits.is_empty()
            && self.cold_limits.is_empty()
            && self.leaving.is_empty()
    }
}

/// Binds the same port for datagrams and for connections.
///
/// With port 0 the system picks a port that is free for connections, but the same port may be in
/// use for datagrams. Then another port is tried.
async fn bind_same_port(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let attempts = if address.port() == 0 {
        PORT_ATTEMPTS
    } else {
        1
    };
    let mut result = Err(io::ErrorKind::AddrInUse.into());
    for _ in 0..attempts {
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
    state: Arc<GatewayState>,
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: Incarnation,
    peer_sequences: Mutex<PeerSequences>,
    pulling: AtomicBool,
}

impl PeerExchange {
    /// Binds the gateway's address for peers, for datagrams and for connections.
    pub(crate) async fn bind(
        state: Arc<GatewayState>,
        address: SocketAddr,
    ) -> io::Result<(Self, TcpListener)> {
        let (socket, listener) = bind_same_port(address).await?;
        let exchange = Self {
            state,
            address: socket.local_addr()?,
            socket,
            pulling: AtomicBool::new(false),
            incarnation: rand::random(),
            peer_sequences: Mutex::default(),
        };
        Ok((exchange, listener))
    }

    /// Returns the address to which peers send.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends changes to peers for the lifetime of the gateway.
    pub(crate) async fn run_sender(self: Arc<Self>) {
        let mut load_updates = LoadUpdates::new();
        let mut suspect_queue = SuspectQueue::new();
        let mut heartbeat_at = Instant::now();
        let mut sequence = 0;
        let mut sent_versions = (0, ListingVersion::default(), Vec::new());
        loop {
            self.wait_for_update(heartbeat_at).await;
            let loads = self.state.take_load_updates(&mut load_updates);
            let notices = PeerNotices {
                refused: self.state.take_unsent_refusals(),
                suspects: self.state.take_suspect_updates(&mut suspect_queue),
                limits: self.state.take_rate_updates(),
                cold_limits: self.state.take_cold_updates(),
                leaving: self.state.take_leaving_notices(),
            };
            let versions = (
                self.state.config().map_or(0, |config| config.version),
                self.state.listing_version(),
                self.state.drained_domains(),
            );
            let is_new = sent_versions != versions;
            sent_versions = versions;
            let is_due = Instant::now() >= heartbeat_at;
            let is_announcing = self.state.take_announce_pending();
            if !loads.is_empty() || !notices.is_empty() || is_new || is_due || is_announcing {
                let entries = loads
                    .iter()
                    .map(|(process, load)| LoadEntry::new(process, load));
                let entries: Vec<LoadEntry> = entries.collect();
                self.send(&entries, notices, &mut sequence).await;
                heartbeat_at = Instant::now() + HEARTBEAT_INTERVAL;
            }
            sleep(SEND_INTERVAL).await;
        }
    }

    /// Drops outdated state of peers periodically, for the lifetime of the gateway.
    pub(crate) async fn run_ticks(self: Arc<Self>) {
        loop {
            sleep(TICK_INTERVAL).await;
            self.state.tick();
        }
    }

    /// Waits until there is an update for peers, or until `heartbeat_at`.
    async fn wait_for_update(&self, heartbeat_at: Instant) {
        let deferred = async {
            self.state.deferred_update.notified().await;
            sleep(DEFERRED_UPDATE_DELAY).await;
        };
        tokio::select! {
            () = self.state.urgent_update.notified() => {}
            () = deferred => {}
            () = sleep_until(heartbeat_at) => {}
        }
    }

    async fn send(&self, entries: &[LoadEntry], mut notices: PeerNotices, sequence: &mut u64) {
        let peers = self.state.peers();
        let empty: [&[LoadEntry]; 1] = [&[]];
        let chunks: Vec<&[LoadEntry]> = match entries.is_empty() {
            true => empty.to_vec(),
            false => entries.chunks(LOADS_PER_DATAGRAM).collect(),
        };
        for chunk in chunks {
            *sequence += 1;
            let message = PeerMessage {
                gateway: self.state.name.clone(),
                incarnation: self.incarnation,
                sequence: *sequence,
                address: self.address,
                store_reachable: self.state.is_store_reachable(),
                config: self.state.config().map_or(0, |config| config.version),
                serving: self.state.is_ready(),
                endpoints: self.state.listing_version(),
                loads: chunk.to_vec(),
                refused: std::mem::take(&mut notices.refused),
                suspects: std::mem::take(&mut notices.suspects),
                limits: std::mem::take(&mut notices.limits),
                leaving: std::mem::take(&mut notices.leaving),
                drains: self.state.drain_snapshot(),
                cold_limits: std::mem::take(&mut notices.cold_limits),
            };
            let Ok(bytes) = write_datagram(self.state.fleet_tag, &message) else {
                continue;
            };
            for peer in &peers {
                if let Err(error) = self.socket.send_to(&bytes, peer.address).await {
                    debug!(self.state.log, "cannot send to a peer";
                        "peer" => &*peer.name, "error" => %error);
                }
            }
        }
    }

    /// Applies messages from peers for the lifetime of the gateway.
    pub(crate) async fn run_receiver(self: Arc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                // The socket reports an error if an earlier datagram was sent to a peer that is
                // down.
                continue;
            };
            match read_datagram(self.state.fleet_tag, &buffer[..length]) {
                Ok(message) => Arc::clone(&self).receive(message),
                Err(problem) => {
                    metrics::counter!("lovagedock_peer_datagrams_refused_total",
                        "problem" => problem.as_str())
                    .increment(1);
                }
            }
        }
    }

    /// Requests newer state from a peer. All peers report a change at about the same time, but one
    /// response is enough; anything that it lacks arrives after the next message.
    async fn pull(&self, peer: SocketAddr, config: bool, endpoints: bool) {
        if self.pulling.swap(true, Ordering::AcqRel) {
            return;
        }
        if config {
            pull_traffic(&self.state, peer).await;
        }
        if endpoints {
            pull_endpoints(&self.state, peer).await;
        }
        self.pulling.store(false, Ordering::Release);
    }

    fn receive(self: Arc<Self>, message: PeerMessage) {
        if message.gateway == self.state.name {
            return;
        }
        let order = self.peer_sequences.lock().record(
            &message.gateway,
            message.incarnation,
            message.sequence,
        );
        match order {
            MessageOrder::Latest => {}
            MessageOrder::Stale => return,
            MessageOrder::Restarted => {
                info!(self.state.log, "peer restarted"; "peer" => &*message.gateway);
                self.state.forget_peer(&message.gateway);
            }
        }
        // A gateway that started later is missing from the list that was read at startup.
        self.state.upsert_gateway(GatewayEntry {
            name: message.gateway.clone(),
            address: message.address,
        });
        self.state
            .record_peer_contact(&message.gateway, message.store_reachable);
        self.state
            .update_era(message.endpoints.position.era, "peer");
        if let Some(drains) = message.drains {
            self.state.apply_drains(drains, "peer");
        }
        let known = self.state.config().map_or(0, |config| config.version);
        let newer_config = message.config > known;
        let newer_endpoints = message.endpoints > self.state.listing_version();
        if message.serving && !newer_config {
            self.state.set_serving_peer_heard();
        }
        if newer_config || newer_endpoints {
            let exchange = Arc::clone(&self);
            let peer = message.address;
            tokio::spawn(async move { exchange.pull(peer, newer_config, newer_endpoints).await });
        }
        let loads = message
            .loads
            .into_iter()
            .map(LoadEntry::into_load)
            .collect();
        self.state
            .apply_peer_loads(&message.gateway, loads, message.refused);
        self.state.apply_peer_suspects(message.suspects);
        self.state
            .apply_peer_limits(&message.gateway, message.limits);
        self.state
            .apply_peer_cold_limits(&message.gateway, message.cold_limits);
        self.state.apply_peer_leaving(message.leaving);
    }
}
