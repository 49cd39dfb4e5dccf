//! Structured logs on standard output.

use std::{
    io,
    panic::{RefUnwindSafe, UnwindSafe},
    sync::Mutex,
};

use serde::{Deserialize, Serialize};
use slog::{Drain, Level, Logger, o};

use crate::line_queue::LineQueue;

/// Maximum number of records queued for a terminal.
const TERMINAL_RECORDS: usize = 4096;

/// Format and level of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of a record.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
}

impl LogSettings {
    /// Creates the logger of a process; records contain the process's name.
    ///
    /// A background thread writes the records. When it falls behind, records are dropped and their
    /// number is logged, so that a blocked output never stops the daemon.
    pub fn logger(&self, process: &'static str) -> Logger {
        let level = self.level.as_level();
        match self.format {
            LogFormat::Json => {
                let queue = LineQueue::new(io::stdout()).expect("a thread can be started");
                let drain = Mutex::new(slog_json::Json::default(queue));
                root(drain.fuse(), level, process)
            }
            LogFormat::Terminal => {
                let decorator = slog_term::TermDecorator::new().stdout().build();
                let drain = slog_term::FullFormat::new(decorator).build();
                let queue = slog_async::Async::new(drain.fuse());
                let queue = queue.chan_size(TERMINAL_RECORDS).build();
                root(queue.fuse(), level, process)
            }
        }
    }
}

/// Format of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Coloured text for terminals.
    Terminal,
}

/// Severity of log records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// The process cannot do its work.
    Error,
    /// Something failed and was handled.
    Warning,
    /// Starts, stops and changes.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each message; compiled out of release builds.
    Trace,
}

impl LogLevel {
    fn as_level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
            Self::Trace => Level::Trace,
        }
    }
}

fn root<D>(drain: D, level: Level, process: &'static str) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + Sync + RefUnwindSafe + UnwindSafe + 'static,
{
    Logger::root(
        drain.filter_level(level).fuse(),
        o!("process" => process, "version" => env!("CARGO_PKG_VERSION")),
    )
}
