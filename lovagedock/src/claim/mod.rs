//! At-most-once execution: claims of idempotency keys and their recorded answers.
//!
//! A key consists of the `Idempotency-Key` header, the organisation and the service. A keyed
//! request may start only after its claim is confirmed by the store. Its answer is recorded before
//! it ends cleanly, so that each repeat returns the same bytes through any gateway. Keys are
//! distributed over partitions. Each partition is one object, and all claims that wait for it go
//! into one conditional update ([`ClaimPartition`]).

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
