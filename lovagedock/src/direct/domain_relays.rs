//! Selection of the gateways that forward the messages of a failure domain in a large fleet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainId, GatewayId, Timestamp};

/// Default number of gateways up to which each sends to all others. Relays save messages only beyond
/// that, and they delay them.
pub const MAX_DIRECT_GATEWAYS: usize = 100;

/// Number of relays of a failure domain. The second one takes over if the first one fails.
const RELAY_COUNT: usize = 2;

/// Maximum number of gateways of another domain to which a relay sends. Gateways briefly disagree on
/// the relays of a domain.
const MAX_FOREIGN_RELAYS: usize = 3;

/// Time without a message after which a gateway is not chosen as a relay.
const LIVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a gateway that was listed and sent nothing yet may be chosen as a relay.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a message of the relay after which a gateway chooses another one. Relays send at
/// least every 250 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a relay that sent nothing is not chosen again.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Time without a message after which a relay forwards nothing more to a gateway and reports it as
/// silent. Gateways send at least every 250 ms.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(1);

/// Processor time of a gateway's host in thousandths of a core.
pub type HostCapacity = u32;

/// What a gateway tells about itself for the choice of relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Failure domain of its host.
    pub domain: DomainId,
    /// Processor time of its host.
    pub capacity: HostCapacity,
}

/// To whom a gateway sends its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendPlan {
    /// To each other gateway; the fleet is small.
    Direct,
    /// To the relays of its domain, of which the first one forwards those of others to it.
    Member {
        /// Relays in order of preference; at least one.
        relays: Vec<GatewayId>,
    },
    /// The gateway is a relay.
    Relay {
        /// The other relay of its domain, if any.
        domain_relays: Vec<GatewayId>,
        /// Gateways of its domain to which it forwards all messages.
        members: Vec<GatewayId>,
        /// Relays of other domains, to which it forwards the messages of its own domain.
        foreign_relays: Vec<GatewayId>,
    },
}

#[derive(Clone, Debug)]
struct RelayPeer {
    candidate: RelayCandidate,
    listed_at: Timestamp,
    /// When it last showed any sign of life, also through others.
    heard_at: Option<Timestamp>,
    /// When its last message as a relay arrived.
    relayed_at: Option<Timestamp>,
    /// When it last sent a message to be forwarded.
    sent_at: Option<Timestamp>,
    /// Whether it wants messages of others.
    is_subscribed: bool,
    is_stopping: bool,
}

/// Decides how messages travel between gateways.
///
/// If each gateway of a large fleet sent to each other one, messages would grow with the square of
/// the fleet, and taking them in would cost more than serving. So in a fleet of more than some tens
/// of gateways, each sends to two relays of its failure domain. These forward to the relays of the
/// other domains, and each relay to the gateways of its domain that chose it. A message crosses from
/// domain to domain four times at most, whatever the size of the fleet.
///
/// All gateways derive the relays from the hosts' capacities and a hash of the names, without
/// messages. A gateway that hears nothing from its relay chooses another one.
#[derive(Clone, Debug)]
pub struct DomainRelays {
    own: GatewayId,
    candidate: RelayCandidate,
    max_direct: usize,
    is_stopping: bool,
    peers: BTreeMap<GatewayId, RelayPeer>,
    avoided: HashMap<GatewayId, Timestamp>,
    /// Since when this gateway has been a relay without a message of a member, if it is one.
    unused_since: Option<Timestamp>,
    /// The relay whose messages this gateway waits for, and since when.
    primary: Option<(GatewayId, Timestamp)>,
    /// Gateways that were reported as silent and have not sent since.
    silent: BTreeSet<GatewayId>,
}

impl DomainRelays {
    /// Creates the state of the gateway `own`, which knows no other one.
    pub fn new(own: GatewayId, candidate: RelayCandidate) -> Self {
        Self {
            own,
            candidate,
            max_direct: MAX_DIRECT_GATEWAYS,
            is_stopping: false,
            peers: BTreeMap::new(),
            avoided: HashMap::new(),
            unused_since: None,
            primary: None,
            silent: BTreeSet::new(),
        }
    }

    /// Sets the number of gateways up to which each sends to all others.
    pub fn with_max_direct(mut self, max_direct: usize) -> Self {
        self.max_direct = max_direct;
        self
    }

    /// Records that a gateway is listed or has told about itself.
    pub fn record_listed(&mut self, now: Timestamp, peer: &GatewayId, candidate: &RelayCandidate) {
        if *peer == self.own {
            return;
        }
        match self.peers.get_mut(peer) {
            Some(known) if known.candidate == *candidate => {}
            Some(known) => known.candidate = candidate.clone(),
            None => {
                let listed = RelayPeer {
                    candidate: candidate.clone(),
                    listed_at: now,
                    heard_at: None,
                    relayed_at: None,
                    sent_at: None,
                    is_subscribed: false,
                    is_stopping: false,
                };
                self.peers.insert(peer.clone(), listed);
            }
        }
    }

