//! Which gateways watch the store, and which take what those tell.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{GatewayId, Timestamp};

/// Gateways that watch at once. One may be cut off from the store and another stop in the same
/// moment; the third still tells.
const WATCHER_COUNT: usize = 3;

/// Watchers that must be heard and be in touch with the store for the others to rely on them.
const MIN_REACHABLE_WATCHERS: usize = 2;

/// Time after which a watcher counts as silent: three of its messages were lost.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(900);

/// What a peer tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// When it was heard last.
    pub received_at: Timestamp,
    /// Whether its last call of the store succeeded.
    pub store_reachable: bool,
}

/// What a gateway does to learn of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// It watches the store and tells the others.
    Watcher,
    /// It watches since too few of the watchers reach the store. When the store is down for all, every
    /// gateway is one: asking as often as watchers do, they would spend the store's rate on failed calls
    /// just as it comes back.
    Fallback,
    /// It takes what the watchers tell.
    Follower,
}

/// Decides whether a gateway watches the store itself.
///
/// Each call of the store is paid for and its rate grows more slowly than the fleet, so not every
/// gateway watches. The watchers follow from the names of the gateways that are heard: no call and
/// no message is needed to agree, and where gateways disagree for a moment, one more watches.
#[derive(Clone, Debug, Default)]
pub struct WatcherSelection {
    peers: BTreeMap<GatewayId, PeerContact>,
}

impl WatcherSelection {
    /// A gateway that has heard nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a peer was heard.
    pub fn record_peer(&mut self, peer: GatewayId, contact: PeerContact) {
        self.peers.insert(peer, contact);
    }

    /// What the gateway `own` has to do.
    pub fn role(&self, now: Timestamp, own: &GatewayId) -> WatchRole {
        let is_recent =
            |contact: &PeerContact| now.saturating_sub(contact.received_at) <= WATCHER_TIMEOUT;
        let peers = self.peers.iter().filter(|(_, contact)| is_recent(contact));
        let mut names: Vec<&GatewayId> = peers.map(|(name, _)| name).collect();
        names.push(own);
        names.sort();
        let watchers = evenly_spaced(&names, WATCHER_COUNT);
        if watchers.contains(&own) {
            return WatchRole::Watcher;
        }
        let reachable = watchers.iter().filter(|name| {
            let contact = self.peers.get(**name);
            contact.is_some_and(|contact| contact.store_reachable)
        });
        match reachable.count() < MIN_REACHABLE_WATCHERS {
            true => WatchRole::Fallback,
            false => WatchRole::Follower,
        }
    }

    /// Peers that were heard lately.
    pub fn recent_peer_count(&self, now: Timestamp) -> usize {
        let contacts = self.peers.values();
        let is_recent =
            |contact: &&PeerContact| now.saturating_sub(contact.received_at) <= WATCHER_TIMEOUT;
        contacts.filter(is_recent).count()
    }
}

/// `count` of the names at equal distances. Names of one failure domain sort together, so these lie
/// in different ones.
fn evenly_spaced<'a>(names: &[&'a GatewayId], count: usize) -> Vec<&'a GatewayId> {
    if names.len() <= count {
        return names.to_vec();
    }
    (0..count)
        .map(|index| names[index * names.len() / count])
        .collect()
}
