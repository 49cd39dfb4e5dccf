//! Answers that are split over objects of their own.

use bytes::{Bytes, BytesMut};

use super::{entry::SplitAnswer, types::ClaimLimits};
use crate::{
    ids::{RequestId, Timestamp, format_request_id},
    store_call::ObjectName,
};

/// Name of one part of an answer.
pub(crate) fn part_name(request: RequestId, part: u16) -> ObjectName {
    format!("claims/answers/{}/{part}", format_request_id(request)).into()
}

/// Objects that an answer needs; `None` when it is inline, an error when it is too large.
pub(crate) fn parts_needed(length: usize, limits: &ClaimLimits) -> Result<Option<u16>, TooLarge> {
    if length <= limits.inline_bytes {
        return Ok(None);
    }
    let parts = length.div_ceil(limits.part_bytes);
    let parts = u16::try_from(parts).map_err(|_| TooLarge)?;
    if parts > limits.max_parts {
        return Err(TooLarge);
    }
    Ok(Some(parts))
}

/// The answer needs more objects than the limits allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

/// Bytes of one part.
pub(crate) fn part_bytes(answer: &Bytes, part: u16, limits: &ClaimLimits) -> Bytes {
    let start = usize::from(part) * limits.part_bytes;
    let end = answer.len().min(start + limits.part_bytes);
    answer.slice(start..end)
}

/// A redelivery that reads a split answer.
#[derive(Clone, Debug)]
pub(crate) struct ReplayRead {
    pub(crate) request: RequestId,
    pub(crate) deadline: Timestamp,
    /// The request whose answer it is.
    pub(crate) source: RequestId,
    pub(crate) split: SplitAnswer,
    pub(crate) bytes: BytesMut,
    pub(crate) next: u16,
    pub(crate) in_flight: bool,
}

impl ReplayRead {
    pub(crate) fn next_name(&self) -> ObjectName {
        part_name(self.source, self.next)
    }

    /// Adds a part; the whole answer once there is no more.
    pub(crate) fn add(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.in_flight = false;
        self.bytes.extend_from_slice(bytes);
        self.next += 1;
        if self.next < self.split.parts {
            return None;
        }
        Some(self.bytes.split().freeze())
    }

    /// Whether these are the bytes that were recorded.
    pub(crate) fn matches(&self, answer: &Bytes) -> bool {
        answer.len() as u64 == self.split.length
            && *blake3::hash(answer).as_bytes() == self.split.digest
    }
}
