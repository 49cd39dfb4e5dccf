//! Gateway daemon on the entry hosts: HTTP for callers, placement, retries and configuration relay.
//!
//! [`Gateway::start`] serves until its shutdown signal. The module `front` checks each request.
//! Each request has its own driver, which executes the decisions of the core crate's
//! [`RequestMachine`](lovagedock::RequestMachine). Sessions to sidecars are owned by worker
//! threads.
//!
//! [`DirectGateway`] is the gateway for fleets without sidecars; it calls endpoints itself.

mod active;
mod admin;
mod adopt;
mod call;
mod call_task;
mod claims;
mod connect;
mod context;
mod cuts;
mod direct;
mod driver;
mod fleet;
mod front;
mod gateway;
mod limits;
mod link;
mod orders;
mod peers;
mod recorded;
mod relay;
mod settings;
mod shared;
mod sources;
mod store_calls;
mod suspects;
mod trail;
mod workers;

pub use direct::{
    CallerHead, CommandRequest, DirectGateway, DirectSettings, EndpointHead, FleetBounds,
    HelperAddress, HttpDialect, MemoryCommand, OutgoingHead, OverloadSettings,
};
pub use gateway::{Gateway, GatewayError};
pub use settings::{
    CallerLimits, GatewaySettings, LinkSettings, ListenerSettings, OrderSettings, PlatformSettings,
};
