use std::time::Duration;

use crate::{
    cost::CostParameters,
    ids::{Timestamp, TokenCount},
};

use super::types::{EndpointReport, EndpointView};

/// Predicts how long a prompt waits for its prefill to start. Counts the work in the endpoint's
/// latest report and the work that this gateway has sent since.
pub fn predict_queue(now: Timestamp, view: &EndpointView, class: LengthClass) -> Duration {
    Duration::from_secs_f64(queue_seconds(now, view, class))
}

/// Predicts the time to the first token of a prompt of which `cached` tokens are in the engine's
/// cache.
pub fn predict_first_token(
    now: Timestamp,
    view: &EndpointView,
    class: LengthClass,
    prompt: TokenCount,
    cached: TokenCount,
) -> Duration {
    cost_of(view).predict_first_token(predict_queue(now, view, class), prompt, cached)
}

/// Whether a prompt counts as long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LengthClass {
    /// The prompt may overtake long ones if the sidecar and the engine support it.
    Short,
    /// The prompt waits behind all queued and running prompts.
    Long,
}

pub(super) fn cost_of(view: &EndpointView) -> CostParameters {
    match &view.report {
        Some(report) => report.cost.or_assumed(),
        None => CostParameters::ASSUMED,
    }
}

pub(super) fn queue_seconds(now: Timestamp, view: &EndpointView, class: LengthClass) -> f64 {
    let Some(report) = &view.report else {
        return view.sent_since.prefill.as_secs_f64();
    };
    if report.memory_tokens == 0 {
        return view.outstanding() as f64 * PLAIN_CALL_SECONDS;
    }
    let (backlog, sent) = match (report.backlog, class) {
        (Some(backlog), LengthClass::Short) => {
            let sent = view.sent_since.prefill;
            let short = sent.saturating_sub(view.sent_since.long_prefill);
            (backlog.short.as_secs_f64(), short)
        }
        (Some(backlog), LengthClass::Long) => (backlog.all.as_secs_f64(), view.sent_since.prefill),
        (None, _) => (estimate_backlog(report), view.sent_since.prefill),
    };
    let age = view.report_age(now).as_secs_f64();
    (backlog - age).max(0.0) + sent.as_secs_f64()
}

fn estimate_backlog(report: &EndpointReport) -> f64 {
    let cost = report.cost.or_assumed();
    let running = group_seconds(&cost, report.prefill_tokens_left, report.running_long);
    running + group_seconds(&cost, report.queued_tokens, report.queued)
}

/// Prefill time in seconds of `count` prompts of equal length with `tokens` tokens in total.
fn group_seconds(cost: &CostParameters, tokens: TokenCount, count: u32) -> f64 {
    let count = u64::from(count.max(1));
    cost.prefill_seconds(tokens / count, 0) * count as f64
}

/// Assumed duration of one call to a plain service. It only serves to order equal replicas by load.
const PLAIN_CALL_SECONDS: f64 = 0.002;
