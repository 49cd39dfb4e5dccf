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

/// Sends a seeded mix of calls to gateways and reports latency, outcomes and broken promises.
///
/// Exit codes: 0 no violation; 1 violations, or the run failed; 2 wrong arguments; 3 the mix or the
/// experiment has errors.
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

/// Commands that start a fleet of their own.
#[derive(Debug, Subcommand)]
enum OwnFleetCommand {
    /// Runs policies against each other in one process and writes a table, a plot and the figures.
    Experiment(ExperimentArgs),
}

fn main() -> ExitCode {
    let LoadCommand { command, single } = LoadCommand::parse();
    if let Some(OwnFleetCommand::Experiment(args)) = command {
        return run_experiment_file(&args);
    }
    let Some(single) = single else {
        eprintln!("give --mix and --gateway, or a command; see --help");
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
