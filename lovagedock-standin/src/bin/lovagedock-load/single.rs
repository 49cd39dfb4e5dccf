//! One run against daemons that are already running.

use std::{
    fs, io,
    io::{IsTerminal, Write},
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

use clap::Args;
use error_stack::{Report, ResultExt};
use lovagedock_daemon::{ExitStatus, ProcessClock, load_settings};
use lovagedock_standin::load::{
    CallerClient, ExecutionJournal, FleetJournal, GatewayTarget, LoadReport, LoadRunner, MixSpec,
    ReportMetadata, RunProgress, StandinTarget, ViolationLimits, count_violations, fetch_engine,
    fetch_service, long_start, plan_calls, render_table,
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last response in which engines may still free the memory of cancelled requests.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Arguments of a run against daemons that are already running.
#[derive(Debug, Args)]
pub(crate) struct SingleArgs {
    /// File with the mix of calls, JSON with comments.
    #[arg(long, value_name = "FILE")]
    mix: PathBuf,
    /// Address on which a gateway listens for callers; may be repeated.
    #[arg(long = "gateway", value_name = "ADDRESS", required = true)]
    gateways: Vec<SocketAddr>,
    /// Stand-in engine whose journal is read after the run; may be repeated.
    #[arg(long = "engine", value_name = "NAME=ADDRESS")]
    engines: Vec<StandinTarget>,
    /// Stand-in service whose journal is read after the run; may be repeated.
    #[arg(long = "service", value_name = "NAME=ADDRESS")]
    services: Vec<StandinTarget>,
    /// Seed of the plan.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the plan in seconds; the last responses arrive later.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Model time of the engines per unit of real time.
    #[arg(long, default_value_t = 1.0)]
    time_scale: f64,
    /// Name of the placement policy, for the report.
    #[arg(long, default_value = "")]
    policy: String,
    /// Write the report to this file as JSON.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// Sends the calls and prints the report. The control-plane overhead is not measured, because the
/// daemons are other processes.
pub(crate) async fn run_single(args: &SingleArgs) -> ExitCode {
    let mix: MixSpec = match load_settings(&args.mix) {
        Ok(mix) => mix,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::Settings.into();
        }
    };
    let problems = mix.problems();
    if !problems.is_empty() {
        eprintln!("{}: {}", args.mix.display(), problems.join("; "));
        return ExitStatus::Settings.into();
    }
    match run(args, mix).await {
        Ok(report) if report.violations.total() == 0 => ExitStatus::Success.into(),
        Ok(_) => ExitStatus::Failure.into(),
        Err(report) => {
            eprintln!("{report:?}");
            ExitStatus::Failure.into()
        }
    }
}

async fn run(args: &SingleArgs, mix: MixSpec) -> Result<LoadReport, Report<io::Error>> {
    let real_time = Duration::from_secs(args.seconds);
    let model_time = real_time.mul_f64(args.time_scale);
    let plan = plan_calls(&mix, args.seed, model_time)
        .into_iter()
        .map(|call| call.with_time_scale(args.time_scale))
        .collect();
    let clock = ProcessClock::new();
    let client = CallerClient::new(gateway_targets(&args.gateways), clock)
        .map_err(|error| Report::new(io::Error::other(error)))?;
    let runner = LoadRunner::new(mix.clone(), client, clock);
    let progress_task = tokio::spawn(show_progress(runner.progress()));
    let start = clock.now();
    let callers = runner.run(plan, start).await;
    progress_task.abort();
    let executions = collect_journals(args).await?;
    let violations = count_violations(
        &callers,
        &executions,
        &FleetJournal::default(),
        &ViolationLimits::default(),
    );
    let metadata = ReportMetadata {
        seed: args.seed,
        policy: args.policy.clone(),
        mix: mix.name.clone(),
        duration: real_time,
        long_start: start + long_start(&mix, real_time),
        time_scale: args.time_scale,
    };
    let report = LoadReport::new(&metadata, &callers, violations, None);
    println!("{}", render_table(&report));
    if let Some(file) = &args.report {
        let text = serde_json::to_string_pretty(&report).map_err(io::Error::other);
        fs::write(file, text.map_err(Report::new)?)
            .map_err(Report::new)
            .attach_with(|| file.display().to_string())?;
    }
    Ok(report)
}

async fn collect_journals(args: &SingleArgs) -> Result<ExecutionJournal, Report<io::Error>> {
    let mut executions = ExecutionJournal::default();
    if args.engines.is_empty() && args.services.is_empty() {
        return Ok(executions);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    for target in &args.engines {
        fetch_engine(&mut executions, target)
            .await
            .map_err(Report::new)
            .attach_with(|| format!("journal of {}", target.endpoint))?;
    }
    for target in &args.services {
        fetch_service(&mut executions, target)
            .await
            .map_err(Report::new)
            .attach_with(|| format!("journal of {}", target.endpoint))?;
    }
    Ok(executions)
}

fn gateway_targets(addresses: &[SocketAddr]) -> Vec<GatewayTarget> {
    addresses
        .iter()
        .map(|address| GatewayTarget {
            name: address.to_string(),
            address: *address,
        })
        .collect()
}

async fn show_progress(progress: Arc<RunProgress>) {
    if !io::stderr().is_terminal() {
        return;
    }
    let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
    loop {
        ticks.tick().await;
        eprint!("\r{}  ", progress.status_line());
        let _ = io::stderr().flush();
    }
}
