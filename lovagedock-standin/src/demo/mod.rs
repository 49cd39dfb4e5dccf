//! Demo: a complete deployment in one process, with a mix of calls, faults and a report.

mod deployment;
mod faults;
mod injector;
mod overhead;
mod run;

pub use deployment::{Deployment, DeploymentError};
pub use faults::{FaultPlan, FaultStep, PlannedFault};
pub use run::{DemoError, DemoOptions, DemoOutcome, TIME_SCALE, run_demo};
