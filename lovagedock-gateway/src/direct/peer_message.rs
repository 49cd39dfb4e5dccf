//! Wire format of the messages between gateways.

use std::{net::SocketAddr, time::Duration};

use lovagedock::{
    DrainSnapshot, EndpointProcess, FlowUpdate, HelperSpeed, HostCapacity, LengthBand,
    LengthOutcome, ListingDelta, ListingVersion, PartUpdate, PeerLoad, QuarantineRelease,
    RateUpdate, RequestFingerprint, ReturnUpdate, RouteTag, ShareUpdate, SuspectUpdate,
    TeamBooking, WriterGroup, prelude::*,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::fleet_tag::FleetTag;

/// Version of the protocol between gateways, for datagrams and pulls. Messages of other versions
/// are rejected.
pub(super) const PROTOCOL_VERSION: u16 = 11;

/// Precedes each message, so that the receiver can tell whether it can decode the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PeerEnvelope {
    protocol: u16,
    fleet: FleetTag,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DatagramError {
    /// The datagram could not be decoded.
    Malformed,
    /// The sender of the datagram uses another protocol version.
    Protocol,
    /// The sender of the datagram belongs to another fleet.
    Fleet,
}

impl DatagramError {
    /// Label value in metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Protocol => "protocol",
            Self::Fleet => "fleet",
        }
    }
}

/// A datagram between gateways. Messages are nested as encoded bytes, so that a relay forwards them
/// as they are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) enum PeerPacket<'a> {
    /// A message to each other gateway.
    Message(#[serde(borrow)] &'a [u8]),
    /// A message to a relay, which forwards it.
    Upstream {
        /// Whether the sender wants the messages of other gateways from this relay.
        is_subscribed: bool,
        /// The message.
        message: &'a [u8],
    },
    /// Messages from a relay.
    Bundle(PeerBundle<'a>),
}

/// Messages that a relay sends together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct PeerBundle<'a> {
    /// The relay.
    pub(super) relay: GatewayId,
    /// Messages of the relay itself.
    #[serde(borrow)]
    pub(super) own: Vec<&'a [u8]>,
    /// Messages of other gateways.
    pub(super) forwarded: Vec<&'a [u8]>,
    /// Gateways that are there, by failure domain.
    pub(super) present: Vec<PresentGateways>,
    /// Gateways of the relay's domain that have become silent.
    pub(super) silent: Vec<GatewayId>,
}

/// Gateways of one failure domain whose messages arrive at its relays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PresentGateways {
    pub(super) domain: DomainId,
    pub(super) gateways: Vec<GatewayTag>,
}

/// Short form of a gateway's name.
pub(super) type GatewayTag = u32;

/// Returns the short form of a gateway's name. Two names of a fleet are unlikely to share one; a
/// gateway that ends would then count as present for as long as the other one is.
pub(super) fn gateway_tag(name: &GatewayId) -> GatewayTag {
    xxh3_64(name.as_bytes()) as GatewayTag
}

/// Encodes a datagram for gateways of the fleet.
pub(super) fn write_packet(fleet: FleetTag, packet: &PeerPacket) -> postcard::Result<Vec<u8>> {
    let envelope = PeerEnvelope {
        protocol: PROTOCOL_VERSION,
        fleet,
    };
    postcard::to_stdvec(&(envelope, packet))
}

/// Decodes a datagram from a gateway of this fleet.
pub(super) fn read_packet(fleet: FleetTag, bytes: &[u8]) -> Result<PeerPacket<'_>, DatagramError> {
    let envelope = postcard::take_from_bytes::<PeerEnvelope>(bytes);
    let (envelope, rest) = envelope.map_err(|_| DatagramError::Malformed)?;
    if envelope.protocol != PROTOCOL_VERSION {
        return Err(DatagramError::Protocol);
    }
    if envelope.fleet != fleet {
        return Err(DatagramError::Fleet);
    }
    postcard::from_bytes(rest).map_err(|_| DatagramError::Malformed)
}

/// Encodes a message.
pub(super) fn write_message(message: &PeerMessage) -> postcard::Result<Vec<u8>> {
    postcard::to_stdvec(message)
}

/// Decodes a message.
pub(super) fn read_message(bytes: &[u8]) -> Result<PeerMessage, DatagramError> {
    postcard::from_bytes(bytes).map_err(|_| DatagramError::Malformed)
}

