//! Stand-in of a plain service as a separate process.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::Parser;

use lovagedock_standin::service::{ServiceOptions, ServiceStandin};

/// Stand-in service: returns a digest of each call and serves its journal at /journal.
#[derive(Debug, Parser)]
#[command(version)]
struct ServiceArgs {
    /// Address to listen on; with port 0 the system chooses a free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Duration of each call in milliseconds.
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = ServiceArgs::parse();
    let options = ServiceOptions {
        service_time: Duration::from_millis(args.service_ms),
    };
    let service = match ServiceStandin::start_at(args.listen, options).await {
        Ok(service) => service,
        Err(error) => {
            eprintln!("cannot listen on {}: {error}", args.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("listening at {}", service.address);
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}
