//! Splitting of an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event's bytes.
    pub bytes: Bytes,
    /// The event's id, if any.
    pub id: Option<String>,
}

/// Buffers pieces of an event stream and returns complete events.
///
/// An engine that crashes may stop in the middle of an event. If the partial event had been
/// forwarded, it could not be taken back, and the engine that continues the stream would send the
/// complete event after it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Creates a splitter at the start of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.pending.extend_from_slice(piece);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.scanned = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether part of an event remains.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(MAX_SEPARATOR_LEN);
        for index in start..self.pending.len() {
            let rest = &self.pending[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(index + 4);
            }
        }
        self.scanned = self.pending.len();
        None
    }
}

/// Length in bytes of the longest blank line that ends an event.
const MAX_SEPARATOR_LEN: usize = 4;

fn event_id(bytes: &[u8]) -> Option<String> {
    let line = bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(line).ok()?;
    Some(text.trim().to_owned())
}
