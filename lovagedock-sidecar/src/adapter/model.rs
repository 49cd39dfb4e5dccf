//! The request path that the engines of both vendors share.

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream};
use hyper::{Method, header::CONTENT_TYPE};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use lovagedock::prelude::{Epoch, RequestId, TokenCount, format_request_id};

use super::{
    client::{EngineClient, EngineResponse, checked, json_bytes, json_request, read_all},
    dialect::VendorDialect,
    error::EngineError,
    message::{
        AdapterCapabilities, CacheChange, CacheEvent, CacheReport, CacheSnapshot, EngineAllocation,
        EngineEnd, EngineEvent, EngineHead, EngineHeader, EngineLoad, EngineOrder, EngineRequest,
        OrderKind, SegmentHolder, SegmentRequest,
    },
    port::{EngineAdapter, EngineStream},
    registry::AdapterOptions,
    request_body::EngineBody,
    sse::{AnswerFields, SseReader},
};

/// Adapter to a model engine of one vendor.
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
            holds_memory: true,
            takes_segments: true,
            moves_requests: true,
            takes_orders: true,
        }
    }

    async fn start(&self, request: EngineRequest) -> Result<EngineStream, EngineError> {
        let started = Instant::now();
        let body = EngineBody::new(&request)?;
        let request_id = format_request_id(request.request_id);
        let http_request = json_request(Method::POST, &request.path, body.bytes)?;
        if body.is_streamed {
            let answer = self.client.send_bounded(http_request).await?;
            let answer = checked(answer, &self.client).await?;
            let head = answer_head(&answer);
            let reader = SseReader::new(self.client.clone(), answer, request_id, started);
            return Ok(stream::iter([Ok(head)]).chain(reader.into_stream()).boxed());
        }
        let answer = self.client.send(http_request).await?;
        let answer = checked(answer, &self.client).await?;
        whole_answer(answer, &request_id, started).await
    }

    async fn cancel(&self, request_id: RequestId) -> Result<(), EngineError> {
        let body = IdBody::new(request_id);
        let _: CancelAnswer = self.client.call(Method::POST, "/v1/cancel", &body).await?;
        Ok(())
    }

    async fn account(&self) -> Result<Vec<EngineAllocation>, EngineError> {
        self.dialect.account(&self.client).await
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
        // Like a whole answer this comes when all is done; only the caller's deadline bounds it.
        let answer = self.client.send(http_request).await?;
        let answer = checked(answer, &self.client).await?;
        let bytes = read_all(answer).await?;
        let holder: SegmentAnswer = serde_json::from_slice(&bytes).map_err(EngineError::failed)?;
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
        // The answer comes when the weights are loaded, which takes longer than any silence that
        // an engine may keep otherwise; whoever gives the order bounds it.
        let answer = self.client.send(http_request).await?;
        let answer = checked(answer, &self.client).await?;
        self.client.bounded(read_all(answer)).await??;
        Ok(())
    }

    async fn cache_events(&self, after: u64) -> Result<CacheReport, EngineError> {
        let path = format!("/cache/events?after={after}");
        let answer: CacheEventsAnswer = self.client.get(&path).await?;
        Ok(cache_report(after, &answer))
    }

    async fn cache_snapshot(&self) -> Result<CacheSnapshot, EngineError> {
        let answer: CacheSnapshotAnswer = self.client.get("/cache/snapshot").await?;
        Ok(CacheSnapshot {
            sequence: answer.seq,
            hashes: answer.hashes,
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
struct CancelAnswer {
    #[serde(rename = "cancelled")]
    _was_there: bool,
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
struct SegmentAnswer {
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
struct CacheEventsAnswer {
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
struct CacheSnapshotAnswer {
    seq: u64,
    hashes: Vec<u64>,
}

/// A newest event below the one that was asked for means that the engine began anew.
fn cache_report(after: u64, answer: &CacheEventsAnswer) -> CacheReport {
    let mut report = CacheReport {
        has_gap: answer.last < after,
        events: Vec::new(),
    };
    let mut last = after;
    for field in &answer.events {
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

fn answer_head(answer: &EngineResponse) -> EngineEvent {
    let headers = answer
        .response
        .headers()
        .get(CONTENT_TYPE)
        .map(|value| EngineHeader {
            name: CONTENT_TYPE.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    EngineEvent::Head(EngineHead {
        status: answer.response.status().as_u16(),
        headers: headers.into_iter().collect(),
    })
}

async fn whole_answer(
    answer: EngineResponse,
    request_id: &str,
    started: Instant,
) -> Result<EngineStream, EngineError> {
    let head = answer_head(&answer);
    let bytes = read_all(answer).await?;
    let fields = AnswerFields::parse(&bytes, request_id)?;
    let mut end = EngineEnd {
        first_token_after: started.elapsed(),
        ..EngineEnd::default()
    };
    fields.fill(&mut end);
    let events = [head, EngineEvent::Bytes(bytes), EngineEvent::End(end)];
    Ok(stream::iter(events.map(Ok)).boxed())
}
