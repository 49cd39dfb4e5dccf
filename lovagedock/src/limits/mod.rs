//! Limits of organisations, enforced across all gateways without a store write per request.

mod bucket;
mod demand;
mod limiter;
mod message;
mod peers;
mod usage;

pub use limiter::{LimitDecision, LimitKind, UsageLimiter};
pub use message::{LimitAction, LimitEvent, UsageAck, UsageEntry, UsageReport};
pub use peers::{LimitTiming, ShareStage};
