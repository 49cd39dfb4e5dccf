//! Stand-in of the platform as a separate process.

use std::{io, net::SocketAddr, time::Duration};

use clap::Parser;
use lovagedock_standin::{PlatformOptions, PlatformStandin};

/// Stand-in of the platform: object store, host list and weight store over HTTP.
#[derive(Parser)]
#[command(version)]
struct PlatformArgs {
    /// Address to listen on; with port 0 the system chooses a free port.
    #[arg(long, default_value = "127.0.0.1:8300")]
    listen: SocketAddr,
    /// Maximum writes per second; further writes get a 429 response.
    #[arg(long, default_value_t = 400.0)]
    writes_per_second: f64,
    /// Maximum reads per second; further reads get a 429 response.
    #[arg(long, default_value_t = 2000.0)]
    reads_per_second: f64,
    /// Lag of the host list in milliseconds.
    #[arg(long, default_value_t = 5000)]
    host_lag_ms: u64,
    /// Host that is live at the start; may be repeated.
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
