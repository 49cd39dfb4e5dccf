//! Which configuration is in force at a process, and how an accepted one reaches every process.
//!
//! The store holds the accepted configuration: chunks named by their hash and one root, the
//! [`ConfigManifest`]. A few processes watch the root ([`RelayPlan`] says which); they hand it to
//! the others along a tree, as the chunks that the receiver lacks ([`ConfigBundle`]). A second
//! tree offers the generation number, and each process compares itself with a random peer from
//! time to time, so a lost message or a dead parent delays a process and never leaves it behind.
//! [`AdoptionState`] decides all this for one process.

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
