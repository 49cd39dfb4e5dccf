//! Bodies of answers to callers.

use std::{convert::Infallible, io};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Body of any answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is there in whole.
pub(crate) fn whole_body(bytes: Bytes) -> AnswerBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes).map_err(never).boxed_unsync()
}
