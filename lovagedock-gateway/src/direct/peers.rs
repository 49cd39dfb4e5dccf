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
    EndpointProcess, FlowUpdate, HelperSpeed, ListingDelta, ListingVersion, LoadUpdates,
    MessageOrder, PartUpdate, PeerSequences, QuarantineRelease, RateUpdate, RequestFingerprint,
    ReturnUpdate, SendPlan, ShareUpdate, SuspectQueue, SuspectUpdate, prelude::*,
};
use lovagedock_platform::GatewayEntry;
use parking_lot::Mutex;
use slog::{debug, info};
use tokio::{
    net::{TcpListener, UdpSocket},
    time::{Instant, sleep, sleep_until},
};

use super::{
    peer_message::{
        BookingEntry, DatagramError, LengthEntry, LoadEntry, PeerBundle, PeerMessage, PeerPacket,
        read_message, read_packet, write_message, write_packet,
    },
    peer_sync::{pull_endpoints, pull_traffic},
    relay_outbox::{BundleScope, OutboxBatch, RelayOutbox},
    state::{GatewayState, TICK_INTERVAL},
};

/// Minimum time between two datagrams. With a shorter one, a burst of requests costs a system call
/// for each request and peer. With a longer one, gateways fill the same slot twice.
const SEND_INTERVAL: Duration = Duration::from_millis(8);

/// Minimum average time between two datagrams of a gateway. Bounds what the relay of a large domain
/// sends.
const MIN_DATAGRAM_INTERVAL: Duration = Duration::from_micros(200);

/// Delay until peers are notified that work has ended. For 20 ms or more, a freed slot is used only
/// by the gateway that freed it, so no peer waits for this update. A placement in the meantime
/// sends it as well.
const DEFERRED_UPDATE_DELAY: Duration = Duration::from_millis(24);

/// Maximum time between two datagrams. Peers drop a gateway that is silent for 1.5 s, and unchanged
/// loads are repeated with the next datagram after a second.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The same while the gateway has not received the state of the fleet. Its relay may start later than
/// it does and then learns sooner to whom to send.
const START_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of endpoints in one datagram. With about 50 bytes each, it stays below the usual
/// packet size.
const LOADS_PER_DATAGRAM: usize = 24;

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM: usize = 8192;

/// Number of ports that are tried if the settings allow any free port.
const PORT_ATTEMPTS: usize = 32;

/// Updates about requests and endpoints that are sent to peers.
struct PeerNotices {
    refused: Vec<RequestFingerprint>,
    suspects: Vec<SuspectUpdate>,
    limits: Vec<RateUpdate>,
    cold_limits: Vec<RateUpdate>,
    leaving: Vec<EndpointProcess>,
    lengths: Vec<LengthEntry>,
    parts: Vec<PartUpdate>,
    flows: Vec<FlowUpdate>,
    shares: Vec<ShareUpdate>,
    returns: Vec<ReturnUpdate>,
    helper_speeds: Vec<HelperSpeed>,
    releases: Vec<QuarantineRelease>,
}

