//! Which gateways are known and not heard.

use std::{collections::HashMap, time::Duration};

use super::rate_limit::GatewayCount;
use crate::ids::{GatewayId, Timestamp};

/// Time without a message after which a peer is out of sight: four of its heartbeats were lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a peer that is out of sight counts as gone. Entries of gateways stay in the store
/// when their hosts are gone for good.
const GONE_TIMEOUT: Duration = Duration::from_secs(120);

/// Remembers when peers were heard.
///
/// The failure that it answers: gateways that cannot hear each other, though each of them serves. What
/// one has found out has to reach the others by way of the store then; as long as all are heard, no
/// call of the store is needed.
#[derive(Clone, Debug, Default)]
pub struct PeerLiveness {
    peers: HashMap<GatewayId, PeerRecord>,
}

#[derive(Clone, Copy, Debug)]
struct PeerRecord {
    has_sent: bool,
    /// When it was heard last, or listed if it never was.
    at: Timestamp,
}

impl PeerLiveness {
    /// Nobody is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a peer is listed.
    pub fn record_listed(&mut self, now: Timestamp, peer: &GatewayId) {
        let record = PeerRecord {
            has_sent: false,
            at: now,
        };
        self.peers.entry(peer.clone()).or_insert(record);
    }

    /// Records that a peer was heard.
    pub fn record_message(&mut self, now: Timestamp, peer: &GatewayId) {
        let record = PeerRecord {
            has_sent: true,
            at: now,
        };
        match self.peers.get_mut(peer) {
            Some(known) => *known = record,
            None => {
                self.peers.insert(peer.clone(), record);
            }
        }
    }

    /// Forgets a peer that is no longer listed.
    pub fn forget(&mut self, peer: &GatewayId) {
        self.peers.remove(peer);
    }

    /// Counts the gateways that are heard and all that may be serving, including this one.
    pub fn count(&self, now: Timestamp) -> GatewayCount {
        let mut count = GatewayCount { heard: 1, known: 1 };
        for record in self.peers.values() {
            let silence = now.saturating_sub(record.at);
            let is_reachable = record.has_sent && silence <= SILENCE_TIMEOUT;
            count.heard += usize::from(is_reachable);
            count.known += usize::from(is_reachable || silence <= GONE_TIMEOUT);
        }
        count
    }

    /// Whether some peer that may serve is out of sight.
    pub fn has_silent_peers(&self, now: Timestamp) -> bool {
        self.peers.values().any(|record| {
            let silence = now.saturating_sub(record.at);
            let is_silent = !record.has_sent || silence > SILENCE_TIMEOUT;
            is_silent && silence <= GONE_TIMEOUT
        })
    }
}
