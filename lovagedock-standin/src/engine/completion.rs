//! Completion routes: from the request body to the streamed or complete response.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures::{Stream, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, StatusCode,
    body::{Frame, Incoming},
};

use lovagedock::{prelude::TokenCount, split_model_name};

use super::{
    answer::{chat_prompt, prefix_hashes, prompt_digest, prompt_tokens},
    batch::{SequenceKind, SequenceRequest, SubmitError},
    fault::EngineFault,
    protocol::{CompletionBody, ErrorBody, ErrorDetail},
    render::{AnswerSource, KEEP_ALIVE, STREAM_END},
    routes::{
        EngineResponse, RouteError, RouteResult, read_json, response_with_body, text_response,
    },
    segment::SegmentMonitor,
    state::{EngineState, Progress, ProgressReceiver},
};

/// Whether the requested model is the engine's model, with or without an adapter.
fn is_served_model(model: &str, requested: &str) -> bool {
    requested == model || split_model_name(requested).is_some_and(|(base, _)| base == model)
}

pub(crate) async fn complete(
    state: Arc<EngineState>,
    request: Request<Incoming>,
    chat: bool,
) -> RouteResult {
    let mut body: CompletionBody = read_json(request).await?;
    if !is_served_model(&state.core.lock().model, &body.model) {
        return Err(RouteError::new(StatusCode::NOT_FOUND, "no such model"));
    }
    if chat {
        body.prompt = chat_prompt(&body.messages);
    }
    let mut holders = std::mem::take(&mut body.segments);
    holders.retain(|holder| holder.engine != state.address);
    let source = answer_source(&body, chat);
    let remote_tokens: TokenCount = holders.iter().map(|holder| holder.tokens).sum();
    let local_tokens = state.core.lock().batch.held_tokens(&source.request_id);
    let monitor = SegmentMonitor::new(source.request_id.clone(), holders);
    monitor.check().await?;
    let request = sequence_request(&body, &source, remote_tokens + local_tokens);
    let writer = submit_or_attach(&state, body.resume_offset, request, source)?;
    monitor.spawn(state.clone());
    state.wake.notify_one();
    if body.stream {
        return Ok(streamed_response(writer));
    }
    full_response(writer).await
}

fn submit_or_attach(
    state: &Arc<EngineState>,
    start: TokenCount,
    request: SequenceRequest,
    source: AnswerSource,
) -> Result<AnswerWriter, RouteError> {
    let mut core = state.core.lock();
    let attached = match start {
        0 => None,
        _ => core.attach(&source.request_id),
    };
    let (source, receiver) = match attached {
        Some(attached) => attached,
        None => {
            let receiver = core
                .submit(request, source.clone())
                .map_err(submit_route_error)?;
            (source, receiver)
        }
    };
    Ok(AnswerWriter {
        state: state.clone(),
        source,
        receiver,
        start,
        sent: start,
        cached_tokens: 0,
        is_done: false,
    })
}

fn answer_source(body: &CompletionBody, chat: bool) -> AnswerSource {
    let digest = prompt_digest(&body.prompt);
    let request_id = match &body.request_id {
        Some(id) => id.as_str().into(),
        None => format!("anonymous-{digest:016x}").into(),
    };
    AnswerSource {
        request_id,
        model: body.model.clone(),
        chat,
        digest,
        prompt_tokens: prompt_tokens(&body.prompt),
        max_tokens: body.max_tokens.max(1),
    }
}

/// Builds the sequence without the `held` prompt tokens, which segments hold already. The last
/// prompt token is always computed.
fn sequence_request(
    body: &CompletionBody,
    source: &AnswerSource,
    held: TokenCount,
) -> SequenceRequest {
    let computed_tokens = source.prompt_tokens.saturating_sub(held).max(1);
    let hashes = match held {
        0 => prefix_hashes(&body.prompt),
        _ => Vec::new(),
    };
    SequenceRequest {
        request_id: source.request_id.clone(),
        kind: SequenceKind::Answer,
        priority: body.priority,
        start: source.prompt_tokens - computed_tokens,
        prompt_tokens: computed_tokens,
        resume_offset: body.resume_offset.min(source.max_tokens),
        max_tokens: source.max_tokens,
        prefix_hashes: hashes,
        imported: false,
    }
}

