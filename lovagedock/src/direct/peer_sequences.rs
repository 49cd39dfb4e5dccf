//! Which messages of a peer are news.

use std::collections::{HashMap, VecDeque};

use crate::ids::{GatewayId, Incarnation};

/// Former lives of a peer that are remembered; one restarts a few times in an hour at worst, and a
/// datagram is on its way for less than a second.
const MAX_FORMER: usize = 8;

/// What is made of a peer's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageOrder {
    /// It is the latest of a peer's present life.
    Latest,
    /// It is the first of a new life; what the former one placed has ended with it.
    Restarted,
    /// A later one was heard, or a later life.
    Stale,
}

/// Orders the messages of peers.
///
/// Datagrams overtake each other, also around a restart: taken in, one of the former life would make
/// the gateway forget what the present one has placed, and book its engines a second time.
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
    /// Nobody was heard yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a message.
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
