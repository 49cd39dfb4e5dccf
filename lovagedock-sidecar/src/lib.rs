//! Daemon beside each endpoint: the one door for work and orders to it.
//!
//! [`Sidecar::start`] serves gateways until its shutdown signal; the decisions are in the kernel's
//! [`EndpointCore`](lovagedock::EndpointCore), and an adapter of [`adapter`] speaks to the
//! vendor's engine.

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
