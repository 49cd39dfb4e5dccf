//! Adds the fields that the engine needs to the caller's body.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use lovagedock::prelude::{TokenCount, format_request_id};

use super::{
    client::bad_request,
    error::EngineError,
    message::{EngineRequest, SegmentHolder},
};

/// A request body for the engine, and whether its answer is streamed.
#[derive(Debug)]
pub(crate) struct EngineBody {
    pub(crate) bytes: Bytes,
    pub(crate) is_streamed: bool,
}

impl EngineBody {
    /// Sets the sidecar's fields and overwrites any that the caller sent under these names, so that
    /// no caller can raise its priority or use the id of another request.
    pub(crate) fn new(request: &EngineRequest) -> Result<Self, EngineError> {
        let mut fields: BTreeMap<String, Box<RawValue>> =
            serde_json::from_slice(&request.body).map_err(bad_request)?;
        let segments: Vec<SegmentField> = request.segments.iter().map(segment_field).collect();
        let id = format_request_id(request.request_id);
        set_field(&mut fields, "request_id", &id)?;
        set_field(&mut fields, "priority", &request.priority)?;
        set_field(&mut fields, "resume_offset", &request.resume_offset)?;
        set_field(&mut fields, "segments", &segments)?;
        let is_streamed = fields
            .get("stream")
            .is_some_and(|value| value.get() == "true");
        let bytes = serde_json::to_vec(&fields).map_err(bad_request)?;
        Ok(Self {
            bytes: bytes.into(),
            is_streamed,
        })
    }
}

/// A segment in the format of both vendors.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SegmentField {
    pub(crate) engine: String,
    pub(crate) tokens: TokenCount,
}

fn segment_field(holder: &SegmentHolder) -> SegmentField {
    SegmentField {
        engine: holder.locator.clone(),
        tokens: holder.tokens,
    }
}

fn set_field<T: Serialize>(
    fields: &mut BTreeMap<String, Box<RawValue>>,
    name: &str,
    value: &T,
) -> Result<(), EngineError> {
    let value = serde_json::value::to_raw_value(value).map_err(bad_request)?;
    fields.insert(name.to_owned(), value);
    Ok(())
}
