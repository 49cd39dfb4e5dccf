//! Builds responses to callers from the events of request drivers.

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
    problem::{RequestProblem, set_request_id, to_status_code},
};

/// Capacity of the event queue between a driver and its caller's connection.
const CALLER_QUEUE: usize = 32;

/// Events that a driver sends to the caller's connection, in order.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// Status and headers; sent at most once, as the first event.
    Head(AnswerHead),
    /// Bytes of the answer.
    Bytes(Bytes),
    /// The complete answer was sent and verified.
    Complete,
    /// The request ended without a complete answer.
    Problem(RequestProblem),
}

impl CallerEvent {
    /// The result code that the caller receives.
    pub(crate) fn code(&self) -> ResultCode {
        match self {
            Self::Problem(problem) => problem.code,
            Self::Head(_) | Self::Bytes(_) | Self::Complete => ResultCode::Complete,
        }
    }
}

/// The sending end of a driver's event channel to its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerSink {
    sender: mpsc::Sender<CallerEvent>,
}

impl CallerSink {
    /// Creates the channel to a caller.
    pub(crate) fn channel() -> (Self, mpsc::Receiver<CallerEvent>) {
        let (sender, receiver) = mpsc::channel(CALLER_QUEUE);
        (Self { sender }, receiver)
    }

    /// Sends an event and waits while the caller is slow. Returns false if the caller has
    /// disconnected.
    pub(crate) async fn send(&self, event: CallerEvent) -> bool {
        self.sender.send(event).await.is_ok()
    }

    /// Returns when the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Waits for the first event and builds the response from it and the events that follow.
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
    RequestProblem::new(ResultCode::EndpointLost)
        .with_detail("the request's driver ended without a response head")
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
    *response.status_mut() = to_status_code(head.status);
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
/// Any other end is a body error, so that the connection breaks without the last chunk. Otherwise
/// a truncated answer would look complete to a client that reads until the end of the body.
struct EventBody {
    id: RequestId,
    stream: bool,
    events: mpsc::Receiver<CallerEvent>,
    state: BodyState,
}

#[derive(Clone, Copy)]
enum BodyState {
    Open,
    /// The problem was passed to the connection, which still has to write it before the error.
    ProblemSent,
    Broken,
}

impl EventBody {
    /// Builds the event that reports the reason to a streaming client before the connection breaks.
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
            // A body error discards data that the connection has not written yet, so the caller
            // would see the connection break without the reason. Returning `Pending` once lets the
            // connection write the problem first.
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
    io::Error::new(
        io::ErrorKind::ConnectionAborted,
        "answer truncated: the request ended before the answer was complete",
    )
}
