//! Events, actions and limits of adoption.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    bundle::{BundleError, ConfigBundle},
    manifest::{ChunkHash, ConfigManifest, ManifestDigest},
    role::RelayRole,
};
use crate::ids::{Generation, Timestamp};

/// Name of one of our processes.
pub type ProcessId = Arc<str>;

/// How a read or a watch of the root ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RootOutcome {
    /// The accepted configuration.
    Found(ConfigManifest),
    /// A watch ended without a change, or nothing was accepted yet.
    Unchanged,
    /// The store is down, slow or refused the call.
    Unavailable,
}

/// What a peer answers to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullAnswer {
    /// What the peer has in force; 0 for nothing.
    pub generation: Generation,
    /// What the puller lacks, if the peer has more.
    pub bundle: Option<ConfigBundle>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum AdoptionEvent {
    /// The relay's plan, or the peers known from the settings before there is a plan.
    Role(RelayRole),
    /// A read or watch of the root ended.
    RootRead(RootOutcome),
    /// A read of a chunk ended; `None` when the store failed.
    ChunkRead {
        /// Name of the chunk.
        hash: ChunkHash,
        /// Its bytes.
        bytes: Option<Bytes>,
    },
    /// A peer pushed; the daemon answers it with [`super::AdoptionState::generation`] afterwards.
    Pushed {
        /// The peer.
        from: ProcessId,
        /// What it sent.
        bundle: ConfigBundle,
    },
    /// A peer told that it has this generation: by an offer, a heartbeat or a greeting.
    PeerReported {
        /// The peer.
        from: ProcessId,
        /// Its generation.
        generation: Generation,
    },
    /// The receiver of a push told what it has now.
    PushAnswered {
        /// The receiver.
        to: ProcessId,
        /// What it has.
        generation: Generation,
    },
    /// A push had no answer in time.
    PushFailed {
        /// The receiver.
        to: ProcessId,
    },
    /// A pull ended; `None` when it had no answer in time.
    Pulled {
        /// The peer.
        from: ProcessId,
        /// What it answered.
        answer: Option<PullAnswer>,
    },
    /// Somebody said that the store accepted this generation, as `apply` does.
    Accepted {
        /// The generation.
        generation: Generation,
    },
    /// Time passed; due at the last [`AdoptionAction::WakeAt`].
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptionAction {
    /// Read the root and report [`AdoptionEvent::RootRead`].
    ReadRoot,
    /// Watch the root until it is above this generation and report [`AdoptionEvent::RootRead`].
    WatchRoot {
        /// What is known.
        above: Generation,
    },
    /// Read a chunk and report [`AdoptionEvent::ChunkRead`].
    ReadChunk {
        /// Its name.
        hash: ChunkHash,
    },
    /// Push to a peer and report [`AdoptionEvent::PushAnswered`] or its failure.
    Push {
        /// The receiver.
        to: ProcessId,
        /// What to send.
        bundle: ConfigBundle,
    },
    /// Tell a peer what is in force here; no answer is needed.
    Offer {
        /// The receiver.
        to: ProcessId,
        /// What is in force here.
        generation: Generation,
    },
    /// Ask a peer for what it has above a generation and report [`AdoptionEvent::Pulled`].
    Pull {
        /// The peer.
        from: ProcessId,
        /// What is in force here; 0 asks for the whole.
        above: Generation,
    },
    /// [`super::AdoptionState::text`] is now the configuration in force.
    Adopt {
        /// Its generation.
        generation: Generation,
        /// Its digest.
        digest: ManifestDigest,
        /// Where it came from.
        source: AdoptionSource,
    },
    /// What a peer sent was not taken; for the log.
    Rejected {
        /// The peer.
        from: ProcessId,
        /// Why.
        error: BundleError,
    },
    /// Send [`AdoptionEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Where a configuration came from.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdoptionSource {
    /// The platform's store.
    Store,
    /// A peer that pushed it.
    Push(ProcessId),
    /// A peer that was asked.
    Pull(ProcessId),
}

/// Times and counts of adoption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptionLimits {
    /// Mean time between comparisons with a random peer.
    pub compare_interval: Duration,
    /// Mean time between reads of the store by a process that does not watch it.
    pub poll_interval: Duration,
    /// Pause between two watches; also paces a store that answers each watch at once.
    pub watch_pause: Duration,
    /// First pause after the store failed; doubles up to `max_backoff`, with jitter.
    pub backoff: Duration,
    /// Longest pause after the store failed.
    pub max_backoff: Duration,
    /// Pause before a failed push is repeated, with jitter.
    pub push_retry: Duration,
    /// Pushes of one generation to one peer, repeats included.
    pub max_pushes: u32,
    /// How long an offer waits for the push that is expected from another peer.
    pub offer_delay: Duration,
    /// Time between a stand-in's comparisons with each of its higher_ranked.
    pub standby_check_interval: Duration,
    /// Silence after which a senior counts as gone.
    pub standby_timeout: Duration,
    /// Peers that a process without configuration asks at once.
    pub startup_peers: usize,
    /// How long such a process waits for the rest of them after the first answer.
    pub startup_wait: Duration,
    /// Chunks that are read from the store at a time.
    pub chunk_reads: usize,
    /// Older generations that changes can be told against.
    pub history: usize,
}

impl Default for AdoptionLimits {
    fn default() -> Self {
        Self {
            compare_interval: Duration::from_secs(2),
            poll_interval: Duration::from_secs(600),
            watch_pause: Duration::from_millis(20),
            backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(2),
            push_retry: Duration::from_millis(300),
            max_pushes: 4,
            offer_delay: Duration::from_millis(300),
            standby_check_interval: Duration::from_secs(1),
            standby_timeout: Duration::from_millis(2_500),
            startup_peers: 3,
            startup_wait: Duration::from_millis(500),
            chunk_reads: 8,
            history: 8,
        }
    }
}

/// What a dump shows of adoption.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionStatus {
    /// In force here; 0 for nothing.
    pub generation: Generation,
    /// Highest generation that anybody told of.
    pub heard: Generation,
    /// Where the one in force came from.
    pub source: Option<AdoptionSource>,
    /// Whether this process watches the store.
    pub watches: bool,
    /// Store calls that failed in a row.
    pub store_failures: u32,
}
