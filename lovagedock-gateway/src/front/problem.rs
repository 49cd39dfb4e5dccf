//! `application/problem+json` documents (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use lovagedock::prelude::*;
use serde::Serialize;

use super::body::{ResponseBody, full_body};

/// Header that carries the request's id in every response.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Content type of the documents.
pub(crate) const PROBLEM_TYPE: &str = "application/problem+json";

/// Why a request ended without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestProblem {
    /// Result code.
    pub(crate) code: ResultCode,
    /// Whether the request ran.
    pub(crate) ran: RanState,
    /// Time after which a retry may succeed; zero for none.
    pub(crate) retry_after: Duration,
    /// One-line description of this failure.
    pub(crate) detail: String,
}

impl RequestProblem {
    /// Creates a problem with the defaults of the code.
    pub(crate) fn new(code: ResultCode) -> Self {
        Self {
            code,
            ran: code.ran(),
            retry_after: Duration::ZERO,
            detail: String::new(),
        }
    }

    /// Sets the description of this failure.
    pub(crate) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets whether the request ran.
    pub(crate) fn with_ran(mut self, ran: RanState) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which a retry may succeed.
    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// The problem document.
    pub(crate) fn document(&self, id: RequestId) -> ProblemDocument<'_> {
        ProblemDocument {
            kind: format!("urn:lovagedock:code:{}", self.code.number()),
            title: self.code.title(),
            status: self.code.http_status(),
            detail: &self.detail,
            code: self.code.number(),
            ran: self.ran,
            request_id: format_request_id(id),
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
            error: ClientError {
                message: self.client_message(),
                kind: "lovagedock_error",
                code: self.code.number().to_string(),
            },
        }
    }

    /// The problem document as JSON bytes.
    pub(crate) fn bytes(&self, id: RequestId) -> Vec<u8> {
        serde_json::to_vec(&self.document(id)).unwrap_or_default()
    }

    /// The complete HTTP response.
    pub(crate) fn response(&self, id: RequestId) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(Bytes::from(self.bytes(id))));
        *response.status_mut() = to_status_code(self.code.http_status());
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static(PROBLEM_TYPE),
        );
        if !self.retry_after.is_zero() {
            let seconds = self.retry_after.as_millis().div_ceil(1000);
            headers.insert(
                header::RETRY_AFTER,
                header::HeaderValue::from(seconds as u64),
            );
        }
        set_request_id(&mut response, id);
        response
    }

    fn client_message(&self) -> String {
        if self.detail.is_empty() {
            return self.code.title().to_owned();
        }
        format!("{}: {}", self.code.title(), self.detail)
    }
}

/// Adds the request's id to a response.
pub(crate) fn set_request_id<B>(response: &mut Response<B>, id: RequestId) {
    if let Ok(value) = header::HeaderValue::from_str(&format_request_id(id)) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// Converts a status number; 502 for a number that is not a valid HTTP status.
pub(crate) fn to_status_code(number: u16) -> StatusCode {
    StatusCode::from_u16(number).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// Fields of a problem document.
#[derive(Serialize)]
pub(crate) struct ProblemDocument<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    code: u16,
    ran: RanState,
    request_id: String,
    retry_after_ms: u64,
    error: ClientError,
}

/// The error object that common client libraries display to users.
#[derive(Serialize)]
struct ClientError {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    code: String,
}
