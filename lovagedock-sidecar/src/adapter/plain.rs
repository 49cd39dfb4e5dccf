//! Adapter to plain services; the caller's request is forwarded unchanged.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderName, HeaderValue, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use serde::Deserialize;
use tokio::time::Instant;

use lovagedock::prelude::{RequestId, format_request_id};

use super::{
    client::{EngineClient, EngineResponse, bad_request},
    engine_adapter::{EngineAdapter, EngineStream},
    error::EngineError,
    message::{
        AdapterCapabilities, CacheReport, CacheSnapshot, EngineAllocation, EngineEnd, EngineEvent,
        EngineHead, EngineHeader, EngineLoad, EngineOrder, EngineRequest, SegmentHolder,
        SegmentRequest,
    },
    registry::{AdapterOptions, AdapterPlugin},
};

inventory::submit! {
    AdapterPlugin {
        name: "plain",
        build: |options| Ok(Arc::new(PlainAdapter::new(options))),
    }
}

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const KEEP_ALIVE_HEADER: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    KEEP_ALIVE_HEADER,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Adapter to a plain HTTP service.
pub(crate) struct PlainAdapter {
    client: EngineClient,
}

impl PlainAdapter {
    pub(crate) fn new(options: &AdapterOptions) -> Self {
        Self {
            client: EngineClient::new(options),
        }
    }
}

#[derive(Debug, Deserialize)]
struct LoadResponse {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
}

#[async_trait]
impl EngineAdapter for PlainAdapter {
    fn capabilities(&self) -> AdapterCapabilities {
        AdapterCapabilities::default()
    }

    async fn start(&self, request: EngineRequest) -> Result<EngineStream, EngineError> {
        let started = Instant::now();
        let response = self.client.send(http_request(request)?).await?;
        let head = EngineEvent::Head(EngineHead {
            status: response.inner.status().as_u16(),
            headers: end_to_end_headers(response.inner.headers()),
        });
        let reader = BodyReader {
            client: self.client.clone(),
            response,
            end: EngineEnd {
                first_token_after: started.elapsed(),
                ..EngineEnd::default()
            },
            is_done: false,
        };
        Ok(stream::iter([Ok(head)]).chain(reader.into_stream()).boxed())
    }

    async fn cancel(&self, _request_id: RequestId) -> Result<(), EngineError> {
        Ok(())
    }

    async fn allocations(&self) -> Result<Vec<EngineAllocation>, EngineError> {
        Ok(Vec::new())
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        let response: LoadResponse = self.client.get("/load").await?;
        Ok(EngineLoad {
            running: response.running,
            waiting: response.waiting,
            ..EngineLoad::default()
        })
    }

    async fn segment(&self, _request: SegmentRequest) -> Result<SegmentHolder, EngineError> {
        Err(EngineError::unsupported("segments"))
    }

    async fn export(&self, _request_id: RequestId) -> Result<Bytes, EngineError> {
        Err(EngineError::unsupported("exporting state"))
    }

    async fn import(&self, _state: Bytes) -> Result<(), EngineError> {
        Err(EngineError::unsupported("importing state"))
    }

    async fn order(&self, _order: EngineOrder) -> Result<(), EngineError> {
        Err(EngineError::unsupported("orders"))
    }

    async fn cache_events(&self, _after: u64) -> Result<CacheReport, EngineError> {
        Ok(CacheReport::default())
    }

    async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError> {
        Ok(CacheSnapshot::default())
    }
}

struct BodyReader {
    client: EngineClient,
    response: EngineResponse,
    end: EngineEnd,
    is_done: bool,
}

impl BodyReader {
    fn into_stream(self) -> EngineStream {
        stream::try_unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Ok(event.map(|event| (event, reader)))
        })
        .boxed()
    }

    async fn next_event(&mut self) -> Result<Option<EngineEvent>, EngineError> {
        if self.is_done {
            return Ok(None);
        }
        loop {
            let body = self.response.inner.body_mut();
            let frame = match self.client.within_idle_timeout(body.frame()).await? {
                None => break,
                Some(frame) => frame.map_err(EngineError::lost)?,
            };
            if let Ok(data) = frame.into_data() {
                return Ok(Some(EngineEvent::Bytes(data)));
            }
        }
        self.is_done = true;
        Ok(Some(EngineEvent::End(self.end)))
    }
}

fn http_request(request: EngineRequest) -> Result<Request<Full<Bytes>>, EngineError> {
    let mut builder = Request::builder()
        .method(request.method.as_str())
        .uri(request.path.as_str());
    let connection_headers = connection_header_names(&request.headers);
    for header in &request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).map_err(bad_request)?;
        if HOP_BY_HOP_HEADERS.contains(&name)
            || name == REQUEST_ID_HEADER
            || connection_headers.contains(&name)
        {
            continue;
        }
        let value = HeaderValue::from_bytes(&header.value).map_err(bad_request)?;
        builder = builder.header(name, value);
    }
    builder
        .header(REQUEST_ID_HEADER, format_request_id(request.request_id))
        .body(Full::new(request.body))
        .map_err(bad_request)
}

/// Headers that the caller's `Connection` header limits to its own connection.
fn connection_header_names(headers: &[EngineHeader]) -> Vec<HeaderName> {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(CONNECTION.as_str()))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .collect()
}

fn end_to_end_headers(headers: &HeaderMap) -> Vec<EngineHeader> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(name))
        .map(|(name, value)| EngineHeader {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
