//! Events, actions and limits of adoption.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use super::{
    bundle::{BundleError, ConfigBundle},
    manifest::{ChunkHash, ConfigManifest, ManifestDigest},
    role::RelayRole,
};
use crate::ids::{Generation, Timestamp};

/// Name of a lovagedock process.
pub type ProcessId = Arc<str>;

/// Result of a read or a watch of the root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RootOutcome {
    /// The accepted configuration.
    Found(ConfigManifest),
    /// A watch ended without a change, or no configuration was accepted yet.
    Unchanged,
    /// The store is down or slow, or it refused the call.
    Unavailable,
}

/// A peer's answer to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullAnswer {
    /// Generation in force at the peer; 0 for none.
    pub generation: Generation,
    /// The peer's configuration, if it is newer than the requester's.
    pub bundle: Option<ConfigBundle>,
}

/// An event that an adoption state reacts to.
#[derive(Clone, Debug)]
pub enum AdoptionEvent {
    /// The role of this process in the distribution plan. Before there is a plan, it contains only
    /// the peers from the settings.
    Role(RelayRole),
    /// A read or watch of the root ended.
    RootRead(RootOutcome),
    /// A read of a chunk ended.
    ChunkRead {
        /// Hash of the chunk.
        hash: ChunkHash,
        /// Bytes of the chunk; `None` if the store failed.
        bytes: Option<Bytes>,
    },
    /// A peer pushed a bundle. The daemon replies with [`super::AdoptionState::generation`] after
    /// handling this event.
    Pushed {
        /// The peer.
        from: ProcessId,
        /// The bundle.
        bundle: ConfigBundle,
    },
    /// A peer reported its generation by an offer, a heartbeat or a greeting.
    PeerReported {
        /// The peer.
        from: ProcessId,
        /// Generation in force at the peer.
        generation: Generation,
    },
    /// The receiver of a push replied with its generation.
    PushAnswered {
        /// The receiver.
        to: ProcessId,
        /// Generation in force at the receiver.
        generation: Generation,
    },
    /// A push failed or was not answered in time.
    PushFailed {
        /// The receiver.
        to: ProcessId,
    },
    /// A pull ended.
    Pulled {
        /// The peer.
        from: ProcessId,
        /// The peer's answer; `None` if there was none in time.
        answer: Option<PullAnswer>,
    },
    /// This process was notified that the store accepted a generation, for instance by `apply`.
    Accepted {
        /// The generation.
        generation: Generation,
    },
    /// The time of the last [`AdoptionAction::WakeAt`] is due.
    Tick,
}

/// An action to carry out for an adoption state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdoptionAction {
    /// Read the root and report [`AdoptionEvent::RootRead`].
    ReadRoot,
    /// Watch the root until it is above this generation and report [`AdoptionEvent::RootRead`].
    WatchRoot {
        /// Generation in force at this process.
        above: Generation,
    },
    /// Read a chunk and report [`AdoptionEvent::ChunkRead`].
    ReadChunk {
        /// Hash of the chunk.
        hash: ChunkHash,
    },
    /// Push a bundle to a peer and report [`AdoptionEvent::PushAnswered`] or
    /// [`AdoptionEvent::PushFailed`].
    Push {
        /// The receiver.
        to: ProcessId,
        /// The bundle.
        bundle: ConfigBundle,
    },
    /// Send a peer the generation in force at this process. No answer is needed.
    Offer {
        /// The receiver.
        to: ProcessId,
        /// Generation in force at this process.
        generation: Generation,
    },
    /// Request a newer configuration from a peer and report [`AdoptionEvent::Pulled`].
    Pull {
        /// The peer.
        from: ProcessId,
        /// Generation in force at this process; 0 requests a complete bundle.
        above: Generation,
    },
    /// [`super::AdoptionState::text`] is now the configuration in force.
    Adopt {
        /// Generation of the configuration.
        generation: Generation,
        /// Digest of the manifest.
        digest: ManifestDigest,
        /// Source of the configuration.
        source: AdoptionSource,
    },
    /// A bundle from a peer was rejected. This action is only for the log.
    Rejected {
        /// The peer.
        from: ProcessId,
        /// Reason for the rejection.
        error: BundleError,
    },
    /// Send [`AdoptionEvent::Tick`] at this time; replaces an earlier one.
    WakeAt(Timestamp),
}

/// Source of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AdoptionSource {
    /// The platform's store.
    Store,
    /// A push from a peer.
    Push(ProcessId),
    /// A pull from a peer.
    Pull(ProcessId),
}

/// Time limits and counts of adoption.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptionLimits {
    /// Mean time between comparisons with a random peer.
    pub compare_interval: Duration,
    /// Mean time between reads of the store by a process that does not watch it.
    pub poll_interval: Duration,
    /// Pause between two watches. It also limits the rate of calls to a store that answers each
    /// watch at once.
    pub watch_pause: Duration,
    /// First pause after a store failure. It doubles up to `max_backoff` and has jitter.
    pub backoff: Duration,
    /// Maximum pause after a store failure.
    pub max_backoff: Duration,
    /// Pause before a failed push is repeated, with jitter.
    pub push_retry: Duration,
    /// Maximum number of pushes of one generation to one peer, including repeats.
    pub max_pushes: u32,
    /// Delay between an offer and the pull, in which the push from another peer usually arrives.
    pub offer_delay: Duration,
    /// Interval at which a standby checks each higher-ranked relay.
    pub standby_check_interval: Duration,
    /// Time without contact after which a higher-ranked relay counts as gone.
    pub standby_timeout: Duration,
    /// Number of peers that a process without configuration asks at once.
    pub startup_peers: usize,
    /// How long such a process waits for further answers after the first one.
    pub startup_wait: Duration,
    /// Maximum number of chunks that are read from the store at the same time.
    pub chunk_reads: usize,
    /// Number of older generations that can be the base of a bundle.
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

/// State of adoption for a dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionStatus {
    /// Generation in force at this process; 0 for none.
    pub generation: Generation,
    /// Highest generation that this process knows of.
    pub heard: Generation,
    /// Source of the generation in force.
    pub source: Option<AdoptionSource>,
    /// Whether this process watches the store.
    pub watches: bool,
    /// Number of consecutive store failures.
    pub store_failures: u32,
}
