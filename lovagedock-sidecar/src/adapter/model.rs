//! Adapter to model engines; the request path is the same for both vendors.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream};
use hyper::{Method, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use lovagedock::prelude::{Epoch, RequestId, TokenCount, format_request_id};

use super::{
    client::{EngineClient, EngineResponse, check_status, json_bytes, json_request, read_all},
    dialect::VendorDialect,
    engine_adapter::{EngineAdapter, EngineStream},
    error::EngineError,
    message::{
        AdapterCapabilities, CacheChange, CacheEvent, CacheReport, CacheSnapshot, EngineAllocation,
        EngineEnd, EngineEvent, EngineHead, EngineHeader, EngineLoad, EngineOrder, EngineRequest,
        OrderKind, SegmentHolder, SegmentRequest,
    },
    registry::AdapterOptions,
    request_body::EngineBody,
    sse::{AnswerFields, SseReader},
};

/// Adapter to a model engine; `D` reads the vendor's reports.
pub(crate) struct ModelAdapter<D> {
    client: EngineClient,
    dialect: D,
}

impl<D> ModelAdapter<D> {
    pub(crate) fn new(options: &AdapterOptions, dialect: D) -> Self {
        Self {
            client: EngineClient::new(options),
            dialect,
        }
    }
}

#[async_trait]
impl<D: VendorDialect> EngineAdapter for ModelAdapter<D> {
    fn capabilities(&self) -> AdapterCapabilities {
        AdapterCapabilities {
            tracks_memory: true,
            accepts_segments: true,
            transfers_requests: true,
            accepts_orders: true,
        }
    }

    async fn start(&self, request: EngineRequest) -> Result<EngineStream, EngineError> {
        let started = Instant::now();
        let body = EngineBody::new(&request)?;
        let request_id = format_request_id(request.request_id);
        let http_request = json_request(Method::POST, &request.path, body.bytes)?;
        if body.is_streamed {
            let response = self.client.send_within_idle_timeout(http_request).await?;
            let response = check_status(response, &self.client).await?;
            let head = response_head(&response);
            let reader = SseReader::new(self.client.clone(), response, request_id, started);
            return Ok(stream::iter([Ok(head)]).chain(reader.into_stream()).boxed());
        }
        let response = self.client.send(http_request).await?;
        let response = check_status(response, &self.client).await?;
        whole_response(response, &request_id, started).await
    }

    async fn cancel(&self, request_id: RequestId) -> Result<(), EngineError> {
        let body = IdBody::new(request_id);
        let _: CancelResponse = self.client.call(Method::POST, "/v1/cancel", &body).await?;
        Ok(())
    }

    async fn allocations(&self) -> Result<Vec<EngineAllocation>, EngineError> {
        self.dialect.allocations(&self.client).await
    }

    async fn load(&self) -> Result<EngineLoad, EngineError> {
        self.dialect.load(&self.client).await
    }

    async fn segment(&self, request: SegmentRequest) -> Result<SegmentHolder, EngineError> {
        let body = SegmentBody {
            request_id: format_request_id(request.request_id),
            priority: request.priority,
            start: request.start,
            tokens: request.tokens,
            prompt_part: &request.prompt_part,
        };
        let bytes = json_bytes(&body)?;
        let http_request = json_request(Method::POST, "/v1/segments", bytes)?;
        // As with a whole (not streamed) answer, the response arrives when all work is done. Only
        // the caller's deadline limits it.
        let response = self.client.send(http_request).await?;
        let response = check_status(response, &self.client).await?;
        let bytes = read_all(response).await?;
        let holder: SegmentResponse =
            serde_json::from_slice(&bytes).map_err(EngineError::failed)?;
        Ok(SegmentHolder {
            locator: holder.engine,
            tokens: holder.tokens,
        })
    }

    async fn export(&self, request_id: RequestId) -> Result<Bytes, EngineError> {
        let body = json_bytes(&IdBody::new(request_id))?;
        self.client
            .call_bytes(Method::POST, "/kv/export", body)
            .await
    }

    async fn import(&self, state: Bytes) -> Result<(), EngineError> {
        self.client
            .call_bytes(Method::POST, "/kv/import", state)
            .await?;
        Ok(())
    }

    async fn order(&self, order: EngineOrder) -> Result<(), EngineError> {
        let body = json_bytes(&OrderBody::from(&order))?;
        let http_request = json_request(Method::POST, "/orders", body)?;
        // The response arrives when the weights are loaded, which takes longer than the idle
        // timeout. The sender of the order sets the time limit.
        let response = self.client.send(http_request).await?;
        let response = check_status(response, &self.client).await?;
        self.client
            .within_idle_timeout(read_all(response))
            .await??;
        Ok(())
    }

    async fn cache_events(&self, after: u64) -> Result<CacheReport, EngineError> {
        let path = format!("/cache/events?after={after}");
        let response: CacheEventsResponse = self.client.get(&path).await?;
        Ok(cache_report(after, &response))
    }

    async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError> {
        let response: CacheSnapshotResponse = self.client.get("/cache/snapshot").await?;
        Ok(CacheSnapshot {
            sequence: response.seq,
            hashes: response.hashes,
        })
    }
}

#[derive(Debug, Serialize)]
struct IdBody {
    request_id: String,
}

impl IdBody {
    fn new(request_id: RequestId) -> Self {
        Self {
            request_id: format_request_id(request_id),
        }
    }
}

#[derive(Debug, Deserialize)]
struct CancelResponse {
    #[serde(rename = "cancelled")]
    _was_found: bool,
}

#[derive(Debug, Serialize)]
struct SegmentBody<'a> {
    request_id: String,
    priority: i32,
    start: TokenCount,
    tokens: TokenCount,
    prompt_part: &'a str,
}

