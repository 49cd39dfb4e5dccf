//! Parser of server-sent events.

/// Event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Name of the event; empty if it has none.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Incremental parser that buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Creates a parser for a new stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.extend(parse_block(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether the buffer holds the beginning of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse_block(block: &str) -> Option<SseEvent> {
    let mut event = SseEvent {
        name: String::new(),
        data: String::new(),
    };
    let mut has_field = false;
    for line in block.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => event.name = value.to_owned(),
            "data" => {
                if !event.data.is_empty() {
                    event.data.push('\n');
                }
                event.data.push_str(value);
            }
            // A line with an empty field name is a comment, which servers send as a keep-alive.
            _ => continue,
        }
        has_field = true;
    }
    has_field.then_some(event)
}
