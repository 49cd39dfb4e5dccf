//! Calls to the platform's object store as the state machines request them.
//!
//! A state machine requests reads and conditional writes of named objects. A daemon executes them
//! and reports the outcome of each. Every call has an outcome: a daemon that gets no response
//! within its own timeout reports [`WriteOutcome::Unknown`] or [`ReadOutcome::Unavailable`].

use std::sync::Arc;

use bytes::Bytes;

/// Name of an object; its parts are separated by `/`.
pub type ObjectName = Arc<str>;
/// Version that the store assigns to each write of an object; never reused for the same name.
pub type ObjectVersion = u64;
/// Identifies one write among the writes of all processes.
pub type WriteNonce = u128;

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// No condition: the last writer wins.
    Always,
}

/// Outcome of a write or a deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The write took effect and the object now has this version.
    Applied(ObjectVersion),
    /// The condition did not hold; nothing changed.
    Conflict,
    /// The confirmation was lost: the write may have taken effect, may still take effect, or may
    /// never do so.
    Unknown,
    /// The store is unavailable; nothing changed and the write will not take effect later.
    Unavailable,
    /// The store rejected the call because of its rate limit; nothing changed.
    RateLimited,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The object was found.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its value.
        bytes: Bytes,
    },
    /// The object does not exist.
    Absent,
    /// The store is unavailable or did not respond.
    Unavailable,
    /// The store rejected the call because of its rate limit.
    RateLimited,
}

/// Generates nonces that no other incarnation of a process generates.
#[derive(Clone, Debug)]
pub(crate) struct NonceSource {
    incarnation: u64,
    count: u64,
}

impl NonceSource {
    pub(crate) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            count: 0,
        }
    }

    pub(crate) fn next_nonce(&mut self) -> WriteNonce {
        self.count += 1;
        (u128::from(self.incarnation) << 64) | u128::from(self.count)
    }
}
