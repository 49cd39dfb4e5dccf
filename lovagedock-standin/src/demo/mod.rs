//! The demonstration: a whole deployment in one process, a mix of calls, faults, and the report.

mod control;
mod deployment;
mod faults;
mod inject;
mod run;

pub use deployment::{Deployment, DeploymentError};
pub use faults::{FaultPlan, FaultStep, PlannedFault};
pub use run::{DemoError, DemoOptions, DemoOutcome, TIME_SCALE, run_demo};
