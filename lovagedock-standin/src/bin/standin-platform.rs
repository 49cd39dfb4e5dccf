//! Runs the stand-in of the platform by itself.

use std::{io, net::SocketAddr, time::Duration};

use clap::Parser;
use lovagedock_standin::{PlatformOptions, PlatformStandin};

/// Stand-in of the platform: object store, host list and weight store over HTTP.
#[derive(Parser)]
#[command(version)]
struct PlatformArgs {
    /// Where to listen; port 0 lets the system choose.
    #[arg(long, default_value = "127.0.0.1:8300")]
    listen: SocketAddr,
    /// Writes a second before it answers 429.
    #[arg(long, default_value_t = 400.0)]
    writes_per_second: f64,
    /// Reads a second before it answers 429.
    #[arg(long, default_value_t = 2000.0)]
    reads_per_second: f64,
    /// How far the host list lags behind, in milliseconds.
    #[arg(long, default_value_t = 5000)]
    host_lag_ms: u64,
    /// A host that is live from the beginning; may be repeated.
    #[arg(long = "host")]
    hosts: Vec<String>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args = PlatformArgs::parse();
    let options = PlatformOptions {
        listen: args.listen,
        writes_per_second: args.writes_per_second,
        reads_per_second: args.reads_per_second,
        host_lag: Duration::from_millis(args.host_lag_ms),
        hosts: args.hosts,
        ..PlatformOptions::default()
    };
    let running = PlatformStandin::start(options).await?;
    println!("listening on {}", running.address);
    tokio::signal::ctrl_c().await
}
