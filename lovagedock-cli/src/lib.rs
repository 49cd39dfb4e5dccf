//! Command line for operators.
//!
//! Each command is a function from its arguments to a [`CommandReport`]: text for people, a value
//! for programs, and an [`ExitStatus`] that scripts can rely on. The store and the process client
//! of a [`CommandRunner`] can be replaced by fakes in tests.

mod arguments;
mod client;
mod codes;
mod config;
mod drain_preview;
mod files;
mod gateways;
mod processes;
mod quarantines;
mod report;
mod runner;
mod settings;
mod start;
mod status;
mod usage;

pub use arguments::{ApplyArguments, CommandArguments, CommandLine, OutputFormat};
pub use client::{HttpProcessClient, ProcessClient, ProcessError, ProcessMethod};
pub use codes::codes_page;
pub use report::{CommandReport, ExitStatus};
pub use runner::CommandRunner;
pub use settings::{OperatorSettings, ProcessAddress};
pub use start::{run_command_line, run_line};
