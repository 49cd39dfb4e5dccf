//! The common `main` of the daemons.

use std::{
    future::Future,
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
};

use error_stack::Report;
use serde::de::DeserializeOwned;
use slog::{Logger, crit, info};
use tokio::runtime::{Builder, Runtime};

use crate::{
    DaemonArguments, ExitStatus, LogSettings, MetricsHandle, ProcessClock, ReloadSignal,
    ShutdownSignal, load_settings,
};

/// Settings of one daemon.
pub trait DaemonSettings: DeserializeOwned {
    /// How the daemon logs.
    fn log(&self) -> LogSettings;

    /// Errors in settings that were parsed successfully; one line per error.
    fn problems(&self) -> Vec<String> {
        Vec::new()
    }
}

/// What a daemon receives from its process.
#[derive(Clone)]
pub struct DaemonContext {
    /// Logger of the process.
    pub logger: Logger,
    /// Monotonic clock of the process.
    pub clock: ProcessClock,
    /// Metrics of the process.
    pub metrics: MetricsHandle,
    /// Signal that requests the daemon to drain.
    pub shutdown: ShutdownSignal,
    /// Signal that the settings file has changed.
    pub reload: ReloadSignal,
    /// The settings file; `None` for a daemon that shares its process with others.
    pub settings_file: Option<PathBuf>,
}

impl DaemonContext {
    /// Creates a context; a daemon that shares its process with others gets its own shutdown
    /// signal.
    pub fn new(logger: Logger) -> Self {
        Self {
            logger,
            clock: ProcessClock::new(),
            metrics: MetricsHandle::install(),
            shutdown: ShutdownSignal::new(),
            reload: ReloadSignal::new(),
            settings_file: None,
        }
    }
}

/// Parses the arguments, reads the settings, runs the daemon until its future ends and returns the
/// exit code.
///
/// `start` receives the settings and a context whose shutdown signal is triggered by SIGTERM and
/// SIGINT. Its future ends when the daemon has drained. If it returns an error, the exit code is
/// [`ExitStatus::Start`] when no drain had been requested and [`ExitStatus::Failure`] otherwise.
pub fn run_daemon<S, E, F, Fut>(process: &'static str, about: &'static str, start: F) -> ExitCode
where
    S: DaemonSettings,
    E: std::error::Error + Send + Sync + 'static,
    F: FnOnce(S, DaemonContext) -> Fut,
    Fut: Future<Output = Result<(), Report<E>>>,
{
    let arguments = DaemonArguments::parse_for(process, about);
    let settings = match load_checked_settings::<S>(&arguments.settings) {
        Ok(settings) => settings,
        Err(lines) => {
            eprintln!("{lines}");
            return ExitStatus::Settings.into();
        }
    };
    if arguments.check_settings {
        println!("{}: valid", arguments.settings.display());
        return ExitStatus::Success.into();
    }
    let mut context = DaemonContext::new(settings.log().logger(process));
    context.settings_file = Some(arguments.settings);
    let runtime = match new_runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            crit!(context.logger, "cannot create the Tokio runtime"; "error" => %error);
            return ExitStatus::Start.into();
        }
    };
    runtime
        .block_on(run_started(settings, context, start))
        .into()
}

/// Creates a runtime with one worker per core. On a host with one core the calling thread does all
/// work, since passing it to another thread would only cost context switches.
fn new_runtime() -> io::Result<Runtime> {
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let mut builder = match cores {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}

async fn run_started<S, E, F, Fut>(settings: S, context: DaemonContext, start: F) -> ExitStatus
where
    E: std::error::Error + Send + Sync + 'static,
    F: FnOnce(S, DaemonContext) -> Fut,
    Fut: Future<Output = Result<(), Report<E>>>,
{
    let logger = context.logger.clone();
    let shutdown = context.shutdown.clone();
    let listening = shutdown
        .listen_to_process_signals()
        .and_then(|()| context.reload.listen_to_process_signals());
    if let Err(error) = listening {
        crit!(logger, "cannot install the signal handlers"; "error" => %error);
        return ExitStatus::Start;
    }
    info!(logger, "starting");
    match start(settings, context).await {
        Ok(()) => {
            info!(logger, "stopped");
            ExitStatus::Success
        }
        Err(report) => {
            crit!(logger, "failed"; "error" => format!("{report:?}"));
            match shutdown.is_triggered() {
                true => ExitStatus::Failure,
                false => ExitStatus::Start,
            }
        }
    }
}

/// Reads and checks a settings file; the error has one line per problem.
pub fn load_checked_settings<S: DaemonSettings>(file: &Path) -> Result<S, String> {
    let settings: S = load_settings(file).map_err(|error| error.to_string())?;
    let problems = settings.problems();
    if problems.is_empty() {
        return Ok(settings);
    }
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{}: {problem}", file.display()))
        .collect();
    Err(lines.join("\n"))
}
