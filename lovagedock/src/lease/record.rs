//! The stored value of a lease.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Epoch, Incarnation},
    store_call::WriteNonce,
};

/// Version of the encoding, the first byte of the value.
const FORMAT: u8 = 1;

/// The current holder and epoch of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// Incarnation of the holder; `None` if it released the lease.
    pub(crate) holder: Option<Incarnation>,
    pub(crate) epoch: Epoch,
    pub(crate) duration_ms: u64,
    /// Identifies the write, so that its sender recognises it when it reads it back.
    pub(crate) nonce: WriteNonce,
}

impl LeaseRecord {
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    pub(crate) fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(&(FORMAT, self))
            .expect("serializing a record to a vector does not fail");
        Bytes::from(bytes)
    }

    /// Decodes a record. Returns `None` for bytes that this version cannot decode.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, body) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
