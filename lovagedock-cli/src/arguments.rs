//! Arguments of the `lovagedock` command.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use lovagedock::Generation;

const EXIT_STATUS_HELP: &str = "\
Exit status:
  0  done, or valid
  1  refused or invalid; nothing was changed
  2  wrong usage or settings
  3  conflict: another operator's configuration was accepted first
  4  unknown: it may or may not have been done
  5  unreachable: the platform or a process did not answer; nothing was changed";

/// Command line for operators of lovagedock.
#[derive(Clone, Debug, Parser)]
#[command(name = "lovagedock", version, after_help = EXIT_STATUS_HELP)]
pub struct CommandLine {
    /// How to print the result.
    #[arg(long, value_enum, default_value_t = OutputFormat::Table, global = true)]
    pub output: OutputFormat,
    /// Settings file, JSON with comments; by default the file in LOVAGEDOCK_SETTINGS.
    #[arg(long, value_name = "FILE", global = true)]
    pub settings: Option<PathBuf>,
    /// URL of the platform's object API; overrides the settings.
    #[arg(long, value_name = "URL", global = true)]
    pub platform: Option<String>,
    /// Check the settings and exit.
    #[arg(long)]
    pub check_settings: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Option<CommandArguments>,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Table for people.
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
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Show what a configuration would change.
    Diff {
        /// Files or folders that make up the configuration.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Make a configuration the complete desired state.
    Apply(ApplyArguments),
    /// Print the accepted configuration.
    Get,
    /// Show the configuration generation that each process has in force.
    Status,
    /// Show where a request was sent and why.
    Explain {
        /// Id of the request, as in its response.
        request: String,
    },
    /// Print the state of a process.
    Dump {
        /// Operators' address of the process, or its id in the settings.
        process: String,
    },
    /// Let a process finish its work and accept no new work.
    Drain {
        /// Operators' address of the process, or its id in the settings.
        process: String,
        /// Let a drained sidecar accept work again.
        #[arg(long)]
        undo: bool,
    },
    /// Show whether the other endpoints suffice if a failure domain is drained.
    DrainPreview {
        /// Name of the failure domain.
        domain: String,
    },
    /// Show who uses which service, as each gateway knows it.
    Usage,
    /// End the quarantine of a request, or of a part of prompts, on all gateways.
    ReleaseQuarantine {
        /// The 16 hexadecimal digits of the request, as in the log, or `part-` and the digits of a
        /// part.
        target: String,
    },
    /// Explain a numbered result code.
    Code {
        /// Number of the code; lists all codes if absent.
        number: Option<u16>,
    },
    /// Print the JSON Schema of the configuration.
    Schema,
    /// Print a completion script.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
}

/// Arguments of `apply`.
#[derive(Clone, Debug, Args)]
pub struct ApplyArguments {
    /// Files or folders that make up the configuration.
    #[arg(required = true, value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// Name of the operator who applies it; visible to other operators.
    #[arg(long)]
    pub author: String,
    /// Generation that it replaces, as shown by `get` and `diff`; 0 for the first.
    #[arg(long, value_name = "NUMBER")]
    pub expect_generation: Generation,
    /// Nonce of an earlier apply with an unknown outcome, to find out the outcome; the file must be
    /// the same.
    #[arg(long)]
    pub nonce: Option<String>,
    /// How long to retry calls to the platform's store, in milliseconds.
    #[arg(long = "patience-ms", value_name = "MS", default_value_t = 10_000)]
    pub timeout_ms: u64,
}
