//! Which endpoint a request goes to, or why it is refused.
//!
//! A gateway keeps one [`PlacementPolicy`] and one [`PoolState`] for each pool. The policy reads
//! the state as a [`PoolView`] and decides; the gateway carries the choice out and records it in
//! the state. `docs/POLICY.md` tells operators how the default policy decides.

mod baseline;
mod layout;
mod length_aware;
mod mix;
mod predict;
mod prefix;
mod span;
mod state;
mod types;

pub use predict::{LengthClass, predict_first_token, predict_queue};
pub use prefix::{PREFIX_PIECE_TOKENS, prefix_hashes};
pub use state::PoolState;
pub use types::{
    EndpointBacklog, EndpointReport, EndpointView, PlacementChoice, PlacementPolicy,
    PlacementReason, PlacementRequest, PoolView, SentWork, SpanMember,
};
