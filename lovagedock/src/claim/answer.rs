//! Answers that are too large for the partition's object and are split into separate objects.

use bytes::{Bytes, BytesMut};

use super::{entry::SplitAnswer, types::ClaimLimits};
use crate::{
    ids::{RequestId, Timestamp, format_request_id},
    store_call::ObjectName,
};

/// Returns the object name of one part of an answer.
pub(crate) fn part_name(request: RequestId, part: u16) -> ObjectName {
    format!("claims/answers/{}/{part}", format_request_id(request)).into()
}

/// Returns the number of objects that an answer needs, or `None` if it is stored inline.
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

/// Returns the bytes of one part.
pub(crate) fn part_bytes(answer: &Bytes, part: u16, limits: &ClaimLimits) -> Bytes {
    let start = usize::from(part) * limits.part_bytes;
    let end = answer.len().min(start + limits.part_bytes);
    answer.slice(start..end)
}

/// Progress of reading a split answer for a repeated request.
#[derive(Clone, Debug)]
pub(crate) struct ReplayRead {
    pub(crate) request: RequestId,
    pub(crate) deadline: Timestamp,
    /// The request that produced the answer.
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

    /// Appends a part. Returns the whole answer after the last one.
    pub(crate) fn add(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.in_flight = false;
        self.bytes.extend_from_slice(bytes);
        self.next += 1;
        if self.next < self.split.parts {
            return None;
        }
        Some(self.bytes.split().freeze())
    }

    /// Whether length and digest match the recorded answer.
    pub(crate) fn matches(&self, answer: &Bytes) -> bool {
        answer.len() as u64 == self.split.length
            && *blake3::hash(answer).as_bytes() == self.split.digest
    }
}
