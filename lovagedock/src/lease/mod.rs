//! Leases: which process may give orders, and the fencing number that each order carries.
//!
//! What holds, with clocks whose rates differ by less than [`LeaseLimits::clock_margin_percent`]:
//!
//! - At any moment [`LeaseHolder::fence`] returns a number at one process at most.
//! - Two holders never have the same epoch, and a later holder has a higher one.
//!
//! A process that asked for its fence may be paused before its order leaves, or the order may be
//! delayed, so an old order can still arrive after another process holds the lease. The fence
//! guarantees that at each receiver with a [`FenceMark`] orders take effect in the order of their
//! epochs: none of an earlier holder after one of a later holder. A new holder that sends its epoch
//! to all receivers first can from then on rely on what they report.

mod fence;
mod holder;
mod record;
mod store;
mod types;

pub use fence::FenceMark;
pub use holder::LeaseHolder;
pub use types::{LeaseAction, LeaseEvent, LeaseLimits, LeaseStatus};
