//! Bodies of answers to callers.

use std::{convert::Infallible, io};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Body of any answer to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is there in whole.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes).map_err(never).boxed_unsync()
}
