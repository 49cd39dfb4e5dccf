//! Bodies of responses to callers.

use std::{convert::Infallible, io};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Body of any response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// A body whose bytes are all available at once.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    let never = |error: Infallible| match error {};
    Full::new(bytes).map_err(never).boxed_unsync()
}
