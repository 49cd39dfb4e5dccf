//! Answers on their way to callers.

use std::{io, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Frame,
    header::{CONTENT_LENGTH, HeaderValue, RETRY_AFTER},
};
use lovagedock::prelude::*;
use tokio::sync::{mpsc, oneshot};

use crate::front::{AnswerBody, RequestProblem, whole_body};

/// Events that may wait for a caller that reads slowly; its engine is not read meanwhile.
const CALLER_BUFFER_EVENTS: usize = 16;

/// A whole answer of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct BufferedResponse {
    /// Status.
    pub(crate) status: StatusCode,
    /// Headers without those of one connection.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

/// The way to a caller; the head goes first and once.
pub(crate) struct ResponseSender {
    head: Option<oneshot::Sender<Response<AnswerBody>>>,
    body: Option<mpsc::Sender<StreamPart>>,
}

/// A part of a stream on its way to the caller's connection.
enum StreamPart {
    /// Whole events.
    Events(Bytes),
    /// Everything was sent.
    End,
}

/// The caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

impl ResponseSender {
    /// Both ends.
    pub(crate) fn channel() -> (Self, oneshot::Receiver<Response<AnswerBody>>) {
        let (head, receiver) = oneshot::channel();
        let response_sender = Self {
            head: Some(head),
            body: None,
        };
        (response_sender, receiver)
    }

    /// Whether the caller has got the head of a stream.
    pub(crate) fn has_begun(&self) -> bool {
        self.body.is_some()
    }

    /// Sends a whole answer.
    pub(crate) fn send_buffered(
        &mut self,
        answer: BufferedResponse,
    ) -> Result<(), CallerDisconnected> {
        let mut response = Response::new(whole_body(answer.body));
        *response.status_mut() = answer.status;
        *response.headers_mut() = answer.headers;
        response.headers_mut().remove(CONTENT_LENGTH);
        self.send_head(response)
    }

    /// Sends an answer of our own.
    pub(crate) fn send_problem(
        &mut self,
        problem: &RequestProblem,
        request: &str,
        retry_after: Option<Duration>,
    ) -> Result<(), CallerDisconnected> {
        self.send_head(problem_response(problem, request, retry_after))
    }

    /// Begins a stream.
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

    /// Sends a piece of a stream; waits while the caller is slow.
    pub(crate) async fn send_chunk(&mut self, piece: Bytes) -> Result<(), CallerDisconnected> {
        let body = self.body.as_ref().ok_or(CallerDisconnected)?;
        body.send(StreamPart::Events(piece))
            .await
            .map_err(|_| CallerDisconnected)
    }

    /// Ends a stream as complete.
    pub(crate) async fn finish(&mut self) {
        if let Some(body) = &self.body {
            // A caller that has gone needs no word of it.
            let _ = body.send(StreamPart::End).await;
        }
    }

    fn send_head(&mut self, response: Response<AnswerBody>) -> Result<(), CallerDisconnected> {
        let head = self.head.take().ok_or(CallerDisconnected)?;
        head.send(response).map_err(|_| CallerDisconnected)
    }
}

/// The next frame of a stream.
///
/// Only an explicit end is one. If the request's task stops in any other way, for instance when the
/// engine that should continue the stream refuses, the channel closes, and without this the caller
/// would take the part that came for the whole answer.
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
        None => Some((Err(io::Error::other("the answer broke off")), None)),
    }
}

/// An answer of our own.
pub(crate) fn problem_response(
    problem: &RequestProblem,
    request: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
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
