//! Stand-ins of the platform, of engines and of plain services; the product never depends on them.

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
