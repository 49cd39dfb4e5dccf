//! Stand-in of a plain service as a program.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::Parser;

use lovagedock_standin::service::{ServiceOptions, ServiceStandin};

/// Stand-in service: echoes a digest of each call and keeps a journal at /journal.
#[derive(Debug, Parser)]
#[command(version)]
struct ServiceArgs {
    /// Address to listen at; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Milliseconds that each call takes.
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
            eprintln!("cannot listen at {}: {error}", args.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("listening at {}", service.address);
    let _ = tokio::signal::ctrl_c().await;
    ExitCode::SUCCESS
}
