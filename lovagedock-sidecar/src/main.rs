//! Daemon that runs beside each endpoint.

use std::process::ExitCode;

use lovagedock_daemon::run_daemon;
use lovagedock_sidecar::{Sidecar, SidecarSettings};

fn main() -> ExitCode {
    run_daemon(
        "lovagedock-sidecar",
        "Serves the requests of gateways on one endpoint.",
        |settings: SidecarSettings, daemon| async move {
            Sidecar::start(settings, daemon).await?.wait().await
        },
    )
}
