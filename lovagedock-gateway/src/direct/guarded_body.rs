//! Bodies of responses that end something when they end.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

use crate::front::ResponseBody;

/// A response body that drops its guard with it.
struct GuardedBody<G> {
    body: ResponseBody,
    _guard: G,
}

impl<G: Unpin> Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Ties the guard to the lifetime of the body.
pub(crate) fn with_guard<G: Send + Unpin + 'static>(body: ResponseBody, guard: G) -> ResponseBody {
    let body = GuardedBody {
        body,
        _guard: guard,
    };
    BodyExt::boxed_unsync(body)
}
