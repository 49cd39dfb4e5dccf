//! Stored form of the answer to a request with an idempotency key.

use bytes::Bytes;
use lovagedock::prelude::RequestId;
use lovagedock_wire::{AnswerHead, HeaderField};
use serde::{Deserialize, Serialize};

use crate::front::{PROBLEM_TYPE, RequestProblem};

/// Headers that belong to one delivery of the answer and are not recorded.
const NOT_RECORDED: &[&str] = &["connection", "content-length", "date", "transfer-encoding"];

/// A recorded answer, from which each delivery is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedAnswer {
    status: u16,
    headers: Vec<RecordedHeader>,
    body: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedHeader {
    name: String,
    value: Vec<u8>,
}

impl RecordedAnswer {
    /// Creates the record of an answer that ended cleanly.
    pub(crate) fn new(head: &AnswerHead, body: Vec<u8>) -> Self {
        let headers = head.headers.iter();
        let headers = headers.filter(|field| !NOT_RECORDED.contains(&field.name.as_str()));
        Self {
            status: head.status,
            headers: headers
                .map(|field| RecordedHeader {
                    name: field.name.clone(),
                    value: field.value.to_vec(),
                })
                .collect(),
            body,
        }
    }

    /// Creates the record of the failure of a request that ran or may have run.
    pub(crate) fn failure(problem: &RequestProblem, id: RequestId) -> Self {
        let content_type = RecordedHeader {
            name: "content-type".to_owned(),
            value: PROBLEM_TYPE.into(),
        };
        Self {
            status: problem.code.http_status(),
            headers: vec![content_type],
            body: problem.bytes(id),
        }
    }

    /// Encodes the answer for the store.
    pub(crate) fn encode(&self) -> Result<Bytes, postcard::Error> {
        postcard::to_stdvec(self).map(Bytes::from)
    }

    /// Decodes the bytes that [`RecordedAnswer::encode`] returned.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Converts the record into the head and body of one delivery.
    pub(crate) fn into_parts(self) -> (AnswerHead, Bytes) {
        let headers = self.headers.into_iter();
        let head = AnswerHead {
            status: self.status,
            headers: headers
                .map(|header| HeaderField {
                    name: header.name,
                    value: Bytes::from(header.value),
                })
                .collect(),
        };
        (head, Bytes::from(self.body))
    }
}
