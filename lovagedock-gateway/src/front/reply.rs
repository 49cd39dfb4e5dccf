//! Answers on their way to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Frame},
    header::{HeaderName, HeaderValue},
};
use lovagedock::prelude::*;
use lovagedock_wire::{AnswerHead, HeaderField};
use tokio::sync::mpsc;

use super::{
    body::{ResponseBody, full_body},
    problem::{RequestProblem, set_request_id, status},
};

/// Events that may wait between a driver and its caller's connection.
const CALLER_QUEUE: usize = 32;

/// What a driver tells the caller's connection, in order.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// Status and headers; at most one, first.
    Head(AnswerHead),
    /// Bytes of the answer.
    Bytes(Bytes),
    /// The whole answer was sent and checked.
    Complete,
    /// The request ended without a whole answer.
    Problem(RequestProblem),
}

impl CallerEvent {
    /// The code that the caller sees at the end.
    pub(crate) fn code(&self) -> ResultCode {
        match self {
            Self::Problem(problem) => problem.code,
            Self::Head(_) | Self::Bytes(_) | Self::Complete => ResultCode::Complete,
        }
    }
}

/// A driver's end of the way to its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerSink {
    sender: mpsc::Sender<CallerEvent>,
}

impl CallerSink {
    /// Both ends.
    pub(crate) fn channel() -> (Self, mpsc::Receiver<CallerEvent>) {
        let (sender, receiver) = mpsc::channel(CALLER_QUEUE);
        (Self { sender }, receiver)
    }

    /// Sends an event; waits while the caller is slow. False if the caller has gone.
    pub(crate) async fn send(&self, event: CallerEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Ends when the caller has gone.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Waits for the first event and makes the response of it and what follows.
pub(crate) async fn response(
    id: RequestId,
    stream: bool,
    mut events: mpsc::Receiver<CallerEvent>,
) -> Response<ResponseBody> {
    match events.recv().await {
        Some(CallerEvent::Head(head)) => streaming_response(id, head, stream, events),
        Some(CallerEvent::Problem(problem)) => problem.response(id),
        Some(CallerEvent::Complete) => empty_response(id),
        Some(CallerEvent::Bytes(_)) | None => driver_ended().response(id),
    }
}

fn empty_response(id: RequestId) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    set_request_id(&mut response, id);
    response
}

fn driver_ended() -> RequestProblem {
    RequestProblem::new(ResultCode::EndpointLost).with_detail("the request's driver ended early")
}

fn streaming_response(
    id: RequestId,
    head: AnswerHead,
    stream: bool,
    events: mpsc::Receiver<CallerEvent>,
) -> Response<ResponseBody> {
    let body = EventBody {
        id,
        stream,
        events,
        state: BodyState::Open,
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status(head.status);
    for field in &head.headers {
        copy_header(&mut response, field);
    }
    set_request_id(&mut response, id);
    response
}

fn copy_header(response: &mut Response<ResponseBody>, field: &HeaderField) {
    let Ok(name) = HeaderName::from_bytes(field.name.as_bytes()) else {
        return;
    };
    let Ok(value) = HeaderValue::from_bytes(&field.value) else {
        return;
    };
    response.headers_mut().append(name, value);
}

/// A body that ends cleanly only after [`CallerEvent::Complete`].
///
/// An answer that was cut would otherwise look whole to a client that reads until the end: any
/// other end is an error of the body, so that the connection breaks without the last chunk.
struct EventBody {
    id: RequestId,
    stream: bool,
    events: mpsc::Receiver<CallerEvent>,
    state: BodyState,
}

#[derive(Clone, Copy)]
enum BodyState {
    Open,
    /// The problem was handed over and is to be written before the break.
    ProblemSent,
    Broken,
}

impl EventBody {
    /// Tells a streaming client why its stream breaks, as one more event before the break.
    fn problem_frame(&mut self, problem: &RequestProblem) -> Frame<Bytes> {
        self.state = BodyState::ProblemSent;
        let document = serde_json::to_string(&problem.document(self.id)).unwrap_or_default();
        Frame::data(Bytes::from(format!("event: error\ndata: {document}\n\n")))
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.state {
            BodyState::Open => {}
            // The error of a body drops what the connection has not written yet, and the caller
            // would see a break without its reason. A pause lets the connection write first.
            BodyState::ProblemSent => {
                self.state = BodyState::Broken;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            BodyState::Broken => return Poll::Ready(Some(Err(truncated_body()))),
        }
        match self.events.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(CallerEvent::Bytes(bytes))) => {
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Poll::Ready(Some(CallerEvent::Complete)) => Poll::Ready(None),
            Poll::Ready(Some(CallerEvent::Problem(problem))) if self.stream => {
                Poll::Ready(Some(Ok(self.problem_frame(&problem))))
            }
            Poll::Ready(Some(CallerEvent::Problem(_) | CallerEvent::Head(_)) | None) => {
                Poll::Ready(Some(Err(truncated_body())))
            }
        }
    }
}

fn truncated_body() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is not whole")
}
