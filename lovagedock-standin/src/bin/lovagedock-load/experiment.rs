//! Runs experiments from files.

use std::{
    env,
    io::{self, IsTerminal, Write},
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    time::{Duration, SystemTime},
};

use clap::Args;
use error_stack::Report;
use lovagedock_daemon::{ExitStatus, SettingsError, load_settings};
use lovagedock_standin::{
    demo::{FaultPlan, TIME_SCALE},
    experiment::{
        ExperimentError, ExperimentRecord, ExperimentSpec, run_experiment, write_results,
    },
    load::RunProgress,
};
use slog::{Discard, Logger, o};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Arguments of the command `experiment`.
#[derive(Debug, Args)]
pub(crate) struct ExperimentArgs {
    /// Experiment file, JSON with comments.
    file: PathBuf,
    /// Directory for the result files, which are named after the experiment file.
    #[arg(long, value_name = "DIR", default_value = "docs/results")]
    output: PathBuf,
}

/// Runs the experiment and writes its results.
pub(crate) fn run_experiment_file(args: &ExperimentArgs) -> ExitCode {
    let (spec, faults) = match load(&args.file) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Settings.into();
        }
    };
    let problems = spec.problems();
    if !problems.is_empty() {
        eprintln!("{}: {}", args.file.display(), problems.join("; "));
        return ExitStatus::Settings.into();
    }
    let record = match run(args, spec, &faults) {
        Ok(record) => record,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitStatus::Failure.into();
        }
    };
    match write_results(&args.output, &record) {
        Ok(files) => files.iter().for_each(|file| println!("{}", file.display())),
        Err(error) => {
            eprintln!("{}: {error}", args.output.display());
            return ExitStatus::Failure.into();
        }
    }
    let violations = record.runs.iter().map(|run| run.violations.total());
    match violations.sum::<u64>() {
        0 => ExitStatus::Success.into(),
        _ => ExitStatus::Failure.into(),
    }
}

fn load(file: &Path) -> Result<(ExperimentSpec, FaultPlan), SettingsError> {
    let spec: ExperimentSpec = load_settings(file)?;
    let directory = file.parent().unwrap_or(Path::new(""));
    let faults = match &spec.faults {
        None => FaultPlan::default(),
        Some(faults) => load_settings(&directory.join(faults))?,
    };
    Ok((spec, faults))
}

fn run(
    args: &ExperimentArgs,
    spec: ExperimentSpec,
    faults: &FaultPlan,
) -> Result<ExperimentRecord, Report<ExperimentError>> {
    let total = spec.runs().len();
    let mut started = 0;
    let log = Logger::root(Discard, o!());
    let runs = run_experiment(&spec, faults, &log, |run, progress| {
        started += 1;
        eprintln!(
            "run {started} of {total}: {}, seed {}",
            run.policy, run.seed
        );
        show_progress(progress);
    })?;
    Ok(ExperimentRecord {
        name: experiment_name(&args.file),
        command: command_line(),
        date: httpdate::fmt_http_date(SystemTime::now()),
        spec,
        time_scale: TIME_SCALE,
        runs,
    })
}

fn experiment_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

/// Command line of this process, without the directory of the program.
fn command_line() -> String {
    let arguments = env::args().skip(1);
    let words: Vec<_> = [env!("CARGO_BIN_NAME").to_owned()]
        .into_iter()
        .chain(arguments)
        .collect();
    words.join(" ")
}

/// Prints the progress from a task on the runtime of the run. The task ends with the runtime.
fn show_progress(progress: Arc<RunProgress>) {
    if !io::stderr().is_terminal() {
        return;
    }
    tokio::spawn(async move {
        let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
        loop {
            ticks.tick().await;
            eprint!("\r{}  ", progress.status_line());
            let _ = io::stderr().flush();
        }
    });
}
