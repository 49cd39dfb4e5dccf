//! Measures the overhead of the gateway and the sidecar: added latency, requests per second of CPU
//! time, and memory.
//!
//! It measures running processes, such as the local fleet of docs/OPERATING.md, so that CPU time
//! and memory can be attributed to each process.

mod drive;
mod meter;

use std::{net::SocketAddr, time::Duration};

use clap::Parser;
use drive::{CallTarget, LatencyResult, LoadResult};
use meter::ProcessMeter;

/// Measures the overhead of the gateway and the sidecar.
#[derive(Parser)]
struct OverheadArguments {
    /// Address on which a running gateway listens for callers.
    #[arg(long, default_value = "127.0.0.1:7001")]
    gateway: SocketAddr,
    /// Address of the stand-in engine behind the gateway.
    #[arg(long, default_value = "127.0.0.1:7501")]
    engine: SocketAddr,
    /// API key for the gateway.
    #[arg(long, default_value = "local-key")]
    key: String,
    /// Model to request.
    #[arg(long, default_value = "local-model")]
    model: String,
    /// Process to measure, as NAME=PID; may be repeated.
    #[arg(long = "process", value_name = "NAME=PID", value_parser = meter::parse_process)]
    processes: Vec<ProcessMeter>,
    /// Number of requests to each target for the latency measurement.
    #[arg(long, default_value_t = 500)]
    requests: usize,
    /// Number of requests in flight during the throughput measurement.
    #[arg(long, default_value_t = 32)]
    in_flight: usize,
    /// Duration of the throughput measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    let arguments = OverheadArguments::parse();
    let target = |address| CallTarget::new(address, &arguments.key, &arguments.model);
    let (via_gateway, direct) = (target(arguments.gateway), target(arguments.engine));
    measure(&arguments, &via_gateway, &direct, &arguments.processes).await;
}

async fn measure(
    arguments: &OverheadArguments,
    via_gateway: &CallTarget,
    direct: &CallTarget,
    meters: &[ProcessMeter],
) {
    drive::wait_until_served(via_gateway).await;
    print_memory("memory while idle", meters);
    let latency = drive::compare_latency(via_gateway, direct, arguments.requests).await;
    print_latency(&latency);
    let before: Vec<Duration> = meters.iter().map(ProcessMeter::cpu_time).collect();
    let load = drive::load(
        via_gateway,
        arguments.in_flight,
        Duration::from_secs(arguments.seconds),
    )
    .await;
    println!(
        "load: {} requests in {:.1} s ({:.0} per second), {} failed, {} in flight",
        load.served,
        load.elapsed.as_secs_f64(),
        load.served as f64 / load.elapsed.as_secs_f64(),
        load.failed,
        arguments.in_flight
    );
    print_cpu_time(&load, meters, &before);
    print_memory("memory after the load", meters);
}

fn print_latency(latency: &LatencyResult) {
    println!("first token, ms      p50      p95");
    let row = |name: &str, p50: Duration, p95: Duration| {
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        println!("{name:<18} {:>6.2}   {:>6.2}", ms(p50), ms(p95));
    };
    row("engine alone", latency.direct.p50, latency.direct.p95);
    row(
        "through gateway",
        latency.via_gateway.p50,
        latency.via_gateway.p95,
    );
    let ratio =
        |via_gateway: Duration, direct: Duration| via_gateway.as_secs_f64() / direct.as_secs_f64();
    println!(
        "ratio              {:>6.2}   {:>6.2}",
        ratio(latency.via_gateway.p50, latency.direct.p50),
        ratio(latency.via_gateway.p95, latency.direct.p95)
    );
}

fn print_cpu_time(load: &LoadResult, meters: &[ProcessMeter], before: &[Duration]) {
    for (meter, before) in meters.iter().zip(before) {
        let spent = meter.cpu_time().saturating_sub(*before);
        println!(
            "{:<10} {:>6.2} s of CPU time, {:>6.0} us per request, {:>6.0} requests per second and core",
            meter.name,
            spent.as_secs_f64(),
            spent.as_secs_f64() * 1e6 / load.served as f64,
            load.served as f64 / spent.as_secs_f64()
        );
    }
}

fn print_memory(title: &str, meters: &[ProcessMeter]) {
    for meter in meters {
        if let Some((resident, highest)) = meter.memory_kib() {
            let mib = |kib: u64| kib as f64 / 1024.0;
            println!(
                "{title}: {} {:.1} MiB resident, {:.1} MiB peak",
                meter.name,
                mib(resident),
                mib(highest)
            );
        }
    }
}
