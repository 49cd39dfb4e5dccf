//! The demonstration: a whole deployment in one process, a mix of calls, faults, and the report.

mod deployment;
mod faults;
mod injector;
mod overhead;
mod run;

pub use deployment::{Deployment, DeploymentError};
pub use faults::{FaultPlan, FaultStep, PlannedFault};
pub use run::{DemoError, DemoOptions, DemoOutcome, TIME_SCALE, run_demo};
