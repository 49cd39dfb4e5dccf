//! `lovagedock`, the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovagedock_cli::run_command_line()
}
