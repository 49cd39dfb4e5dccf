//! Placement of requests on endpoints.
//!
//! A gateway keeps one [`PlacementPolicy`] and one [`PoolState`] for each pool. The policy reads
//! the state as a [`PoolView`] and returns a [`PlacementChoice`]. The gateway applies the choice
//! and records it in the state. `docs/POLICY.md` describes the default policy for operators.

mod baseline;
mod layout;
mod length_aware;
mod mix;
mod predict;
mod prefix;
mod prompt_parts;
mod span;
mod state;
mod types;

pub use predict::{LengthClass, predict_first_token, predict_queue};
pub use prefix::{PREFIX_PIECE_TOKENS, prefix_hashes};
pub use prompt_parts::prompt_parts;
pub use state::PoolState;
pub use types::{
    EndpointBacklog, EndpointReport, EndpointView, PlacementChoice, PlacementPolicy,
    PlacementReason, PlacementRequest, PoolView, SentWork, SpanMember,
};
