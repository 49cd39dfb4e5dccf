//! What can be written after `lovagedock`.

use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};

const EXIT_STATUS_HELP: &str = "\
Exit status:
  0  done, or valid
  1  refused or invalid; nothing was changed
  2  wrong usage or settings
  3  conflict: another operator's configuration was accepted first
  4  unknown: it may or may not have been done
  5  unreachable: the platform or a process did not answer";

/// Command line for operators of lovagedock.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagedock", version, after_help = EXIT_STATUS_HELP)]
pub struct CommandLine {
    /// How to print the result.
    #[arg(long, value_enum, default_value_t = OutputFormat::Table, global = true)]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: CommandArguments,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Lines and columns for people.
    Table,
    /// One JSON value for programs.
    Json,
}

/// One command and its arguments.
#[derive(Clone, Debug, Subcommand)]
pub enum CommandArguments {
    /// Check a configuration without applying it.
    Check {
        /// Files or folders that make up the configuration.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Explain a numbered result code.
    Code {
        /// Number of the code; absent lists all.
        number: Option<u16>,
    },
}
