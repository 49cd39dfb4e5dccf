//! Demo: a complete deployment in one process.

use std::{
    fs,
    io::{self, IsTerminal, Write},
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use clap::Parser;
use lovagedock::format_request_id;
use lovagedock_daemon::{ExitStatus, LogFormat, LogLevel, LogSettings, load_settings};
use lovagedock_standin::{
    demo::{DemoOptions, DemoOutcome, Deployment, FaultPlan, run_demo},
    load::{CallOutcome, LoadReport, RunProgress, ViolationDetail, render_table},
};
use slog::{Discard, Logger, o};

/// Maximum number of violation details to print.
const MAX_DETAILS: usize = 20;
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a deployment in one process and reports latency, outcomes and violations.
///
/// Starts stand-ins of the platform and of the endpoints, starts the sidecars and gateways, applies
/// the configuration and sends the mix of calls.
///
/// Exit codes: 0 no violations; 1 violations, or the run failed; 2 invalid arguments; 3 errors in
/// the fault file.
#[derive(Debug, Parser)]
#[command(version)]
struct DemoArgs {
    /// Seed of the calls.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Deployment to run.
    #[arg(long, value_enum, default_value_t)]
    deployment: Deployment,
    /// Placement policy; replaces the policy of the deployment.
    #[arg(long)]
    policy: Option<String>,
    /// File with a timeline of faults, JSON with comments.
    #[arg(long, value_name = "FILE")]
    faults: Option<PathBuf>,
    /// Seconds for which calls are sent; the last responses arrive later.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Write the report to this file as JSON.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Print the logs of the daemons.
    #[arg(long)]
    logs: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = DemoArgs::parse();
    let faults = match &args.faults {
        None => FaultPlan::default(),
        Some(file) => match load_settings(file) {
            Ok(faults) => faults,
            Err(error) => {
                eprintln!("{error}");
                return ExitStatus::Settings.into();
            }
        },
    };
    let options = DemoOptions {
        deployment: args.deployment,
        policy: args.policy.clone(),
        seed: args.seed,
        duration: Duration::from_secs(args.seconds),
        faults,
        log: logger(args.logs),
    };
    let DemoOutcome { report, details } = match run_demo(&options, show_progress).await {
        Ok(outcome) => outcome,
        Err(report) => {
            eprintln!("{report:?}");
            return ExitStatus::Failure.into();
        }
    };
    println!("\n{}", render_table(&report));
    for detail in details.iter().take(MAX_DETAILS) {
        println!("{}", detail_line(detail));
    }
    if let Err(error) = write_report(&args, &report) {
        eprintln!("{error}");
        return ExitStatus::Failure.into();
    }
    match report.violations.total() {
        0 => ExitStatus::Success.into(),
        _ => ExitStatus::Failure.into(),
    }
}

fn detail_line(detail: &ViolationDetail) -> String {
    let request = detail
        .request
        .map_or("unknown".to_owned(), format_request_id);
    let endpoints = detail.endpoints.join(", ");
    let outcome = match detail.outcome {
        CallOutcome::Problem { code, ran } => format!("code {code}, ran: {}", ran.as_str()),
        CallOutcome::Complete => "a complete response".to_owned(),
        CallOutcome::Broken => "a broken connection".to_owned(),
        CallOutcome::Unsent => "no connection".to_owned(),
        CallOutcome::NoOutcome => "no outcome".to_owned(),
    };
    let counter = detail.counter;
    format!("{counter}: request {request} ended with {outcome}; started on [{endpoints}]")
}

fn logger(enabled: bool) -> Logger {
    if !enabled {
        return Logger::root(Discard, o!());
    }
    let settings = LogSettings {
        format: LogFormat::Terminal,
        level: LogLevel::Info,
    };
    settings.logger("lovagedock-demo")
}

fn write_report(args: &DemoArgs, report: &LoadReport) -> io::Result<()> {
    let Some(file) = &args.report else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(report).map_err(io::Error::other)?;
    fs::write(file, text)
}

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
