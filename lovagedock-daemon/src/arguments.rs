//! Command line and exit codes of a daemon.

use std::{path::PathBuf, process::ExitCode};

use clap::{CommandFactory, FromArgMatches, Parser};

/// Arguments that every daemon accepts.
#[derive(Clone, Debug, PartialEq, Eq, Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 stopped after a drain, or the settings are valid; \
                  1 failed while running; 2 wrong arguments; 3 the settings have errors; \
                  4 could not start (address in use, unreadable key)."
)]
pub struct DaemonArguments {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    pub check_settings: bool,
}

impl DaemonArguments {
    /// Parses the arguments of the process. Prints the help, the version or an error and exits when
    /// needed.
    pub fn parse_for(process: &'static str, about: &'static str) -> Self {
        let command = Self::command().name(process).bin_name(process).about(about);
        let matches = command.get_matches();
        Self::from_arg_matches(&matches).unwrap_or_else(|error| error.exit())
    }
}

/// Exit codes of the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Stopped after a drain, or the settings are valid.
    Success,
    /// Failed while running.
    Failure,
    /// The arguments are wrong.
    Usage,
    /// The settings have errors.
    Settings,
    /// Could not start, for example because an address is in use or a key is unreadable.
    Start,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::Settings => 3,
            Self::Start => 4,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.number())
    }
}
