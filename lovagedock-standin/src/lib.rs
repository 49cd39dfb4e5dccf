//! Stand-ins of the platform, of engines and of plain services, for tests, load runs and the demo.
//!
//! The product does not depend on this crate.

pub mod demo;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod load;
mod platform;
pub mod service;

pub use platform::{
    FaultCommand, FaultKind, PlatformCounters, PlatformOptions, PlatformStandin, RunningPlatform,
};
