//! `lovagedock`, the command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovagedock_cli::run_command_line()
}
