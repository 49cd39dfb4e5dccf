//! Detection of known gateways whose messages do not arrive.

use std::{collections::HashMap, time::Duration};

use super::rate_limit::GatewayCount;
use crate::ids::{GatewayId, Timestamp};

/// Time without a message after which a peer counts as silent. Four of its heartbeats were lost by
/// then.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a silent peer counts as gone. Entries of gateways stay in the store even if
/// their hosts are gone for good.
const GONE_TIMEOUT: Duration = Duration::from_secs(120);

/// Times of the latest messages from peers.
///
/// Gateways that are all serving may be unable to reach each other. Their updates then have to go
/// through the store. As long as messages of all gateways arrive, no call to the store is needed.
#[derive(Clone, Debug, Default)]
pub struct PeerLiveness {
    peers: HashMap<GatewayId, PeerRecord>,
}

#[derive(Clone, Copy, Debug)]
struct PeerRecord {
    has_sent: bool,
    /// When its latest message was received, or when it was listed if none was received.
    silent_since: Timestamp,
}

impl PeerLiveness {
    /// Creates a state without peers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a peer is listed.
    pub fn record_listed(&mut self, now: Timestamp, peer: &GatewayId) {
        let record = PeerRecord {
            has_sent: false,
            silent_since: now,
        };
        self.peers.entry(peer.clone()).or_insert(record);
    }

    /// Records that a message of a peer was received.
    pub fn record_message(&mut self, now: Timestamp, peer: &GatewayId) {
        let record = PeerRecord {
            has_sent: true,
            silent_since: now,
        };
        match self.peers.get_mut(peer) {
            Some(known) => *known = record,
            None => {
                self.peers.insert(peer.clone(), record);
            }
        }
    }

    /// Removes a peer that is no longer listed.
    pub fn forget(&mut self, peer: &GatewayId) {
        self.peers.remove(peer);
    }

    /// Counts the gateways whose messages arrive, and all gateways that may be serving. Both counts
    /// include this one.
    pub fn count(&self, now: Timestamp) -> GatewayCount {
        let mut count = GatewayCount {
            reachable: 1,
            known: 1,
        };
        for record in self.peers.values() {
            let silence = now.saturating_sub(record.silent_since);
            let is_reachable = record.has_sent && silence <= SILENCE_TIMEOUT;
            count.reachable += usize::from(is_reachable);
            count.known += usize::from(is_reachable || silence <= GONE_TIMEOUT);
        }
        count
    }

    /// Returns whether any peer that may be serving is silent.
    pub fn has_silent_peers(&self, now: Timestamp) -> bool {
        self.peers.values().any(|record| {
            let silence = now.saturating_sub(record.silent_since);
            let is_silent = !record.has_sent || silence > SILENCE_TIMEOUT;
            is_silent && silence <= GONE_TIMEOUT
        })
    }
}
