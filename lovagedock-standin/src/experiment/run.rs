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

/// Longest time that a run's blocking work may take to end.
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// An experiment as it was run.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentRecord {
    /// Name of the experiment's files.
    pub name: String,
    /// Command that ran it.
    pub command: String,
    /// When it ended, as an HTTP date.
    pub date: String,
    /// What it was told.
    pub spec: ExperimentSpec,
    /// Model time of the engines in one unit of real time.
    pub time_scale: f64,
    /// The runs' reports in the order of the runs.
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
        write!(f, "the run of {policy} with seed {seed} failed")
    }
}

impl std::error::Error for ExperimentError {}

/// Runs every policy with every seed, one run after the other; must not be called on a runtime.
///
/// `watch` gets each run as it starts, with the numbers that grow.
pub fn run_experiment(
    spec: &ExperimentSpec,
    faults: &FaultPlan,
    log: &Logger,
    mut watch: impl FnMut(&PlannedRun, Arc<RunProgress>),
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
        // A runtime for each run: what a run leaves behind would take processor time from the next
        // and show in its figures. The stand-ins' tasks end with the runtime.
        let runtime = Runtime::new().change_context_lazy(|| error.clone())?;
        let outcome = runtime.block_on(run_demo(&options, |progress| watch(&run, progress)));
        runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
        reports.push(outcome.change_context(error)?.report);
    }
    Ok(reports)
}
