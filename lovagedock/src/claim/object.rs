//! The stored value of a partition.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{entry::ClaimEntry, types::KeyHash};
use crate::ids::RequestId;

/// Version of the encoding, the first byte of the value.
const FORMAT: u8 = 1;
/// Upper bound of the encoded value without its entries, in bytes.
const HEADER_BYTES: usize = 64;
/// Upper bound of one encoded [`StrayParts`], in bytes.
const STRAY_BYTES: usize = 32;

/// All claims of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartitionObject {
    /// Partition time of the write.
    pub(crate) clock_ms: u64,
    pub(crate) entries: BTreeMap<KeyHash, ClaimEntry>,
    /// Answers of expired claims that are not deleted yet.
    pub(crate) strays: Vec<StrayParts>,
}

/// Parts of an answer whose claim has expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StrayParts {
    #[serde(with = "postcard::fixint::le")]
    pub(crate) request: RequestId,
    pub(crate) parts: u16,
    /// Partition time at which the claim was found expired.
    pub(crate) found_ms: u64,
}

/// The value is damaged or has a newer format. No claim may be granted from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DecodeError;

impl PartitionObject {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let (format, body) = bytes.split_first().ok_or(DecodeError)?;
        if *format != FORMAT {
            return Err(DecodeError);
        }
        postcard::from_bytes(body).map_err(|_| DecodeError)
    }

    pub(crate) fn encode(&self) -> Bytes {
        let buffer = Vec::with_capacity(self.bytes());
        let buffer = postcard::to_extend(&(FORMAT, self), buffer)
            .expect("serializing a partition to a vector does not fail");
        Bytes::from(buffer)
    }

    /// Upper bound of the encoded size.
    pub(crate) fn bytes(&self) -> usize {
        let entries: usize = self.entries.values().map(ClaimEntry::bytes).sum();
        HEADER_BYTES + entries + self.strays.len() * STRAY_BYTES
    }
}
