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
    body::{AnswerBody, whole_body},
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
) -> Response<AnswerBody> {
    match events.recv().await {
        Some(CallerEvent::Head(head)) => streaming(id, head, stream, events),
        Some(CallerEvent::Problem(problem)) => problem.response(id),
        Some(CallerEvent::Complete) => empty(id),
        Some(CallerEvent::Bytes(_)) | None => lost().response(id),
    }
}

fn empty(id: RequestId) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    set_request_id(&mut response, id);
    response
}

fn lost() -> RequestProblem {
    RequestProblem::new(ResultCode::EndpointLost).with_detail("the request's driver ended early")
}

fn streaming(
    id: RequestId,
    head: AnswerHead,
    stream: bool,
    events: mpsc::Receiver<CallerEvent>,
) -> Response<AnswerBody> {
    let body = EventBody {
        id,
        stream,
        events,
        ending: BodyEnding::Open,
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status(head.status);
    for field in &head.headers {
        copy_header(&mut response, field);
    }
    set_request_id(&mut response, id);
    response
}

fn copy_header(response: &mut Response<AnswerBody>, field: &HeaderField) {
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
    ending: BodyEnding,
}

#[derive(Clone, Copy)]
enum BodyEnding {
    Open,
    /// The problem was handed over and is to be written before the break.
    Told,
    Broken,
}

impl EventBody {
    /// Tells a streaming client why its stream breaks, as one more event before the break.
    fn problem_frame(&mut self, problem: &RequestProblem) -> Frame<Bytes> {
        self.ending = BodyEnding::Told;
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
        match self.ending {
            BodyEnding::Open => {}
            // The error of a body drops what the connection has not written yet, and the caller
            // would see a break without its reason. A pause lets the connection write first.
            BodyEnding::Told => {
                self.ending = BodyEnding::Broken;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            BodyEnding::Broken => return Poll::Ready(Some(Err(cut()))),
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
                Poll::Ready(Some(Err(cut())))
            }
        }
    }
}

fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "the answer is not whole")
}
