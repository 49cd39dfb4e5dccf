//! The operators' command line.
//!
//! Each command is a function from its arguments to a [`CommandReport`]: text for people, a value
//! for programs, and an [`ExitStatus`] that scripts can rely on.

mod arguments;
mod codes;
mod files;
mod report;
mod run;

pub use arguments::{CommandArguments, CommandLine, OutputFormat};
pub use report::{CommandReport, ExitStatus};
pub use run::{run_command, run_command_line};
