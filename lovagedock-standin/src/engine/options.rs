//! Options of a stand-in engine: speed, memory and behaviour.

use std::time::Duration;

use serde::Deserialize;

use lovagedock::prelude::TokenCount;

use super::weights::WeightLoadGauge;

/// Format of an engine's load report and of its list of allocations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportStyle {
    /// JSON at `/load`.
    #[default]
    JsonReport,
    /// Prometheus text at `/metrics`.
    PrometheusReport,
}

/// Options of a stand-in engine. Times are model time unless stated otherwise.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Name of the served model.
    pub model: String,
    /// Model time that passes in one unit of real time.
    pub time_scale: f64,
    /// Fixed duration of a step.
    pub step_base: Duration,
    /// Time that each decoding sequence adds to a step.
    pub decode_cost: Duration,
    /// Prefill time of a prompt token at position 0.
    pub prefill_cost: Duration,
    /// Position at which the prefill of a prompt token takes twice as long as at position 0.
    pub cost_doubling_position: TokenCount,
    /// Maximum number of prompt tokens prefilled in one step.
    pub step_tokens: TokenCount,
    /// Answer tokens per stream event. The first token is always sent in an event of its own.
    pub stream_interval: TokenCount,
    /// Maximum number of sequences in the batch.
    pub max_running: usize,
    /// KV memory in tokens.
    pub memory_tokens: TokenCount,
    /// Time to transfer the KV state of one token to another engine.
    pub transfer_cost: Duration,
    /// Time to execute an order that loads a model or an adapter.
    pub order_time: Duration,
    /// Counts concurrent loads. The engines of a fleet share one gauge.
    pub weights: WeightLoadGauge,
    /// Age of the reported load.
    pub load_lag: Duration,
    /// Format of the load report.
    pub report_style: ReportStyle,
    /// Whether orders with an outdated fencing number are rejected.
    pub checks_fences: bool,
    /// Whether a request is cancelled when its caller disconnects.
    pub cancels_on_disconnect: bool,
    /// Delay before a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// Interval of lost cache events: every n-th event is dropped. 0 drops none.
    pub cache_event_gap: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            model: "register-reader".to_owned(),
            time_scale: 20.0,
            step_base: Duration::from_millis(10),
            decode_cost: Duration::from_micros(150),
            prefill_cost: Duration::from_micros(40),
            cost_doubling_position: 200_000,
            step_tokens: 2_048,
            stream_interval: 1,
            max_running: 64,
            memory_tokens: 400_000,
            transfer_cost: Duration::from_micros(10),
            order_time: Duration::from_secs(5),
            weights: WeightLoadGauge::default(),
            load_lag: Duration::from_secs(1),
            report_style: ReportStyle::default(),
            checks_fences: true,
            cancels_on_disconnect: false,
            cache_event_delay: Duration::from_millis(500),
            cache_event_gap: 0,
        }
    }
}