pub(crate) fn submit_route_error(error: SubmitError) -> RouteError {
    match error {
        SubmitError::TooLarge => RouteError::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the request does not fit into the memory of the engine",
        ),
        SubmitError::Duplicate => RouteError::new(
            StatusCode::CONFLICT,
            "a request with this id already exists",
        ),
    }
}

/// Turns the progress of a request into the bytes of its response.
struct AnswerWriter {
    state: Arc<EngineState>,
    source: AnswerSource,
    receiver: ProgressReceiver,
    start: TokenCount,
    sent: TokenCount,
    cached_tokens: TokenCount,
    is_done: bool,
}

impl AnswerWriter {
    /// Returns the next bytes of a streamed response; an error breaks the connection.
    async fn next_text(&mut self) -> Option<io::Result<String>> {
        if self.is_done {
            return None;
        }
        loop {
            match self.receiver.recv().await {
                None => {
                    self.is_done = true;
                    return Some(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Some(Progress::KeepAlive) => return Some(Ok(KEEP_ALIVE.to_owned())),
                Some(Progress::Failed(reason)) => {
                    self.is_done = true;
                    return Some(Ok(error_event(reason)));
                }
                Some(Progress::Produced {
                    produced,
                    cached_tokens,
                    finished,
                }) => {
                    self.cached_tokens = self.cached_tokens.max(cached_tokens);
                    if !finished && !self.is_event_due(produced) {
                        continue;
                    }
                    return Some(Ok(self.event(produced, finished)));
                }
            }
        }
    }

    fn is_event_due(&self, produced: TokenCount) -> bool {
        let interval = match self.sent == self.start {
            true => 1,
            false => self.state.options.stream_interval.max(1),
        };
        produced >= self.sent + interval
    }

    fn event(&mut self, produced: TokenCount, finished: bool) -> String {
        let source = self.response_source();
        let mut text = source.event(self.sent, produced, self.cached_tokens);
        self.sent = produced;
        if finished {
            self.is_done = true;
            text.push_str(STREAM_END);
        }
        text
    }

    fn response_source(&self) -> AnswerSource {
        let is_swapped = *self.state.fault.borrow() == EngineFault::SwapsResponses;
        match is_swapped {
            true => self.state.core.lock().swapped_source(&self.source),
            false => self.source.clone(),
        }
    }
}

fn error_event(reason: &'static str) -> String {
    let body = ErrorBody {
        error: ErrorDetail {
            kind: "engine_error",
            message: reason.to_owned(),
        },
    };
    format!(
        "data: {}\n\n",
        serde_json::to_string(&body).unwrap_or_default()
    )
}

fn streamed_response(writer: AnswerWriter) -> EngineResponse {
    let body = StreamBody::new(frames(writer));
    response_with_body(StatusCode::OK, "text/event-stream", BodyExt::boxed(body))
}

fn frames(writer: AnswerWriter) -> impl Stream<Item = io::Result<Frame<Bytes>>> + Send + Sync {
    stream::unfold(writer, |mut writer| async move {
        let text = writer.next_text().await?;
        Some((text.map(|text| Frame::data(Bytes::from(text))), writer))
    })
}

async fn full_response(mut writer: AnswerWriter) -> RouteResult {
    loop {
        match writer.receiver.recv().await {
            None => return Ok(aborted_response()),
            Some(Progress::KeepAlive) => {}
            Some(Progress::Failed(reason)) => {
                return Err(RouteError::new(StatusCode::INTERNAL_SERVER_ERROR, reason));
            }
            Some(Progress::Produced {
                cached_tokens,
                finished,
                ..
            }) => {
                writer.cached_tokens = writer.cached_tokens.max(cached_tokens);
                if finished {
                    let source = writer.response_source();
                    let text = source.completion_json(writer.start, writer.cached_tokens);
                    return Ok(text_response(StatusCode::OK, "application/json", text));
                }
            }
        }
    }
}

/// Response whose body fails, so that the caller sees a broken connection.
fn aborted_response() -> EngineResponse {
    let error = io::Error::from(io::ErrorKind::ConnectionReset);
    let frames = stream::iter([Err::<Frame<Bytes>, _>(error)]);
    response_with_body(
        StatusCode::OK,
        "application/json",
        BodyExt::boxed(StreamBody::new(frames)),
    )
}
