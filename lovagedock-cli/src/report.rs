//! Results of commands.

use serde_json::Value;

/// Exit status of a command; the numbers are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, or valid.
    Done,
    /// Refused or invalid; nothing was changed.
    Refused,
    /// Wrong usage or settings.
    Usage,
    /// Another operator's configuration was accepted first.
    Conflict,
    /// The command may or may not have been executed.
    Unknown,
    /// The platform or a process did not answer.
    Unreachable,
}

impl ExitStatus {
    /// The exit code of the process.
    pub fn number(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unknown => 4,
            Self::Unreachable => 5,
        }
    }
}

/// Result of a command, for people and for programs.
#[derive(Clone, Debug)]
pub struct CommandReport {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// What `--output table` prints.
    pub text: String,
    /// What `--output json` prints.
    pub value: Value,
}

impl CommandReport {
    /// Creates a report.
    pub fn new(status: ExitStatus, text: impl Into<String>, value: Value) -> Self {
        Self {
            status,
            text: text.into(),
            value,
        }
    }
}

/// Formats rows as columns that are as wide as their widest cell.
pub(crate) fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let format_row = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = padded.collect::<Vec<_>>().join("  ");
        line.trim_end().to_owned() + "\n"
    };
    let mut text = format_row(&mut header.iter().copied());
    for row in rows {
        text += &format_row(&mut row.iter().map(String::as_str));
    }
    text
}
