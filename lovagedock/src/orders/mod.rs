//! Orders to engines: which artifacts each engine of a pool has to load, and when.
//!
//! [`OrderPlanner`] runs at the gateway that holds the lease of a pool. [`LoadedArtifacts`] runs at
//! each sidecar and tracks what its engine has loaded.

mod artifact;
mod contenders;
mod endpoint;
mod loaded;
mod planner;

mod types;

pub use artifact::{Artifact, ArtifactSet, LoadOrder};
pub use contenders::pool_contenders;
pub use loaded::LoadedArtifacts;
pub use planner::OrderPlanner;
pub use types::{LoadedReport, OrderAction, OrderAnswer, OrderEvent, OrderLimits, OrderStatus};