#[derive(Debug, Deserialize)]
struct SegmentResponse {
    engine: String,
    tokens: TokenCount,
}

#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    fence: Epoch,
    #[serde(flatten)]
    kind: OrderField<'a>,
}

#[derive(Debug, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum OrderField<'a> {
    LoadModel { model: &'a str, version: &'a str },
    LoadAdapter { adapter: &'a str, version: &'a str },
    SetRole { role: &'a str },
}

impl<'a> From<&'a EngineOrder> for OrderBody<'a> {
    fn from(order: &'a EngineOrder) -> Self {
        let kind = match &order.kind {
            OrderKind::LoadModel { model, version } => OrderField::LoadModel { model, version },
            OrderKind::LoadAdapter { adapter, version } => {
                OrderField::LoadAdapter { adapter, version }
            }
            OrderKind::SetRole { role } => OrderField::SetRole { role },
        };
        Self {
            fence: order.fence,
            kind,
        }
    }
}

#[derive(Debug, Deserialize)]
struct CacheEventsResponse {
    last: u64,
    events: Vec<CacheEventField>,
}

#[derive(Debug, Deserialize)]
struct CacheEventField {
    seq: u64,
    hash: u64,
    stored: bool,
}

#[derive(Debug, Deserialize)]
struct CacheSnapshotResponse {
    seq: u64,
    hashes: Vec<u64>,
}

/// A last event below the requested number means that the engine restarted its numbering.
fn cache_report(after: u64, response: &CacheEventsResponse) -> CacheReport {
    let mut report = CacheReport {
        has_gap: response.last < after,
        events: Vec::new(),
    };
    let mut last = after;
    for field in &response.events {
        report.has_gap |= field.seq != last + 1;
        last = field.seq;
        report.events.push(CacheEvent {
            sequence: field.seq,
            change: match field.stored {
                true => CacheChange::Stored(field.hash),
                false => CacheChange::Removed(field.hash),
            },
        });
    }
    report
}

fn response_head(response: &EngineResponse) -> EngineEvent {
    let headers = response
        .inner
        .headers()
        .get(CONTENT_TYPE)
        .map(|value| EngineHeader {
            name: CONTENT_TYPE.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    EngineEvent::Head(EngineHead {
        status: response.inner.status().as_u16(),
        headers: headers.into_iter().collect(),
    })
}

async fn whole_response(
    response: EngineResponse,
    request_id: &str,
    started: Instant,
) -> Result<EngineStream, EngineError> {
    let head = response_head(&response);
    let bytes = read_all(response).await?;
    let fields = AnswerFields::parse(&bytes, request_id)?;
    let mut end = EngineEnd {
        first_token_after: started.elapsed(),
        ..EngineEnd::default()
    };
    fields.copy_usage(&mut end);
    let events = [head, EngineEvent::Bytes(bytes), EngineEvent::End(end)];
    Ok(stream::iter(events.map(Ok)).boxed())
}
