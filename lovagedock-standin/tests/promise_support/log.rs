//! The log of a fleet, kept for a test to look at.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard},
};

use slog::{Drain, KV, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Lines of a log: the message, then `key=value` for each field.
#[derive(Clone, Default)]
pub(crate) struct LogLines {
    lines: Arc<Mutex<Vec<String>>>,
}

impl LogLines {
    /// A logger that adds its records here.
    pub(crate) fn logger(&self) -> Logger {
        Logger::root(self.clone(), o!())
    }

    /// Whether a line has this message and this field.
    pub(crate) fn has(&self, message: &str, key: &str, value: &str) -> bool {
        let field = format!(" {key}={value}");
        self.lock()
            .iter()
            .any(|line| line.starts_with(message) && line.contains(&field))
    }

    /// Number of lines with this message.
    pub(crate) fn count(&self, message: &str) -> usize {
        self.lock()
            .iter()
            .filter(|line| line.starts_with(message))
            .count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().expect("nobody panics with it")
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = LogLine(record.msg().to_string());
        // Nothing that a line takes can fail.
        let _infallible = record.kv().serialize(record, &mut line);
        let _infallible = values.serialize(record, &mut line);
        self.lock().push(line.0);
        Ok(())
    }
}

struct LogLine(String);

impl Serializer for LogLine {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}
