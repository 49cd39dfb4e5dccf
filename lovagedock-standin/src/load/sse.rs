//! Takes server-sent events out of a stream of bytes.

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Name; empty when the event has none.
    pub name: String,
    /// Data lines, joined by line feeds.
    pub data: String,
}

/// Collects bytes and gives the events that are whole.
#[derive(Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// Creates a parser at the beginning of a stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let block: Vec<u8> = self.buffer.drain(..end + 2).collect();
            events.extend(parse_block(&String::from_utf8_lossy(&block)));
        }
        events
    }

    /// Whether an event has begun and not ended.
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
            // An empty field is a comment, which servers send to keep a connection open.
            _ => continue,
        }
        has_field = true;
    }
    has_field.then_some(event)
}
