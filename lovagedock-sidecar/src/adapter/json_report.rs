//! Adapter to engines that report their load as JSON.

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
struct AllocationsResponse {
    requests: Vec<RequestAllocation>,
}

#[derive(Debug, Deserialize)]
struct RequestAllocation {
    request_id: String,
    blocks: BlockCount,
    block_tokens: TokenCount,
}

#[derive(Debug, Deserialize)]
struct LoadResponse {
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
    async fn allocations(
        &self,
        client: &EngineClient,
    ) -> Result<Vec<EngineAllocation>, EngineError> {
        let response: AllocationsResponse = client.get("/v1/requests").await?;
        Ok(response
            .requests
            .iter()
            .filter_map(engine_allocation)
            .collect())
    }

    async fn load(&self, client: &EngineClient) -> Result<EngineLoad, EngineError> {
        let response: LoadResponse = client.get("/load").await?;
        Ok(EngineLoad {
            running: response.running,
            waiting: response.waiting,
            memory_tokens: response.total_tokens,
            free_tokens: response.free_tokens,
            cached_tokens: response.cached_tokens,
            role: response.role,
            model: response.model,
            adapters: response.adapters,
        })
    }
}

/// Returns `None` for an id that is not a lovagedock request id. Such a request did not come
/// through a sidecar and is ignored.
fn engine_allocation(allocation: &RequestAllocation) -> Option<EngineAllocation> {
    Some(EngineAllocation {
        request_id: parse_request_id(&allocation.request_id)?,
        tokens: allocation.blocks * allocation.block_tokens,
    })
}
