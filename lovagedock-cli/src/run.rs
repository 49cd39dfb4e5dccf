//! Runs commands and prints what they report.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use clap::Parser;

use crate::{
    arguments::{CommandArguments, CommandLine, OutputFormat},
    codes::show_code,
    files::check_files,
    report::CommandReport,
};

/// Runs the process's own command line.
pub fn run_command_line() -> ExitCode {
    let line = CommandLine::parse();
    let report = run_command(&line.command);
    let text = match line.output {
        OutputFormat::Table => report.text,
        OutputFormat::Json => format!("{:#}\n", report.value),
    };
    // A reader that closed the pipe early has all that it wants.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::from(report.status.number())
}

/// Runs one command.
pub fn run_command(command: &CommandArguments) -> CommandReport {
    match command {
        CommandArguments::Check { files } => check_files(files),
        CommandArguments::Code { number } => show_code(*number),
    }
}
