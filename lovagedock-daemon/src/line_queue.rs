//! Queue of log lines between the logger and the output.

use std::{
    io::{self, Write},
    mem,
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use parking_lot::{Condvar, Mutex};

/// Maximum size of the queued lines in bytes: about 2,500 lines of 400 bytes, which is several
/// seconds of the busiest gateway.
const QUEUE_BYTES: usize = 1 << 20;

/// Time during which lines are collected before they are written together. Waking a thread for each
/// line took a sixth of a small gateway's processor time (sampled with a profiler under 20 requests
/// a second).
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Accepts log lines without blocking on the output.
///
/// A separate thread writes the collected lines. While the output is blocked, lines that do not fit
/// into the queue are dropped. Their number is written as soon as the output accepts data again.
pub struct LineQueue {
    shared: Arc<QueueShared>,
    line: Vec<u8>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct QueueShared {
    state: Mutex<QueueState>,
    changed: Condvar,
}

#[derive(Default)]
struct QueueState {
    bytes: Vec<u8>,
    dropped: u64,
    closed: bool,
}

impl LineQueue {
    /// Creates a queue that writes to `output`.
    pub fn new(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(QueueShared::default());
        let queue = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || queue.write_to(output))?;
        Ok(Self {
            shared,
            line: Vec::new(),
            thread: Some(thread),
        })
    }

    fn push_line(&mut self) {
        let mut state = self.shared.state.lock();
        if state.bytes.len() + self.line.len() > QUEUE_BYTES {
            state.dropped += 1;
        } else {
            let was_empty = state.bytes.is_empty();
            state.bytes.extend_from_slice(&self.line);
            if was_empty {
                self.shared.changed.notify_one();
            }
        }
        drop(state);
        self.line.clear();
    }
}

impl Write for LineQueue {
    /// Accepts a part of a line; a part that ends with a line break completes the line.
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        if part.ends_with(b"\n") {
            self.push_line();
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LineQueue {
    /// Waits until all lines are written, so that the last lines of a process are not lost.
    fn drop(&mut self) {
        self.shared.state.lock().closed = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // A writer thread that panicked has already printed a message to standard error.
            let _ = thread.join();
        }
    }
}

impl QueueShared {
    fn write_to(&self, mut output: impl Write) {
        loop {
            let batch = self.next_batch();
            // If the output is closed, such as a closed pipe, the error cannot be reported
            // anywhere.
            let _ = output.write_all(&batch.bytes);
            if batch.dropped > 0 {
                let _ = writeln!(
                    output,
                    r#"{{"msg":"log lines dropped","level":"WARN","lines":{}}}"#,
                    batch.dropped
                );
            }
            let _ = output.flush();
            if batch.closed {
                return;
            }
        }
    }

    /// Waits for lines and returns all that were collected.
    fn next_batch(&self) -> QueueState {
        let mut state = self.state.lock();
        while state.bytes.is_empty() && !state.closed {
            self.changed.wait(&mut state);
        }
        if !state.closed {
            // Returns early only when the queue is closed, since no other notification is sent
            // while the queue has lines.
            self.changed.wait_for(&mut state, BATCH_DELAY);
        }
        QueueState {
            bytes: mem::take(&mut state.bytes),
            dropped: mem::take(&mut state.dropped),
            closed: state.closed,
        }
    }
}
