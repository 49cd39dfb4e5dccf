//! Stand-in of a vendor's engine as a separate process.

use std::{net::SocketAddr, process::ExitCode};

use clap::{Parser, ValueEnum};

use lovagedock_standin::engine::{EngineOptions, EngineStandin, ReportStyle};

/// Stand-in engine: simulates batching in scaled model time and returns deterministic text.
#[derive(Debug, Parser)]
#[command(version)]
struct EngineArgs {
    /// Address to listen on; with port 0 the system chooses a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Name of the served model.
    #[arg(long, default_value = "register-reader")]
    model: String,
    /// Model time per unit of real time.
    #[arg(long, default_value_t = 20.0)]
    time_scale: f64,
    /// KV memory in tokens.
    #[arg(long, default_value_t = 400_000)]
    memory_tokens: u64,
    /// Answer tokens per stream event.
    #[arg(long, default_value_t = 1)]
    stream_interval: u64,
    /// Cancel a request when its caller disconnects.
    #[arg(long)]
    cancel_on_disconnect: bool,
    /// Format of the load report.
    #[arg(long, value_enum, default_value = "json-report")]
    report: ReportArg,
    /// Execute orders regardless of their fencing number.
    #[arg(long)]
    ignore_fences: bool,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum ReportArg {
    JsonReport,
    PrometheusReport,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = EngineArgs::parse();
    let options = EngineOptions {
        model: args.model,
        time_scale: args.time_scale,
        stream_interval: args.stream_interval,
        cancels_on_disconnect: args.cancel_on_disconnect,
        memory_tokens: args.memory_tokens,
        report_style: match args.report {
            ReportArg::JsonReport => ReportStyle::JsonReport,
            ReportArg::PrometheusReport => ReportStyle::PrometheusReport,
        },
        checks_fences: !args.ignore_fences,
        ..EngineOptions::default()
    };
    let engine = match EngineStandin::start_at(args.listen, options).await {
        Ok(engine) => engine,
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", args.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("listening at {}", engine.address);
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}
