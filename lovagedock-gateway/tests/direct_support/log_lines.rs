//! Captured log lines.

use std::{
    io,
    sync::{Arc, Mutex},
};

use slog::{Drain, Logger, o};

/// Captured lines, in JSON.
#[derive(Clone, Default)]
pub(crate) struct LogLines(Arc<Mutex<Vec<u8>>>);

impl LogLines {
    /// Returns a logger that writes to this buffer.
    pub(crate) fn logger(&self) -> Logger {
        let drain = slog_json::Json::new(self.clone()).set_newlines(true);
        let drain = drain.add_default_keys().build();
        Logger::root(Mutex::new(drain.fuse()).fuse(), o!())
    }

    /// Returns the lines with this message.
    pub(crate) fn with_message(&self, message: &str) -> Vec<serde_json::Value> {
        let bytes = self.0.lock().expect("the mutex is not poisoned").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let lines = text.lines();
        let lines = lines.filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
        lines.filter(|line| line["msg"] == message).collect()
    }
}

impl io::Write for LogLines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut lines = self.0.lock().expect("the mutex is not poisoned");
        lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
