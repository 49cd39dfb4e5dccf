//! Leases determine which process may give orders, and the fencing number that each order carries.
//!
//! Guarantees, for clocks whose rates differ by less than [`LeaseLimits::clock_margin_percent`]:
//!
//! - At any moment, [`LeaseHolder::fence`] returns a number at one process at most.
//! - Two holders never have the same epoch, and a later holder has a higher one.
//!
//! A process may be paused between the call of `fence` and the sending of its order, or the order
//! may be delayed. An old order can thus arrive after another process has acquired the lease. At
//! each receiver with a [`FenceMark`], orders take effect in the order of their epochs: no order of
//! an earlier holder takes effect after one of a later holder. Once a new holder has sent its epoch
//! to all receivers, it can rely on their reports.

mod fence;
mod holder;
mod record;
mod store;
mod types;

pub use fence::FenceMark;
pub use holder::LeaseHolder;
pub use types::{LeaseAction, LeaseEvent, LeaseLimits, LeaseStatus};
