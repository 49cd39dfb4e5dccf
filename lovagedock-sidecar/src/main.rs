//! Daemon beside each endpoint.

use std::process::ExitCode;

use lovagedock_daemon::run_daemon;
use lovagedock_sidecar::{Sidecar, SidecarSettings};

fn main() -> ExitCode {
    run_daemon(
        "lovagedock-sidecar",
        "Serves the gateways' requests on the endpoint beside it.",
        |settings: SidecarSettings, daemon| async move {
            Sidecar::start(settings, daemon).await?.wait().await
        },
    )
}
