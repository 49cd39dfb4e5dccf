//! Adapter to engines that report their load as Prometheus text.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;

use lovagedock::prelude::{TokenCount, parse_request_id};

use super::{
    client::EngineClient,
    dialect::VendorDialect,
    error::EngineError,
    message::{EngineAllocation, EngineLoad},
    model::ModelAdapter,
    registry::AdapterPlugin,
};

const RUNNING: &str = "engine_num_requests_running";
const WAITING: &str = "engine_num_requests_waiting";
const CAPACITY: &str = "engine_kv_tokens_capacity";
const USED: &str = "engine_kv_tokens_used";
const CACHED: &str = "engine_prefix_cache_tokens";
const INFO: &str = "engine_info";

inventory::submit! {
    AdapterPlugin {
        name: "prometheus-report",
        build: |options| Ok(Arc::new(ModelAdapter::new(options, PrometheusReport))),
    }
}

struct PrometheusReport;

#[derive(Debug, Deserialize)]
struct AllocationsResponse {
    sequences: Vec<SequenceAllocation>,
}

#[derive(Debug, Deserialize)]
struct SequenceAllocation {
    id: String,
    kv_tokens: TokenCount,
}

#[async_trait]
impl VendorDialect for PrometheusReport {
    async fn allocations(
        &self,
        client: &EngineClient,
    ) -> Result<Vec<EngineAllocation>, EngineError> {
        let response: AllocationsResponse = client.get("/v1/requests").await?;
        Ok(response
            .sequences
            .iter()
            .filter_map(engine_allocation)
            .collect())
    }

    async fn load(&self, client: &EngineClient) -> Result<EngineLoad, EngineError> {
        let bytes = client
            .call_bytes(Method::GET, "/metrics", Bytes::new())
            .await?;
        let text = std::str::from_utf8(&bytes).map_err(EngineError::failed)?;
        parse_load(text)
    }
}

fn engine_allocation(allocation: &SequenceAllocation) -> Option<EngineAllocation> {
    Some(EngineAllocation {
        request_id: parse_request_id(&allocation.id)?,
        tokens: allocation.kv_tokens,
    })
}

fn parse_load(text: &str) -> Result<EngineLoad, EngineError> {
    let capacity = gauge(text, CAPACITY)?;
    let used = gauge(text, USED)?;
    let info = info_line(text);
    Ok(EngineLoad {
        running: gauge(text, RUNNING)? as u32,
        waiting: gauge(text, WAITING)? as u32,
        memory_tokens: capacity,
        free_tokens: capacity.saturating_sub(used),
        cached_tokens: gauge(text, CACHED).unwrap_or(0),
        role: label(info, "role").to_owned(),
        model: label(info, "model").to_owned(),
        adapters: label(info, "adapters")
            .split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect(),
    })
}

fn gauge(text: &str, name: &str) -> Result<u64, EngineError> {
    let value = text.lines().find_map(|line| {
        let (found, value) = line.split_once(' ')?;
        (found == name).then_some(value)
    });
    let number: Option<f64> = value.and_then(|value| value.trim().parse().ok());
    match number {
        Some(number) if number.is_finite() && number >= 0.0 => Ok(number as u64),
        _ => Err(EngineError::failed(format!(
            "metric {name} is missing or not a valid number"
        ))),
    }
}

fn info_line(text: &str) -> &str {
    text.lines()
        .find(|line| line.starts_with(INFO))
        .unwrap_or_default()
}

fn label<'a>(line: &'a str, name: &str) -> &'a str {
    let start = format!("{name}=\"");
    line.split_once(&start)
        .and_then(|(_, rest)| rest.split_once('"'))
        .map(|(value, _)| value)
        .unwrap_or_default()
}
