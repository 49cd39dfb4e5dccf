//! Sends responses to callers.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Frame, SizeHint},
    header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER},
};
use lovagedock::{OutputPhase, prelude::*};
use tokio::sync::{mpsc, oneshot};

use super::output_memory::ResponseOutput;
use crate::front::{RequestProblem, ResponseBody};

/// Number of events that are buffered for a caller that reads slowly. While the buffer is full,
/// nothing is read from the engine.
const CALLER_BUFFER_EVENTS: usize = 16;

/// A complete response of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Body, in the pieces in which it was received.
    pub(crate) body: Vec<Bytes>,
}

/// Sends the response to a caller: first the head, exactly once, and then the body.
pub(crate) struct ResponseSender {
    head: Option<oneshot::Sender<Response<ResponseBody>>>,
    body: Option<mpsc::Sender<StreamPart>>,
    output: ResponseOutput,
}

/// A part of a streamed response body.
enum StreamPart {
    /// Complete events.
    Events(Bytes),
    /// End of a complete response.
    End,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

impl ResponseSender {
    /// Creates a sender and the receiver of the response head. `output` counts what the response
    /// holds.
    pub(crate) fn channel(
        output: ResponseOutput,
    ) -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (head, receiver) = oneshot::channel();
        let response_sender = Self {
            head: Some(head),
            body: None,
            output,
        };
        (response_sender, receiver)
    }

    /// Returns what the response holds.
    pub(crate) fn output(&self) -> &ResponseOutput {
        &self.output
    }

    /// Returns whether the head of a stream was sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        self.body.is_some()
    }

    /// Sends a complete response.
    pub(crate) fn send_buffered(
        &mut self,
        buffered: BufferedResponse,
    ) -> Result<(), CallerDisconnected> {
        let mut response = Response::new(PieceBody::boxed(buffered.body));
        *response.status_mut() = buffered.status;
        *response.headers_mut() = buffered.headers;
        response.headers_mut().remove(CONTENT_LENGTH);
        self.send_head(response)
    }

    /// Sends a problem response of the gateway.
    pub(crate) fn send_problem(
        &mut self,
        problem: &RequestProblem,
        request: &str,
        retry_after: Option<Duration>,
    ) -> Result<(), CallerDisconnected> {
        self.send_head(problem_response(problem, request, retry_after))
    }

    /// Starts a stream.
    pub(crate) fn begin_stream(
        &mut self,
        status: StatusCode,
        mut headers: HeaderMap,
    ) -> Result<(), CallerDisconnected> {
        headers.remove(CONTENT_LENGTH);
        let (sender, receiver) = mpsc::channel(CALLER_BUFFER_EVENTS);
        let frames = stream::unfold(Some(receiver), next_frame);
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        self.send_head(response)?;
        self.body = Some(sender);
        Ok(())
    }

    /// Sends a part of a stream. Waits while the caller reads slowly.
    pub(crate) async fn send_chunk(&mut self, events: Bytes) -> Result<(), CallerDisconnected> {
        let body = self.body.as_ref().ok_or(CallerDisconnected)?;
        body.send(StreamPart::Events(events))
            .await
            .map_err(|_| CallerDisconnected)
    }

    /// Ends a stream as complete.
    pub(crate) async fn finish(&mut self) {
        if let Some(body) = &self.body {
            // Sending fails only if the caller has disconnected, and then the end is not needed.
            let _ = body.send(StreamPart::End).await;
        }
    }

    fn send_head(&mut self, response: Response<ResponseBody>) -> Result<(), CallerDisconnected> {
        let head = self.head.take().ok_or(CallerDisconnected)?;
        self.output.set_phase(OutputPhase::Delivering);
        head.send(response).map_err(|_| CallerDisconnected)
    }
}

/// A complete body in pieces. Each piece is dropped when it has been written to the caller.
struct PieceBody {
    pieces: VecDeque<Bytes>,
    /// Remaining bytes.
    length: u64,
}

impl PieceBody {
    fn boxed(pieces: Vec<Bytes>) -> ResponseBody {
        let length = pieces.iter().map(|piece| piece.len() as u64).sum();
        let pieces = pieces.into();
        BodyExt::boxed_unsync(Self { pieces, length })
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Poll::Ready(self.pieces.pop_front().map(|piece| {
            self.length -= piece.len() as u64;
            Ok(Frame::data(piece))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// Returns the next frame of a stream.
///
/// Only [`StreamPart::End`] ends the body normally. If the task of the request stops in any other
/// way, for instance because the engine that should resume the stream refuses, the channel closes,
/// and this returns an error. Otherwise the caller would accept a partial response as complete.
async fn next_frame(
    receiver: Option<mpsc::Receiver<StreamPart>>,
) -> Option<(
    Result<Frame<Bytes>, io::Error>,
    Option<mpsc::Receiver<StreamPart>>,
)> {
    let mut receiver = receiver?;
    match receiver.recv().await {
        Some(StreamPart::Events(bytes)) => Some((Ok(Frame::data(bytes)), Some(receiver))),
        Some(StreamPart::End) => None,
        None => Some((
            Err(io::Error::other(
                "the response ended before it was complete",
            )),
            None,
        )),
    }
}

/// Creates a problem response of the gateway.
pub(crate) fn problem_response(
    problem: &RequestProblem,
    request: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let id = RequestId::from_str_radix(request, 16).unwrap_or_default();
    let mut response = problem.response(id);
    let headers = response.headers_mut();
    match retry_after {
        Some(delay) => {
            let text = format!("{:.3}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        None => {
            headers.remove(RETRY_AFTER);
        }
    }
    response
}
