use std::time::Duration;

use crate::{
    cost::CostParameters,
    ids::{Timestamp, TokenCount},
};

use super::types::{EndpointReport, EndpointView};

/// Time until an endpoint has prefilled all that it was last known to have, plus what this gateway
/// sent since.
pub fn predict_queue(now: Timestamp, view: &EndpointView) -> Duration {
    Duration::from_secs_f64(queue_seconds(now, view))
}

/// First-token time of a prompt on an endpoint, with `cached` tokens of it in the engine's cache.
pub fn predict_first_token(
    now: Timestamp,
    view: &EndpointView,
    prompt: TokenCount,
    cached: TokenCount,
) -> Duration {
    cost_of(view).predict_first_token(predict_queue(now, view), prompt, cached)
}

pub(super) fn cost_of(view: &EndpointView) -> CostParameters {
    match &view.report {
        Some(report) => report.cost.or_assumed(),
        None => CostParameters::ASSUMED,
    }
}

pub(super) fn queue_seconds(now: Timestamp, view: &EndpointView) -> f64 {
    let sent = view.sent_since.prefill.as_secs_f64();
    let Some(report) = &view.report else {
        return sent;
    };
    if report.memory_tokens == 0 {
        return view.outstanding() as f64 * PLAIN_CALL_SECONDS;
    }
    let age = view.report_age(now).as_secs_f64();
    (backlog_seconds(report) - age).max(0.0) + sent
}

fn backlog_seconds(report: &EndpointReport) -> f64 {
    if !report.backlog.is_zero() {
        return report.backlog.as_secs_f64();
    }
    let cost = report.cost.or_assumed();
    let running = group_seconds(&cost, report.prefill_tokens_left, report.running_long);
    running + group_seconds(&cost, report.queued_tokens, report.queued)
}

/// Prefill time of `count` prompts of equal length that have `tokens` together.
fn group_seconds(cost: &CostParameters, tokens: TokenCount, count: u32) -> f64 {
    let count = u64::from(count.max(1));
    cost.prefill_seconds(tokens / count, 0) * count as f64
}

/// Assumed time of one call to a plain service: it only orders equal replicas by their load.
const PLAIN_CALL_SECONDS: f64 = 0.002;
