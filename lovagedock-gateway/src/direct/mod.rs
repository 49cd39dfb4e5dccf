//! Gateway for fleets without sidecars; it sends requests to endpoints itself.
//!
//! [`DirectGateway::start`] serves until its shutdown signal. An [`HttpDialect`] translates the
//! headers of requests and responses, so that this module does not depend on a platform's header
//! names. The state of the fleet comes from a [`FleetFeed`](lovagedock_platform::FleetFeed). The
//! kernel's `DirectMachine` makes all decisions about a request, and `call` executes them.

mod admin;
mod body_memory;
mod call;
mod caller_connections;
mod caller_server;
mod checked_head;
mod delivery;
mod dialect;
mod discovery;
mod exchange;
mod feed;
mod fleet_tag;
mod gateway;
mod guarded_body;
mod health;
mod liveness;
mod log_limiter;
mod output_memory;
mod peer_message;
mod peer_sync;
mod peers;
mod relay_outbox;
mod request_body;
mod reservations;
mod response;
mod settings;
mod sheet_writes;
mod state;
mod suspect_sync;

pub use dialect::{
    CallerHead, CommandRequest, EndpointHead, HelperAddress, HttpDialect, MemoryCommand,
    OutgoingHead,
};
pub use gateway::DirectGateway;
pub use settings::{DirectSettings, FleetBounds, OverloadSettings};
