//! The words in which decisions speak of the platform's object store.
//!
//! A decision asks for reads and conditional writes of named objects; a daemon carries them out
//! and tells how each ended. Every call ends: a daemon that hears nothing within its own timeout
//! reports [`WriteOutcome::Unknown`] or [`ReadOutcome::Unavailable`].

use std::sync::Arc;

use bytes::Bytes;

/// Name of an object, with `/` between its parts.
pub type ObjectName = Arc<str>;
/// Version that the store gives to each write of an object; never used twice for one name.
pub type ObjectVersion = u64;
/// Tells one write from every other, over all processes.
pub type WriteNonce = u128;

/// What must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteCondition {
    /// There is no such object.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// None: the last writer wins.
    Always,
}

/// How a write or a deletion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect and gave the object this version.
    Applied(ObjectVersion),
    /// The condition did not hold; nothing changed.
    Conflict,
    /// The confirmation was lost: it took effect, or will, or never does.
    Unknown,
    /// The store is down; nothing changed and nothing will.
    Unavailable,
    /// The store refused the call over its rate; nothing changed.
    RateLimited,
}

/// How a read ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ReadOutcome {
    /// The object as it is.
    Found {
        /// Its version.
        version: ObjectVersion,
        /// Its value.
        bytes: Bytes,
    },
    /// There is no such object.
    Absent,
    /// The store is down or did not answer.
    Unavailable,
    /// The store refused the call over its rate.
    RateLimited,
}

/// Makes nonces that no other life of a process makes.
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
