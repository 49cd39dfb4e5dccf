//! A gateway that sends requests to endpoints itself, for fleets without sidecars.
//!
//! [`DirectGateway::start`] serves until its shutdown signal. What arrives and leaves is read and
//! written by an [`HttpDialect`], so that nothing here knows a platform's header names, and the
//! state of the fleet comes from a [`FleetFeed`](lovagedock_platform::FleetFeed). Every decision is
//! made by the kernel: `call` carries out what its `DirectMachine` says.

mod call;
mod caller_server;
mod delivery;
mod dialect;
mod discovery;
mod exchange;
mod feed;
mod fleet_tag;
mod gateway;
mod health;
mod liveness;
mod log_limiter;
mod peer_message;
mod peer_sync;
mod peers;
mod reservations;
mod response;
mod settings;
mod state;
mod suspect_sync;

pub use dialect::{
    CallerHead, CommandRequest, EndpointHead, HelperAddress, HttpDialect, MemoryCommand,
    OutgoingHead,
};
pub use gateway::DirectGateway;
pub use settings::{DirectSettings, FleetBounds};
