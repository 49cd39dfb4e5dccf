//! Selection of the gateways that watch the store; the others receive changes from these.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{GatewayId, Timestamp};

/// Number of gateways that watch at the same time. If one of them cannot reach the store and
/// another stops at the same moment, the third still sends changes.
const WATCHER_COUNT: usize = 3;

/// Minimum number of watchers that must be reachable, and that must reach the store, for other
/// gateways to rely on them.
const MIN_REACHABLE_WATCHERS: usize = 2;

/// Time after which a watcher counts as silent. Three of its messages were lost by then.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(900);

/// Latest state that a peer reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerContact {
    /// When its latest message was received.
    pub received_at: Timestamp,
    /// Whether its latest call to the store succeeded.
    pub store_reachable: bool,
}

/// How a gateway learns of changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchRole {
    /// Watches the store and sends changes to the others.
    Watcher,
    /// Watches in place of the watchers, too few of which reach the store. While the store is down
    /// for all, every gateway ends up in this role. If they called as often as watchers do, their
    /// failed calls would use up the store's request rate just as it recovers.
    Fallback,
    /// Receives changes from the watchers.
    Follower,
}

/// Decides whether a gateway watches the store itself.
///
/// Each call to the store has a cost, and the store's request rate grows more slowly than the
/// fleet, so not every gateway watches. The watchers are derived from the names of the reachable
/// gateways. Gateways need no calls or messages to agree on the watchers, and while they disagree,
/// one more gateway watches.
#[derive(Clone, Debug, Default)]
pub struct WatcherSelection {
    peers: BTreeMap<GatewayId, PeerContact>,
}

impl WatcherSelection {
    /// Creates the state of a gateway that has received no messages.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the state in a peer's message.
    pub fn record_peer(&mut self, peer: GatewayId, contact: PeerContact) {
        self.peers.insert(peer, contact);
    }

    /// Returns the role of the gateway `own`.
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
        let reaches_store = |name: &&GatewayId| {
            let contact = self.peers.get(*name);
            contact.is_some_and(|contact| contact.store_reachable)
        };
        let reachable = watchers.iter().copied().filter(reaches_store);
        if reachable.count() >= MIN_REACHABLE_WATCHERS {
            return WatchRole::Follower;
        }
        names.retain(|name| *name == own || reaches_store(name));
        match evenly_spaced(&names, WATCHER_COUNT).contains(&own) {
            true => WatchRole::Fallback,
            false => WatchRole::Follower,
        }
    }

    /// Records a sign of life of a peer whose state has not changed.
    pub fn refresh_peer(&mut self, now: Timestamp, peer: &GatewayId) {
        if let Some(contact) = self.peers.get_mut(peer) {
            contact.received_at = now;
        }
    }

    /// Returns the number of peers that sent a message within the timeout.
    pub fn recent_peer_count(&self, now: Timestamp) -> usize {
        let contacts = self.peers.values();
        let is_recent =
            |contact: &&PeerContact| now.saturating_sub(contact.received_at) <= WATCHER_TIMEOUT;
        contacts.filter(is_recent).count()
    }
}

/// Returns `count` names at equal distances. Names of one failure domain sort together, so the
/// result covers different failure domains.
fn evenly_spaced<'a>(names: &[&'a GatewayId], count: usize) -> Vec<&'a GatewayId> {
    if names.len() <= count {
        return names.to_vec();
    }
    (0..count)
        .map(|index| names[index * names.len() / count])
        .collect()
}
