//! Decides which connections of callers a gateway holds.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::Timestamp;

/// Number of a connection in the table.
pub type ConnectionId = u64;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPhase {
    /// The caller may read the end of a response before the connection is closed.
    Closing,
    /// No part of a request has arrived.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// A whole request was received, and its response has not ended.
    Serving,
}

/// Whether a new connection is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionVerdict {
    /// It is held.
    Admitted {
        /// Its number.
        id: ConnectionId,
        /// A connection to be closed in its place.
        closed: Option<ConnectionId>,
    },
    /// All connections serve requests.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    phase: ConnectionPhase,
    /// Since when nothing, or the current request, has been received.
    since: Timestamp,
    is_closed: bool,
}

impl ConnectionState {
    /// Returns the order in which connections are closed, or `None` if it serves a request.
    fn rank(&self) -> Option<(ConnectionPhase, Timestamp)> {
        match self.phase {
            ConnectionPhase::Serving => None,
            // A request that arrives slowly gives way whatever part of it is missing.
            ConnectionPhase::Head | ConnectionPhase::Body => {
                Some((ConnectionPhase::Head, self.since))
            }
            phase => Some((phase, self.since)),
        }
    }
}

/// Limits the connections of callers, so that descriptors are left for endpoints, peers and the
/// store, and memory for what is received.
///
/// A full table closes the connection that has been idle for the longest, or else the one whose
/// request has been arriving for the longest. Connections that stay open without a request then
/// never keep others out, and no request is lost that was received as a whole.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: BTreeMap<ConnectionId, ConnectionState>,
    next_id: ConnectionId,
    closed_count: usize,
}

impl ConnectionTable {
    /// Creates an empty table for `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            connections: BTreeMap::new(),
            next_id: 0,
            closed_count: 0,
        }
    }

    /// Returns the number of connections, without those that are being closed.
    pub fn open_count(&self) -> usize {
        self.connections.len() - self.closed_count
    }

    /// Adds a connection, unless all others serve requests.
    pub fn open(&mut self, now: Timestamp) -> ConnectionVerdict {
        let mut closed = None;
        if self.open_count() >= self.limit {
            let open = self.connections.iter_mut();
            let open = open.filter(|(_, connection)| !connection.is_closed);
            let ranked = open.filter_map(|(id, connection)| {
                let rank = connection.rank()?;
                Some((rank, *id, connection))
            });
            let Some((_, id, connection)) = ranked.min_by_key(|(rank, id, _)| (*rank, *id)) else {
                return ConnectionVerdict::Full;
            };
            connection.is_closed = true;
            self.closed_count += 1;
            closed = Some(id);
        }
        self.next_id += 1;
        let connection = ConnectionState {
            phase: ConnectionPhase::Idle,
            since: now,
            is_closed: false,
        };
        self.connections.insert(self.next_id, connection);
        ConnectionVerdict::Admitted {
            id: self.next_id,
            closed,
        }
    }

    /// Records what a connection is used for. Returns whether it is held further; otherwise it is
    /// being closed, and no request may be served on it.
    pub fn set_phase(&mut self, now: Timestamp, id: ConnectionId, phase: ConnectionPhase) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        if phase != ConnectionPhase::Body {
            connection.since = now;
        }
        connection.phase = phase;
        !connection.is_closed
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        let closed = self.connections.remove(&id);
        let was_closed = closed.is_some_and(|connection| connection.is_closed);
        self.closed_count -= usize::from(was_closed);
    }

    /// Returns the connections to be closed since the head of their request has been arriving for
    /// longer than `timeout`, each only once.
    pub fn take_late_heads(&mut self, now: Timestamp, timeout: Duration) -> Vec<ConnectionId> {
        let open = self.connections.iter_mut();
        let late = open.filter(|(_, connection)| {
            !connection.is_closed
                && connection.phase == ConnectionPhase::Head
                && now.saturating_sub(connection.since) > timeout
        });
        let late: Vec<_> = late
            .map(|(id, connection)| {
                connection.is_closed = true;
                *id
            })
            .collect();
        self.closed_count += late.len();
        late
    }
}
