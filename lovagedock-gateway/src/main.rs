//! Gateway daemon on the entry hosts.

use std::process::ExitCode;

use lovagedock_daemon::run_daemon;
use lovagedock_gateway::{Gateway, GatewaySettings};

fn main() -> ExitCode {
    run_daemon(
        "lovagedock-gateway",
        "Serves callers and places their requests on endpoints.",
        |settings: GatewaySettings, daemon| async move {
            Gateway::start(settings, daemon).await?.wait().await
        },
    )
}
