//! Vendor whose engines report in JSON.

use std::sync::Arc;

use async_trait::async_trait;
use serde::Deserialize;

use lovagedock::prelude::{BlockCount, TokenCount, parse_request_id};

use super::{
    client::EngineClient,
    dialect::VendorDialect,
    error::EngineError,
    message::{EngineAllocation, EngineLoad},
    model::ModelAdapter,
    registry::AdapterPlugin,
};

inventory::submit! {
    AdapterPlugin {
        name: "json-report",
        build: |options| Ok(Arc::new(ModelAdapter::new(options, JsonReport))),
    }
}

struct JsonReport;

#[derive(Debug, Deserialize)]
struct AccountAnswer {
    requests: Vec<RequestHolding>,
}

#[derive(Debug, Deserialize)]
struct RequestHolding {
    request_id: String,
    blocks: BlockCount,
    block_tokens: TokenCount,
}

#[derive(Debug, Deserialize)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
    total_tokens: TokenCount,
    free_tokens: TokenCount,
    #[serde(default)]
    cached_tokens: TokenCount,
    #[serde(default)]
    role: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    adapters: Vec<String>,
}

#[async_trait]
impl VendorDialect for JsonReport {
    async fn account(&self, client: &EngineClient) -> Result<Vec<EngineAllocation>, EngineError> {
        let answer: AccountAnswer = client.get("/v1/requests").await?;
        Ok(answer.requests.iter().filter_map(holding).collect())
    }

    async fn load(&self, client: &EngineClient) -> Result<EngineLoad, EngineError> {
        let answer: LoadAnswer = client.get("/load").await?;
        Ok(EngineLoad {
            running: answer.running,
            waiting: answer.waiting,
            memory_tokens: answer.total_tokens,
            free_tokens: answer.free_tokens,
            cached_tokens: answer.cached_tokens,
            role: answer.role,
            model: answer.model,
            adapters: answer.adapters,
        })
    }
}

/// Requests whose ids are not ours did not come through a sidecar and are left alone.
fn holding(holding: &RequestHolding) -> Option<EngineAllocation> {
    Some(EngineAllocation {
        request_id: parse_request_id(&holding.request_id)?,
        tokens: holding.blocks * holding.block_tokens,
    })
}