    /// Records a sign of life of a gateway.
    pub fn record_heard(&mut self, now: Timestamp, peer: &GatewayId) {
        if let Some(known) = self.peers.get_mut(peer) {
            known.heard_at = Some(now);
        }
    }

    /// Records whether a gateway is stopping. It is not chosen as a relay then.
    pub fn record_stopping(&mut self, peer: &GatewayId, is_stopping: bool) {
        if *peer == self.own {
            self.is_stopping = is_stopping;
        } else if let Some(known) = self.peers.get_mut(peer) {
            known.is_stopping = is_stopping;
        }
    }

    /// Records a message of a relay.
    pub fn record_relayed(&mut self, now: Timestamp, relay: &GatewayId) {
        self.avoided.remove(relay);
        if let Some(known) = self.peers.get_mut(relay) {
            known.heard_at = Some(now);
            known.relayed_at = Some(now);
        }
    }

    /// Records a message that a gateway of this domain sent to be forwarded. `is_subscribed` states
    /// whether it wants the messages of others.
    pub fn record_member(&mut self, now: Timestamp, member: &GatewayId, is_subscribed: bool) {
        self.silent.remove(member);
        self.unused_since = self.unused_since.map(|_| now);
        if let Some(known) = self.peers.get_mut(member) {
            known.heard_at = Some(now);
            known.sent_at = Some(now);
            known.is_subscribed = is_subscribed;
        }
    }

    /// Removes a gateway that is no longer listed.
    pub fn forget(&mut self, peer: &GatewayId) {
        self.peers.remove(peer);
        self.silent.remove(peer);
    }

    /// Records that this process was paused. Messages of others wait in its socket, so nobody is
    /// silent yet.
    pub fn record_pause(&mut self, now: Timestamp) {
        for peer in self.peers.values_mut() {
            for at in [&mut peer.heard_at, &mut peer.relayed_at, &mut peer.sent_at] {
                *at = at.map(|_| now);
            }
        }
        if let Some((_, since)) = &mut self.primary {
            *since = now;
        }
        self.unused_since = self.unused_since.map(|_| now);
    }

    /// Returns what this gateway tells others for the choice of relays.
    pub fn candidate(&self) -> &RelayCandidate {
        &self.candidate
    }

    /// Returns whether the fleet is large enough for relays.
    pub fn is_relayed(&self) -> bool {
        self.peers.len() + 1 > self.max_direct
    }

    /// Returns whether this gateway is one of the relays of its domain, by the listed gateways.
    pub fn is_chosen(&self, now: Timestamp) -> bool {
        self.best_relays(now, &self.candidate.domain, RELAY_COUNT)
            .contains(&self.own)
    }

    /// Returns to whom this gateway sends at `now`.
    pub fn plan(&mut self, now: Timestamp) -> SendPlan {
        let members = self.members(now, |peer| peer.is_subscribed);
        if !self.is_relayed() && members.is_empty() {
            self.primary = None;
            return SendPlan::Direct;
        }
        self.avoid_silent_relay(now);
        self.avoid_unused(now);
        let domain = self.candidate.domain.clone();
        let mut relays = self.best_relays(now, &domain, RELAY_COUNT);
        if relays.contains(&self.own) || !members.is_empty() {
            self.primary = None;
            self.unused_since.get_or_insert(now);
            relays.retain(|relay| *relay != self.own);
            return SendPlan::Relay {
                domain_relays: relays,
                members,
                foreign_relays: self.foreign_relays(now),
            };
        }
        self.unused_since = None;
        let first = relays.first();
        if self.primary.as_ref().map(|(relay, _)| relay) != first {
            self.primary = first.map(|relay| (relay.clone(), now));
        }
        SendPlan::Member { relays }
    }

    /// Returns the gateways of this domain that are there, this one included: those whose messages
    /// arrive directly.
    pub fn present_members(&self, now: Timestamp) -> Vec<GatewayId> {
        let mut present = self.members(now, |_| true);
        present.push(self.own.clone());
        present
    }

    /// Returns the gateways of this domain that have become silent since the last call.
    pub fn take_silent(&mut self, now: Timestamp) -> Vec<GatewayId> {
        let is_silent = |peer: &RelayPeer| {
            let sent_at = peer.sent_at;
            sent_at.is_some_and(|at| now.saturating_sub(at) > MEMBER_TIMEOUT)
        };
        let peers = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<GatewayId> = peers
            .map(|(name, _)| name.clone())
            .filter(|name| !self.silent.contains(name))
            .collect();
        self.silent.extend(silent.iter().cloned());
        silent
    }

