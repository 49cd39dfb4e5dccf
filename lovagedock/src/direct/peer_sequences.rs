//! Order of the messages received from peers.

use std::collections::{HashMap, VecDeque};

use crate::ids::{GatewayId, Incarnation};

/// Maximum number of former incarnations remembered per peer. A peer restarts a few times per hour
/// at worst, and a datagram is in transit for less than a second.
const MAX_FORMER: usize = 8;

/// Order of a peer's message relative to earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOrder {
    /// The latest message of the peer's current incarnation.
    Latest,
    /// The first message of a new incarnation. The work that the former one placed has ended with
    /// it.
    Restarted,
    /// A later message, or one of a later incarnation, was received before.
    Stale,
}

/// Detects outdated messages of peers.
///
/// Datagrams may overtake each other, also around a restart. If a message of the former incarnation
/// were applied, the gateway would forget the work that the current one has placed, and would
/// allocate the same engine capacity twice.
#[derive(Clone, Debug, Default)]
pub struct PeerSequences {
    peers: HashMap<GatewayId, PeerSequence>,
}

#[derive(Clone, Debug)]
struct PeerSequence {
    incarnation: Incarnation,
    sequence: u64,
    former: VecDeque<Incarnation>,
}

impl PeerSequences {
    /// Creates a state without any received messages.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a message and returns its order.
    pub fn record(
        &mut self,
        peer: &GatewayId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> MessageOrder {
        let Some(known) = self.peers.get_mut(peer) else {
            let known = PeerSequence {
                incarnation,
                sequence,
                former: VecDeque::new(),
            };
            self.peers.insert(peer.clone(), known);
            return MessageOrder::Latest;
        };
        if known.incarnation == incarnation {
            if known.sequence >= sequence {
                return MessageOrder::Stale;
            }
            known.sequence = sequence;
            return MessageOrder::Latest;
        }
        if known.former.contains(&incarnation) {
            return MessageOrder::Stale;
        }
        known.former.push_back(known.incarnation);
        if known.former.len() > MAX_FORMER {
            known.former.pop_front();
        }
        known.incarnation = incarnation;
        known.sequence = sequence;
        MessageOrder::Restarted
    }
}
