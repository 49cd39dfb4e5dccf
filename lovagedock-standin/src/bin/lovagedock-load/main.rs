//! Open-loop load generator.

mod experiment;
mod single;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lovagedock_daemon::ExitStatus;
use tokio::runtime::Runtime;

use crate::{
    experiment::{ExperimentArgs, run_experiment_file},
    single::{SingleArgs, run_single},
};

/// Sends a seeded mix of calls to gateways and reports latency, outcomes and violated guarantees.
///
/// Exit codes: 0 no violations; 1 violations, or the run failed; 2 invalid arguments; 3 errors in
/// the mix or the experiment.
#[derive(Debug, Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    subcommand_negates_reqs = true
)]
struct LoadCommand {
    #[command(subcommand)]
    command: Option<OwnFleetCommand>,
    #[command(flatten)]
    single: Option<SingleArgs>,
}

/// Commands that start their own fleet.
#[derive(Debug, Subcommand)]
enum OwnFleetCommand {
    /// Compares policies on a fleet in one process and writes a table, a plot and the raw results.
    Experiment(ExperimentArgs),
}

fn main() -> ExitCode {
    let LoadCommand { command, single } = LoadCommand::parse();
    if let Some(OwnFleetCommand::Experiment(args)) = command {
        return run_experiment_file(&args);
    }
    let Some(single) = single else {
        eprintln!("--mix and --gateway, or a command, are required; see --help");
        return ExitStatus::Usage.into();
    };
    match Runtime::new() {
        Ok(runtime) => runtime.block_on(run_single(&single)),
        Err(error) => {
            eprintln!("{error}");
            ExitStatus::Failure.into()
        }
    }
}
