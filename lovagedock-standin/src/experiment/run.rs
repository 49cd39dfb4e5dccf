//! Runs an experiment.

use std::{
    fmt::{self, Display, Formatter},
    sync::Arc,
    time::Duration,
};

use error_stack::{Report, ResultExt};
use serde::Serialize;
use slog::Logger;
use tokio::runtime::Runtime;

use super::spec::{ExperimentSpec, PlannedRun};
use crate::{
    demo::{DemoOptions, FaultPlan, run_demo},
    load::{LoadReport, RunProgress},
};

/// Time limit for the blocking tasks of a run to end.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Record of a completed experiment.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentRecord {
    /// Name of the experiment's files.
    pub name: String,
    /// Command line that ran the experiment.
    pub command: String,
    /// Time at which the experiment ended, as an HTTP date.
    pub date: String,
    /// Specification of the experiment.
    pub spec: ExperimentSpec,
    /// Model time of the engines per unit of real time.
    pub time_scale: f64,
    /// Reports in the order of the runs.
    pub runs: Vec<LoadReport>,
}

/// A run of an experiment failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExperimentError {
    run: PlannedRun,
}

impl Display for ExperimentError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let PlannedRun { policy, seed } = &self.run;
        write!(f, "the run of policy {policy} with seed {seed} failed")
    }
}

impl std::error::Error for ExperimentError {}

/// Runs every policy with every seed, one run after the other. Must not be called within a `tokio`
/// runtime.
///
/// `on_run_start` is called at the start of each run with its progress counters.
pub fn run_experiment(
    spec: &ExperimentSpec,
    faults: &FaultPlan,
    log: &Logger,
    mut on_run_start: impl FnMut(&PlannedRun, Arc<RunProgress>),
) -> Result<Vec<LoadReport>, Report<ExperimentError>> {
    let mut reports = Vec::new();
    for run in spec.runs() {
        let options = DemoOptions {
            deployment: spec.deployment,
            policy: Some(run.policy.clone()),
            seed: run.seed,
            duration: spec.duration(),
            faults: faults.clone(),
            log: log.clone(),
        };
        let error = ExperimentError { run: run.clone() };
        // Each run gets its own runtime, and the stand-ins' tasks end with it. Tasks left over from
        // a run would take CPU time from the next run and distort its results.
        let runtime = Runtime::new().change_context_lazy(|| error.clone())?;
        let outcome = runtime.block_on(run_demo(&options, |progress| on_run_start(&run, progress)));
        runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        reports.push(outcome.change_context(error)?.report);
    }
    Ok(reports)
}