/// State that a gateway sends to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct PeerMessage {
    pub(super) gateway: GatewayId,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
    /// Address of the sender for datagrams and connections.
    pub(super) address: SocketAddr,
    /// Failure domain of the sender's host.
    pub(super) domain: DomainId,
    /// Processor time of the sender's host.
    pub(super) capacity: HostCapacity,
    /// Whether the sender is stopping.
    pub(super) stopping: bool,
    pub(super) store_reachable: bool,
    /// Whether the sender serves callers.
    pub(super) serving: bool,
    pub(super) config: Generation,
    pub(super) endpoints: ListingVersion,
    /// The latest changes of the sender's endpoints, if they are few.
    pub(super) changes: Option<ListingDelta>,
    pub(super) loads: Vec<LoadEntry>,
    /// Requests that the sender refused since its last message.
    pub(super) refused: Vec<RequestFingerprint>,
    /// Evidence against requests that crash engines.
    pub(super) suspects: Vec<SuspectUpdate>,
    /// Rate limits of endpoints, and which of these endpoints the sender claims.
    pub(super) limits: Vec<RateUpdate>,
    /// Endpoints that announced to the sender that they are leaving.
    pub(super) leaving: Vec<EndpointProcess>,
    /// Drained failure domains, or `None` if the sender does not know them yet.
    pub(super) drains: Option<DrainSnapshot>,
    /// Cold endpoints that the sender claims.
    pub(super) cold_limits: Vec<RateUpdate>,
    /// Long prompts that the sender started or refused since its last message.
    pub(super) lengths: Vec<LengthEntry>,
    /// Endpoints that the sender has booked for long prompts.
    pub(super) bookings: Vec<BookingEntry>,
    /// Evidence against parts of prompts that crash engines.
    pub(super) parts: Vec<PartUpdate>,
    /// Flow of the sender's requests, by service and lane.
    pub(super) flows: Vec<FlowUpdate>,
    /// Demand of organisations at the sender.
    pub(super) shares: Vec<ShareUpdate>,
    /// Changes of the returns that the sender scheduled.
    pub(super) returns: Vec<ReturnUpdate>,
    /// Speeds of helpers that the sender measured.
    pub(super) helper_speeds: Vec<HelperSpeed>,
    /// Quarantines that an operator ended.
    pub(super) releases: Vec<QuarantineRelease>,
}

impl PeerMessage {
    /// Returns whether the message has more than the state of its sender.
    pub(super) fn has_news(&self) -> bool {
        !(self.loads.is_empty()
            && self.refused.is_empty()
            && self.suspects.is_empty()
            && self.limits.is_empty()
            && self.cold_limits.is_empty()
            && self.leaving.is_empty()
            && self.lengths.is_empty()
            && self.bookings.is_empty()
            && self.parts.is_empty()
            && self.flows.is_empty()
            && self.shares.is_empty()
            && self.returns.is_empty()
            && self.helper_speeds.is_empty()
            && self.releases.is_empty())
    }
}

/// A long prompt that was started or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LengthEntry {
    route: RouteTag,
    band: u8,
    is_new: bool,
    is_started: bool,
}

impl LengthEntry {
    pub(super) fn new(outcome: &LengthOutcome) -> Self {
        Self {
            route: outcome.route,
            band: outcome.band.0,
            is_new: outcome.is_new,
            is_started: outcome.is_started,
        }
    }

    pub(super) fn into_outcome(self) -> LengthOutcome {
        LengthOutcome {
            route: self.route,
            band: LengthBand(self.band),
            is_new: self.is_new,
            is_started: self.is_started,
        }
    }
}

/// Endpoints that a gateway has booked for a long prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BookingEntry {
    route: RouteTag,
    class: u8,
    width: u16,
    /// Time since the booking, in milliseconds.
    age_ms: u32,
    is_waiting: bool,
}

impl BookingEntry {
    pub(super) fn new(now: Timestamp, booking: &TeamBooking) -> Self {
        Self {
            route: booking.route,
            class: booking.class.0,
            width: booking.width as u16,
            age_ms: now.saturating_sub(booking.since).as_millis() as u32,
            is_waiting: booking.is_waiting,
        }
    }

    pub(super) fn into_booking(self, now: Timestamp) -> TeamBooking {
        TeamBooking {
            route: self.route,
            class: LengthBand(self.class),
            width: usize::from(self.width),
            since: now.saturating_sub(Duration::from_millis(u64::from(self.age_ms))),
            is_waiting: self.is_waiting,
        }
    }
}

/// Load that a gateway has placed on one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct LoadEntry {
    endpoint: EndpointProcess,
    occupied: u32,
    short: u32,
    #[serde(rename = "unread")]
    pending_prefills: u32,
    suspects: u32,
    #[serde(rename = "pace")]
    slowdown: f32,
    context: TokenCount,
    #[serde(rename = "reading_total_us")]
    prefill_total_us: u64,
    /// Tolerated gap in milliseconds, number of writers, their value.
    writers: Vec<(u32, u32, f32)>,
    /// Requests that are counted in `occupied` and not sent yet.
    claimed: u32,
}

impl LoadEntry {
    pub(super) fn new(endpoint: &EndpointProcess, load: &PeerLoad) -> Self {
        let writers = load.writers.groups();
        Self {
            endpoint: endpoint.clone(),
            occupied: load.occupied,
            short: load.short,
            pending_prefills: load.pending_prefills,
            suspects: load.suspects,
            slowdown: load.slowdown,
            context: load.context,
            prefill_total_us: load.prefill_total.as_micros() as u64,
            writers: writers
                .map(|group| (group.gap.as_millis() as u32, group.count, group.value))
                .collect(),
            claimed: load.claimed,
        }
    }

    pub(super) fn into_load(self) -> (EndpointProcess, PeerLoad) {
        let writers = self
            .writers
            .into_iter()
            .map(|(gap, count, value)| WriterGroup {
                gap: Duration::from_millis(u64::from(gap)),
                count,
                value,
            });
        let load = PeerLoad {
            occupied: self.occupied,
            short: self.short,
            claimed: self.claimed,
            pending_prefills: self.pending_prefills,
            suspects: self.suspects,
            slowdown: self.slowdown,
            context: self.context,
            prefill_total: Duration::from_micros(self.prefill_total_us),
            writers: writers.collect(),
        };
        (self.endpoint, load)
    }
}
