//! Reads a streamed answer event by event and checks that it belongs to the request.

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use serde::Deserialize;
use tokio::time::Instant;

use lovagedock::prelude::TokenCount;

use super::{
    client::{EngineClient, EngineResponse},
    engine_adapter::EngineStream,
    error::EngineError,
    message::{EngineEnd, EngineEvent},
};

const DATA_PREFIX: &[u8] = b"data:";
/// Maximum length of an event. A longer one comes from an engine whose event framing is broken.
const MAX_EVENT_BYTES: usize = 1 << 20;
const STREAM_END: &[u8] = b"[DONE]";

/// Fields of a chunk or a whole answer that the sidecar reads.
#[derive(Debug, Deserialize)]
pub(crate) struct AnswerFields {
    #[serde(default)]
    id: String,
    #[serde(default)]
    error: Option<ErrorField>,
    #[serde(default)]
    usage: Option<UsageField>,
}

#[derive(Debug, Deserialize)]
struct ErrorField {
    #[serde(default)]
    message: String,
}

#[derive(Debug, Default, Deserialize)]
struct UsageField {
    prompt_tokens: TokenCount,
    completion_tokens: TokenCount,
    #[serde(default)]
    prompt_tokens_details: CachedField,
}

#[derive(Debug, Default, Deserialize)]
struct CachedField {
    #[serde(default)]
    cached_tokens: TokenCount,
}

impl AnswerFields {
    /// Parses the fields and checks that they belong to the request with this id.
    ///
    /// An engine under load swapped the answers of two requests, and a caller would have received
    /// another caller's text without an error. Each chunk contains its request id, so a chunk with
    /// another id is not forwarded.
    pub(crate) fn parse(json: &[u8], request_id: &str) -> Result<Self, EngineError> {
        let fields: Self = serde_json::from_slice(json).map_err(EngineError::failed)?;
        if let Some(error) = fields.error {
            return Err(EngineError::failed(error.message));
        }
        if !fields.id.ends_with(request_id) {
            let detail = format!("the answer belongs to another request: {}", fields.id);
            return Err(EngineError::failed(detail));
        }
        Ok(fields)
    }

    /// Copies the usage, if present, into the end.
    pub(crate) fn copy_usage(&self, end: &mut EngineEnd) {
        if let Some(usage) = &self.usage {
            end.prompt_tokens = usage.prompt_tokens;
            end.answer_tokens = usage.completion_tokens;
            end.cached_tokens = usage.prompt_tokens_details.cached_tokens;
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum ReaderPhase {
    Reading,
    /// The `[DONE]` event was returned; the end is returned next.
    Ending,
    Done,
}

/// Reads one streamed answer.
pub(crate) struct SseReader {
    client: EngineClient,
    response: EngineResponse,
    request_id: String,
    started: Instant,
    buffer: BytesMut,
    end: EngineEnd,
    has_token: bool,
    phase: ReaderPhase,
}

impl SseReader {
    pub(crate) fn new(
        client: EngineClient,
        response: EngineResponse,
        request_id: String,
        started: Instant,
    ) -> Self {
        Self {
            client,
            response,
            request_id,
            started,
            buffer: BytesMut::new(),
            end: EngineEnd::default(),
            has_token: false,
            phase: ReaderPhase::Reading,
        }
    }

    /// Stream of the body's events and the end, without the head.
    pub(crate) fn into_stream(self) -> EngineStream {
        stream::try_unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Ok(event.map(|event| (event, reader)))
        })
        .boxed()
    }

    async fn next_event(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        match self.phase {
            ReaderPhase::Reading => self.next_bytes().await.map(Some),
            ReaderPhase::Ending => {
                self.phase = ReaderPhase::Done;
                Ok(Some(EngineEvent::End(self.end)))
            }
            ReaderPhase::Done => Ok(None),
        }
    }

    async fn next_bytes(&mut self) -> Result<EngineEvent, EngineError> {
        loop {
            let Some(event) = self.split_event() else {
                self.read_more().await?;
                continue;
            };
            // Comments are keep-alives of the engine; they are not part of the answer.
            let Some(data) = event_data(&event) else {
                continue;
            };
            if data == STREAM_END {
                self.phase = ReaderPhase::Ending;
                return Ok(EngineEvent::Bytes(event));
            }
            self.check_event(data)?;
            return Ok(EngineEvent::Bytes(event));
        }
    }

    fn check_event(&mut self, data: &[u8]) -> Result<(), EngineError> {
        let fields = AnswerFields::parse(data, &self.request_id)?;
        fields.copy_usage(&mut self.end);
        if !self.has_token {
            self.has_token = true;
            self.end.first_token_after = self.started.elapsed();
        }
        Ok(())
    }

    fn split_event(&mut self) -> Option<Bytes> {
        let end = event_end(&self.buffer)?;
        Some(self.buffer.split_to(end).freeze())
    }

    async fn read_more(&mut self) -> Result<(), EngineError> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(EngineError::failed(
                "an event of the answer exceeds the size limit",
            ));
        }
        let body = self.response.inner.body_mut();
        match self.client.within_idle_timeout(body.frame()).await? {
            None => Err(EngineError::lost("the answer was truncated")),
            Some(Err(error)) => Err(EngineError::lost(error)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
        }
    }
}

/// End of the first event: after an empty line, with either line ending.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = buffer[line_start..index].trim_ascii_end();
        if line.is_empty() {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_data(event: &[u8]) -> Option<&[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(DATA_PREFIX))
        .map(<[u8]>::trim_ascii)
}
