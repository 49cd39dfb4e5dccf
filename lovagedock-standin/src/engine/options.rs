//! What a stand-in engine is like: its speed, memory and manners.

use std::time::Duration;

use serde::Deserialize;

use lovagedock::prelude::TokenCount;

use super::weights::WeightLoadGauge;

/// How an engine tells its load and names the fields of its account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportStyle {
    /// JSON at `/load`.
    #[default]
    JsonReport,
    /// Prometheus text at `/metrics`.
    PrometheusReport,
}

/// Options of a stand-in engine; times are model time unless said otherwise.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model that it runs.
    pub model: String,
    /// Model time that passes in one unit of real time.
    pub time_scale: f64,
    /// Fixed time of a step.
    pub step_base: Duration,
    /// Time that each decoding sequence adds to a step.
    pub decode_cost: Duration,
    /// Time of one prompt token at position 0.
    pub prefill_cost: Duration,
    /// Position at which a prompt token costs twice as much as at position 0.
    pub cost_doubling_position: TokenCount,
    /// Prompt tokens that one step prefills at most.
    pub step_tokens: TokenCount,
    /// Answer tokens in one event of a stream; the first token is always an event of its own.
    pub stream_interval: TokenCount,
    /// Sequences in a batch at most.
    pub max_running: usize,
    /// KV memory in tokens.
    pub memory_tokens: TokenCount,
    /// Time to move one token's KV state to another engine.
    pub transfer_cost: Duration,
    /// Time to carry out an order to load something.
    pub order_time: Duration,
    /// Counts loads; engines of one fleet share it.
    pub weights: WeightLoadGauge,
    /// Age of the load that it reports.
    pub load_lag: Duration,
    /// How it reports its load.
    pub report_style: ReportStyle,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fences: bool,
    /// Whether a caller that goes away ends its request.
    pub cancels_on_disconnect: bool,
    /// Delay before a cache event can be read.
    pub cache_event_delay: Duration,
    /// Every how many cache events one is lost; 0 loses none.
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
