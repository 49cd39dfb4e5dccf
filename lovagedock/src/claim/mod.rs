//! At most once: claims of idempotency keys and the answers recorded for them.
//!
//! `Idempotency-Key`, organisation and service together make a key. A keyed request may start only
//! after its claim is known to be in the store, and its answer is recorded before its clean end, so
//! that each later delivery reads the same bytes, through whichever gateway. Keys are spread over
//! partitions; each is one object, and all claims that wait for a partition go into one
//! conditional update of it ([`ClaimPartition`]).

mod answer;
mod backoff;
mod batch;
mod clock;
mod entry;
mod keys;
mod object;
mod partition;
mod pending;
mod replay;
mod settle;
mod store;
mod sweep;
mod types;

pub use keys::{ClaimKey, PartitionMap, PartitionPlan};
pub use partition::ClaimPartition;
pub use types::{
    BodyDigest, ClaimAction, ClaimEvent, ClaimLimits, ClaimRequest, ClaimStatus, KeyHash,
    PartitionIndex,
};
