//! Stand-ins of the platform, of engines and of plain services; the product never depends on them.

mod platform;

pub use platform::{
    FaultKind, FaultOrder, PlatformCounters, PlatformOptions, PlatformStandin, RunningStandin,
};
