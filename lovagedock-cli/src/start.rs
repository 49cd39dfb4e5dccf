//! Entry point: parses the arguments, runs the command and prints the report.

use std::{
    env,
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use clap::{CommandFactory, Parser, error::ErrorKind};
use serde_json::json;
use tokio::runtime;

use crate::{
    arguments::{CommandLine, OutputFormat},
    report::{CommandReport, ExitStatus},
    runner::{CommandRunner, report_settings_error},
    settings::OperatorSettings,
};

const SETTINGS_VARIABLE: &str = "LOVAGEDOCK_SETTINGS";

/// Runs the command line of this process.
pub fn run_command_line() -> ExitCode {
    let line = CommandLine::parse();
    let report = run_line(&line);
    let text = match line.output {
        OutputFormat::Table => report.text,
        OutputFormat::Json => format!("{:#}\n", report.value),
    };
    // If the write fails, the reader has closed the pipe and needs no more output.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::from(report.status.number())
}

/// Runs a parsed command line; blocks until the command has ended.
pub fn run_line(line: &CommandLine) -> CommandReport {
    try_line(line).unwrap_or_else(|report| report)
}

fn try_line(line: &CommandLine) -> Result<CommandReport, CommandReport> {
    let mut settings = load(line)?;
    if line.platform.is_some() {
        settings.platform = line.platform.clone();
    }
    let runner = CommandRunner::new(settings)?;
    if line.check_settings {
        let value = json!({ "valid": true });
        let text = "the settings are valid\n";
        return Ok(CommandReport::new(ExitStatus::Done, text, value));
    }
    let Some(command) = &line.command else {
        let mut usage = CommandLine::command();
        usage
            .error(ErrorKind::MissingSubcommand, "a command is required")
            .exit();
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| report_settings_error(error.to_string()))?;
    Ok(runtime.block_on(runner.run(command)))
}

fn load(line: &CommandLine) -> Result<OperatorSettings, CommandReport> {
    let variable = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    match line.settings.clone().or(variable) {
        Some(file) => {
            OperatorSettings::load(&file).map_err(|error| report_settings_error(error.to_string()))
        }
        None => Ok(OperatorSettings::default()),
    }
}
