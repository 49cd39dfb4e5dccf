//! Decisions of a sidecar: admission, memory accounting, and the outcome of each request.
//!
//! All requests to an endpoint go through its sidecar. The sidecar is therefore the only process
//! that can determine whether a request has run, account for the engine's memory, and order the
//! queue.
//! [`EndpointCore`] combines the parts.

mod answers;
mod attempt_control;
mod core;
mod engine;
mod entry;
mod expiry;
mod fair_queue;
mod finish;
mod head_reservation;
mod ledger;
mod limits;
mod messages;
mod queue;
mod reconcile;
mod reserve;
mod snapshot;
mod speed;
mod submit;
mod tombstones;
mod work;

pub use self::core::EndpointCore;
pub use ledger::{LeaseState, MemoryLease, MemoryLedger};
pub use limits::{EndpointLimits, EndpointSafeguards, OrganisationShare};
pub use messages::{
    EndpointAction, EndpointEvent, EngineAllocation, EngineAnswer, EngineReport, EngineResult,
    WorkOrder,
};
pub use snapshot::{EndpointLoad, EndpointSnapshot, RequestSnapshot};
