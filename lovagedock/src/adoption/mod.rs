//! Distribution of accepted configurations to all processes, and the configuration in force at
//! each.
//!
//! The store holds the accepted configuration: chunks named by their hash and one root, the
//! [`ConfigManifest`]. A few processes, selected by [`RelayPlan`], watch the root. They push it to
//! the others along a tree, as the chunks that the receiver lacks ([`ConfigBundle`]). A second tree
//! distributes only the generation number, and each process periodically compares its generation
//! with a random peer. A lost message or a dead parent therefore delays a process, but never leaves
//! it behind for good. [`AdoptionState`] is the state machine of one process.

mod bundle;
mod counter;
mod manifest;
mod plan;
mod push;
mod repair;
mod role;
mod standby;
mod startup;
mod state;
mod types;
mod upstream;

pub use bundle::{BundleError, ConfigBundle};
pub use counter::{AdoptionCount, AdoptionCounter};
pub use manifest::{ChunkHash, ConfigManifest, ManifestDigest, chunk_hash};
pub use plan::RelayPlan;
pub use role::{RelayKind, RelayLimits, RelayMember, RelayRole};
pub use state::AdoptionState;
pub use types::{
    AdoptionAction, AdoptionEvent, AdoptionLimits, AdoptionSource, AdoptionStatus, ProcessId,
    PullAnswer, RootOutcome,
};
