//! The value of a lease's object.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    ids::{Epoch, Incarnation},
    store_call::WriteNonce,
};

/// Version of the encoding, the first byte of the value.
const FORMAT: u8 = 1;

/// Who holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    /// Life of the holder; `None` when it gave the lease back.
    pub(crate) holder: Option<Incarnation>,
    pub(crate) epoch: Epoch,
    pub(crate) duration_ms: u64,
    /// Names the write, so that its author knows it again.
    pub(crate) nonce: WriteNonce,
}

impl LeaseRecord {
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    pub(crate) fn encode(&self) -> Bytes {
        let bytes = postcard::to_stdvec(&(FORMAT, self)).expect("a vector takes every record");
        Bytes::from(bytes)
    }

    /// `None` for bytes that this version does not understand.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (format, body) = bytes.split_first()?;
        if *format != FORMAT {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
