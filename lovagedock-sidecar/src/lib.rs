//! Daemon that runs beside each endpoint; all work and all orders for the endpoint pass through it.
//!
//! [`Sidecar::start`] serves gateways until its shutdown signal is triggered. The decisions are
//! made by the [`EndpointCore`](lovagedock::EndpointCore) of the core crate. An adapter from
//! [`adapter`] communicates with the vendor's engine.

pub mod adapter;
mod admin;
mod answers;
mod config;
mod engine_task;
mod orders;
mod poll;
mod report;
mod segment;
mod session;
mod settings;
mod sidecar;
mod state;

pub use settings::{EngineSettings, SessionSettings, SidecarSettings};
pub use sidecar::{Sidecar, SidecarError};
