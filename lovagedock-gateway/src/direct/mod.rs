//! A gateway that sends requests to endpoints itself, for fleets without sidecars.
//!
//! [`DirectGateway::start`] serves until its shutdown signal. What arrives and leaves is read and
//! written by an [`HttpDialect`], so that nothing here knows a platform's header names, and the
//! state of the fleet comes from a [`FleetFeed`](lovagedock_platform::FleetFeed). Every decision is
//! made by the kernel: `call` carries out what its `DirectMachine` says.

mod answer;
mod board;
mod call;
mod delivery;
mod dialect;
mod exchange;
mod feed;
mod fleet_tag;
mod front;
mod gateway;
mod journal;
mod liveness;
mod meeting;
mod peer_message;
mod peers;
mod probe;
mod relay;
mod settings;
mod suspect_keeper;
mod tickets;

pub use dialect::{
    CallerHead, EndpointHead, HelperAddress, HttpDialect, MemoryOrder, OrderCall, OutgoingHead,
};
pub use gateway::DirectGateway;
pub use settings::{DirectSettings, FleetBounds};