impl PeerNotices {
    fn is_empty(&self) -> bool {
        self.refused.is_empty()
            && self.suspects.is_empty()
            && self.limits.is_empty()
            && self.cold_limits.is_empty()
            && self.leaving.is_empty()
            && self.lengths.is_empty()
            && self.parts.is_empty()
            && self.flows.is_empty()
            && self.shares.is_empty()
            && self.returns.is_empty()
            && self.helper_speeds.is_empty()
            && self.releases.is_empty()
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

/// How a message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
    /// From its sender.
    Direct,
    /// From a relay.
    Forwarded,
}

/// Returns the time between two rounds of datagrams to `targets` gateways. It bounds what the relay
/// of a large domain sends in a second.
fn send_interval(targets: usize) -> Duration {
    SEND_INTERVAL.max(MIN_DATAGRAM_INTERVAL * targets as u32)
}

/// Exchanges datagrams with other gateways.
pub(crate) struct PeerExchange {
    state: Arc<GatewayState>,
    socket: UdpSocket,
    address: SocketAddr,
    incarnation: Incarnation,
    peer_sequences: Mutex<PeerSequences>,
    outbox: Mutex<RelayOutbox>,
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
            outbox: Mutex::default(),
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
            let plan = self.state.send_plan();
            let loads = self.state.take_load_updates(&mut load_updates);
            let notices = PeerNotices {
                refused: self.state.take_unsent_refusals(),
                suspects: self.state.take_suspect_updates(&mut suspect_queue),
                parts: self.state.take_part_updates(),
                flows: self.state.take_flow_updates(),
                shares: self.state.take_share_updates(),
                returns: self.state.take_return_updates(),
                helper_speeds: self.state.take_helper_speeds(),
                releases: self.state.take_releases(),
                limits: self.state.take_rate_updates(),
                cold_limits: self.state.take_cold_updates(),
                leaving: self.state.take_leaving_notices(),
                lengths: self
                    .state
                    .take_length_outcomes()
                    .iter()
                    .map(LengthEntry::new)
                    .collect(),
            };
            let versions = (
                self.state.config().map_or(0, |config| config.version),
                self.state.listing_version(),
                self.state.drained_domains(),
            );
            let is_from_store = self.state.take_store_news();
            // The members of a relay all hear of a change from it.
            let is_new = match plan {
                SendPlan::Member { .. } => is_from_store,
                SendPlan::Direct | SendPlan::Relay { .. } => sent_versions != versions,
            };
            let is_due = Instant::now() >= heartbeat_at;
            let is_announcing = self.state.take_announce_pending();
            let has_new_bookings = self.state.take_bookings_changed();
            let has_own = !loads.is_empty()
                || !notices.is_empty()
                || is_new
                || is_due
                || is_announcing
                || has_new_bookings;
            let mut own = Vec::new();
            if has_own {
                let is_source = is_from_store || matches!(plan, SendPlan::Relay { .. });
                let changes = self
                    .state
                    .listing_delta(sent_versions.1)
                    .filter(|_| is_source);
                let entries = loads
                    .iter()
                    .map(|(process, load)| LoadEntry::new(process, load));
                let entries: Vec<LoadEntry> = entries.collect();
                own = self.own_messages(&entries, notices, changes, &mut sequence);
                sent_versions = versions;
            }
            let targets = self.send_by_plan(&plan, &own, is_due).await;
            // A relay that sends its present gateways is due only then.
            if has_own && (is_due || !matches!(plan, SendPlan::Relay { .. })) {
                heartbeat_at = Instant::now() + self.heartbeat_interval();
            }
            sleep(send_interval(targets)).await;
        }
    }

    fn heartbeat_interval(&self) -> Duration {
        match self.state.knows_fleet() {
            true => HEARTBEAT_INTERVAL,
            false => START_HEARTBEAT_INTERVAL,
        }
    }

    /// Sends this gateway's messages, and those that it forwards. Returns the number of gateways to
    /// which it sent.
    async fn send_by_plan(&self, plan: &SendPlan, own: &[Vec<u8>], is_due: bool) -> usize {
        match plan {
            SendPlan::Direct => {
                let peers = self.state.peers();
                let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
                for message in own {
                    self.send_to_all(&addresses, &PeerPacket::Message(message))
                        .await;
                }
                self.outbox.lock().clear();
                addresses.len()
            }
            SendPlan::Member { relays } => {
                self.send_upstream(relays, own, true).await;
                self.outbox.lock().clear();
                relays.len()
            }
            SendPlan::Relay {
                domain_relays,
                members,
                foreign_relays,
            } => {
                self.send_upstream(domain_relays, own, false).await;
                let batch = self.take_batch(is_due);
                self.send_bundles(&batch, own, members, BundleScope::Members)
                    .await;
                self.send_bundles(&batch, own, foreign_relays, BundleScope::ForeignRelays)
                    .await;
                members.len() + foreign_relays.len() + domain_relays.len()
            }
        }
    }

    /// Takes what this gateway forwards, with the present gateways if `with_presence`.
    fn take_batch(&self, with_presence: bool) -> OutboxBatch {
        let mut outbox = self.outbox.lock();
        if with_presence {
            outbox.push_silent(self.state.take_silent_members());
        }
        let now = self.state.clock.now();
        let domain = &self.state.candidate.domain;
        outbox.take(now, with_presence, domain, &self.state.present_members())
    }

    /// Sends messages to relays. The first one forwards the messages of others if `is_subscribed`.
    async fn send_upstream(&self, relays: &[GatewayId], own: &[Vec<u8>], is_subscribed: bool) {
        for (index, address) in self.state.peer_addresses(relays).into_iter().enumerate() {
            for message in own {
                let packet = PeerPacket::Upstream {
                    is_subscribed: is_subscribed && index == 0,
                    message,
                };
                self.send_to_all(&[address], &packet).await;
            }
        }
    }

    async fn send_bundles(
        &self,
        batch: &OutboxBatch,
        own: &[Vec<u8>],
        receivers: &[GatewayId],
        scope: BundleScope,
    ) {
        if receivers.is_empty() {
            return;
        }
        let addresses = self.state.peer_addresses(receivers);
        for bundle in batch.bundles(&self.state.name, own, scope) {
            self.send_to_all(&addresses, &PeerPacket::Bundle(bundle))
                .await;
        }
    }

    async fn send_to_all(&self, addresses: &[SocketAddr], packet: &PeerPacket<'_>) {
        let Ok(bytes) = write_packet(self.state.fleet_tag, packet) else {
            return;
        };
        metrics::counter!("lovagedock_peer_datagrams_sent_total").increment(addresses.len() as u64);
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                debug!(self.state.log, "cannot send to a peer";
                    "address" => %address, "error" => %error);
            }
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

    /// Encodes this gateway's messages.
    fn own_messages(
        &self,
        entries: &[LoadEntry],
        mut notices: PeerNotices,
        mut changes: Option<ListingDelta>,
        sequence: &mut u64,
    ) -> Vec<Vec<u8>> {
        let now = self.state.clock.now();
        let bookings = self.state.own_bookings();
        let bookings: Vec<BookingEntry> = bookings
            .iter()
            .map(|booking| BookingEntry::new(now, booking))
            .collect();
        let empty: [&[LoadEntry]; 1] = [&[]];
        let chunks: Vec<&[LoadEntry]> = match entries.is_empty() {
            true => empty.to_vec(),
            false => entries.chunks(LOADS_PER_DATAGRAM).collect(),
        };
        let messages = chunks.into_iter().filter_map(|chunk| {
            *sequence += 1;
            let message = PeerMessage {
                gateway: self.state.name.clone(),
                incarnation: self.incarnation,
                sequence: *sequence,
                address: self.address,
                domain: self.state.candidate.domain.clone(),
                capacity: self.state.candidate.capacity,
                stopping: self.state.is_stopping(),
                store_reachable: self.state.is_store_reachable(),
                config: self.state.config().map_or(0, |config| config.version),
                serving: self.state.is_ready(),
                endpoints: self.state.listing_version(),
                changes: changes.take(),
                loads: chunk.to_vec(),
                refused: std::mem::take(&mut notices.refused),
                suspects: std::mem::take(&mut notices.suspects),
                limits: std::mem::take(&mut notices.limits),
                leaving: std::mem::take(&mut notices.leaving),
                drains: self.state.drain_snapshot(),
                cold_limits: std::mem::take(&mut notices.cold_limits),
                lengths: std::mem::take(&mut notices.lengths),
                bookings: bookings.clone(),
                parts: std::mem::take(&mut notices.parts),
                flows: std::mem::take(&mut notices.flows),
                shares: std::mem::take(&mut notices.shares),
                returns: std::mem::take(&mut notices.returns),
                helper_speeds: std::mem::take(&mut notices.helper_speeds),
                releases: std::mem::take(&mut notices.releases),
            };
            write_message(&message).ok()
        });
        messages.collect()
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
            let received = read_packet(self.state.fleet_tag, &buffer[..length])
                .and_then(|packet| Arc::clone(&self).receive(packet));
            if let Err(problem) = received {
                metrics::counter!("lovagedock_peer_datagrams_refused_total",
                    "problem" => problem.as_str())
                .increment(1);
            }
        }
    }

    fn receive(self: Arc<Self>, packet: PeerPacket<'_>) -> Result<(), DatagramError> {
        match packet {
            PeerPacket::Message(bytes) => {
                self.receive_message(read_message(bytes)?, Arrival::Direct);
            }
            PeerPacket::Upstream {
                is_subscribed,
                message: bytes,
            } => {
                let message = read_message(bytes)?;
                let sender = message.gateway.clone();
                let forwarded = message.clone();
                let is_latest = self.receive_message(message, Arrival::Direct);
                self.state.record_member(&sender, is_subscribed);
                if is_latest {
                    self.outbox.lock().push_member(&forwarded, bytes);
                    self.wake_if_forwarding();
                }
            }
            PeerPacket::Bundle(bundle) => self.receive_bundle(&bundle)?,
        }
        Ok(())
    }

    fn receive_bundle(self: &Arc<Self>, bundle: &PeerBundle<'_>) -> Result<(), DatagramError> {
        for bytes in &bundle.own {
            self.receive_message(read_message(bytes)?, Arrival::Direct);
        }
        self.state.record_relayed(&bundle.relay);
        let is_foreign = !self.state.is_in_domain(&bundle.relay);
        for bytes in &bundle.forwarded {
            let is_latest = self.receive_message(read_message(bytes)?, Arrival::Forwarded);
            if is_latest && is_foreign {
                self.outbox.lock().push_foreign(bytes);
            }
        }
        if is_foreign {
            for bytes in &bundle.own {
                self.outbox.lock().push_foreign(bytes);
            }
        }
        for present in &bundle.present {
            self.state.refresh_peers(&present.gateways);
            if is_foreign {
                let now = self.state.clock.now();
                self.outbox.lock().record_presence(now, present);
            }
        }
        for gateway in &bundle.silent {
            self.state.forget_peer(gateway);
        }
        self.wake_if_forwarding();
        Ok(())
    }

    fn wake_if_forwarding(&self) {
        if self.outbox.lock().has_messages() {
            self.state.urgent_update.notify_one();
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

    /// Applies a message. Returns whether it was the latest one of its sender.
    fn receive_message(self: &Arc<Self>, message: PeerMessage, arrival: Arrival) -> bool {
        if message.gateway == self.state.name {
            return false;
        }
        let order = self.peer_sequences.lock().record(
            &message.gateway,
            message.incarnation,
            message.sequence,
        );
        match order {
            MessageOrder::Latest => {}
            MessageOrder::Stale => return false,
            MessageOrder::Restarted => {
                info!(self.state.log, "peer restarted"; "peer" => &*message.gateway);
                self.state.forget_peer(&message.gateway);
            }
        }
        // A gateway that started later is missing from the list that was read at startup.
        self.state.upsert_gateway(GatewayEntry {
            name: message.gateway.clone(),
            address: message.address,
            domain: message.domain.clone(),
            capacity: message.capacity,
        });
        self.state
            .record_peer_stopping(&message.gateway, message.stopping);
        self.state
            .record_peer_contact(&message.gateway, message.store_reachable);
        self.state
            .update_era(message.endpoints.position.era, "peer");
        if let Some(drains) = message.drains {
            self.state.apply_drains(drains, "peer");
        }
        let known = self.state.config().map_or(0, |config| config.version);
        if let Some(changes) = message.changes {
            self.state.apply_endpoint_changes(changes);
        }
        // Of the versions in a forwarded message, the relay has told already or will soon.
        let is_direct = arrival == Arrival::Direct;
        let newer_config = is_direct && message.config > known;
        let newer_endpoints = is_direct && message.endpoints > self.state.listing_version();
        if message.serving && !newer_config {
            self.state.set_serving_peer_heard();
        }
        if newer_config || newer_endpoints {
            let exchange = Arc::clone(self);
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
        self.state.apply_peer_parts(message.parts);
        self.state.apply_peer_flows(&message.gateway, message.flows);
        self.state
            .apply_peer_shares(&message.gateway, message.shares);
        self.state.apply_peer_returns(message.returns);
        self.state
            .apply_peer_helper_speeds(&message.gateway, message.helper_speeds);
        self.state.apply_peer_releases(message.releases);
        self.state
            .apply_peer_limits(&message.gateway, message.limits);
        self.state
            .apply_peer_cold_limits(&message.gateway, message.cold_limits);
        self.state.apply_peer_leaving(message.leaving);
        let now = self.state.clock.now();
        let outcomes = message.lengths.into_iter();
        self.state
            .apply_peer_lengths(outcomes.map(LengthEntry::into_outcome));
        let bookings = message.bookings.into_iter();
        let bookings = bookings.map(|booking| booking.into_booking(now));
        self.state
            .apply_peer_bookings(&message.gateway, bookings.collect());
        true
    }
}