    fn members(&self, now: Timestamp, is_wanted: impl Fn(&RelayPeer) -> bool) -> Vec<GatewayId> {
        let is_present = |peer: &RelayPeer| {
            let sent_at = peer.sent_at;
            sent_at.is_some_and(|at| now.saturating_sub(at) <= MEMBER_TIMEOUT)
        };
        let peers = self.peers.iter();
        let wanted = peers.filter(|(_, peer)| is_present(peer) && is_wanted(peer));
        wanted.map(|(name, _)| name.clone()).collect()
    }

    fn avoid_silent_relay(&mut self, now: Timestamp) {
        self.avoided.retain(|_, until| now < *until);
        let Some((relay, since)) = &self.primary else {
            return;
        };
        let relayed_at = self.peers.get(relay).and_then(|peer| peer.relayed_at);
        let waiting_since = relayed_at.map_or(*since, |at| at.max(*since));
        if now.saturating_sub(waiting_since) > RELAY_TIMEOUT {
            self.avoided.insert(relay.clone(), now + AVOID_TIME);
            self.primary = None;
        }
    }

    /// Stops being a relay if no member sends to this gateway. Its messages may be lost, so that the
    /// others have chosen another relay, from which it would hear nothing.
    fn avoid_unused(&mut self, now: Timestamp) {
        let unused_since = self.unused_since;
        let is_unused = unused_since.is_some_and(|since| now.saturating_sub(since) > RELAY_TIMEOUT);
        let of_domain = |peer: &RelayPeer| peer.candidate.domain == self.candidate.domain;
        if is_unused && self.peers.values().any(of_domain) {
            self.avoided.insert(self.own.clone(), now + AVOID_TIME);
        }
    }

    fn foreign_relays(&self, now: Timestamp) -> Vec<GatewayId> {
        let peers = self.peers.values();
        let domains: BTreeSet<&DomainId> = peers.map(|peer| &peer.candidate.domain).collect();
        let foreign = domains
            .into_iter()
            .filter(|domain| **domain != self.candidate.domain);
        foreign
            .flat_map(|domain| {
                let mut relays = self.best_relays(now, domain, RELAY_COUNT);
                relays.extend(self.active_relays(now, domain));
                let mut seen = BTreeSet::new();
                relays.retain(|relay| seen.insert(relay.clone()));
                relays.truncate(MAX_FOREIGN_RELAYS);
                relays
            })
            .collect()
    }

    /// Returns the gateways of a domain whose messages as relays arrive.
    fn active_relays(&self, now: Timestamp, domain: &DomainId) -> Vec<GatewayId> {
        let is_active = |peer: &RelayPeer| {
            let relayed_at = peer.relayed_at;
            peer.candidate.domain == *domain
                && relayed_at.is_some_and(|at| now.saturating_sub(at) <= RELAY_TIMEOUT)
        };
        let active = self.peers.iter().filter(|(_, peer)| is_active(peer));
        active.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the best relays of a domain, best first. If none of its gateways is known to be there,
    /// these are chosen among all that are listed.
    fn best_relays(&self, now: Timestamp, domain: &DomainId, count: usize) -> Vec<GatewayId> {
        let is_live = |peer: &RelayPeer| match peer.heard_at {
            Some(at) => now.saturating_sub(at) <= LIVE_TIMEOUT,
            None => now.saturating_sub(peer.listed_at) <= START_TIMEOUT,
        };
        let of_domain = |(_, peer): &(&GatewayId, &RelayPeer)| peer.candidate.domain == *domain;
        let usable = |(name, _): &(&GatewayId, &RelayPeer)| !self.avoided.contains_key(*name);
        let listed: Vec<(&GatewayId, &RelayPeer)> =
            self.peers.iter().filter(of_domain).filter(usable).collect();
        let live = listed.iter().copied().filter(|(_, peer)| is_live(peer));
        let mut chosen: Vec<(&GatewayId, &RelayPeer)> = live.collect();
        if chosen.is_empty() {
            chosen = listed;
        }
        let mut ranked: Vec<_> = chosen
            .into_iter()
            .map(|(name, peer)| rank(name, peer.candidate.capacity, peer.is_stopping))
            .collect();
        let is_usable = !self.avoided.contains_key(&self.own) || ranked.is_empty();
        if *domain == self.candidate.domain && is_usable {
            ranked.push(rank(&self.own, self.candidate.capacity, self.is_stopping));
        }
        ranked.sort_unstable();
        ranked.truncate(count);
        ranked.into_iter().map(|(.., name)| name.clone()).collect()
    }
}

/// Order of preference as a relay: gateways that stay, then large hosts, then by hash.
fn rank(
    name: &GatewayId,
    capacity: HostCapacity,
    is_stopping: bool,
) -> (bool, Reverse<HostCapacity>, u64, &GatewayId) {
    (
        is_stopping,
        Reverse(capacity),
        xxh3_64(name.as_bytes()),
        name,
    )
}
