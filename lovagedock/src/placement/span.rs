use crate::{ids::TokenCount, span::SPAN_SHARE_PERCENT};

use super::types::{EndpointView, PlacementRequest, PoolView, SpanMember};

/// KV memory that the request occupies until it ends, in tokens.
pub(super) fn memory_need(request: &PlacementRequest<'_>) -> TokenCount {
    request.prompt_tokens.saturating_add(request.answer_tokens)
}

/// Size of the endpoint's KV memory in tokens; 0 if it is unknown or the service is plain.
pub(super) fn total_memory(view: &EndpointView) -> TokenCount {
    view.report
        .as_ref()
        .map_or(0, |report| report.memory_tokens)
}

/// Whether the endpoint accepts work and is not excluded for the request.
pub(super) fn eligible(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    view.accepts_work() && !request.excluded.contains(&view.id)
}

/// Whether the request fits into the memory of the endpoint when the endpoint is idle.
///
/// Plain services and engines that have not reported yet have no known limit.
pub(super) fn fits(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    let memory = total_memory(view);
    memory == 0 || memory_need(request) <= memory
}

/// Selects endpoints in the given order until their memory for spans is enough for the request,
/// and splits the request evenly among them. Returns `None` if all of them together have too
/// little memory.
///
/// Only memory that is free now is counted at first. If that is not enough, all memory for spans
/// is counted, and the reservations are retried with a backoff until the endpoints have free
/// memory.
pub(super) fn select_span(
    request: &PlacementRequest<'_>,
    pool: &PoolView<'_>,
    order: impl Iterator<Item = usize> + Clone,
) -> Option<Vec<SpanMember>> {
    let free = |view: &EndpointView| span_memory(view).min(free_memory(view));
    select_enough(request, pool, order.clone(), free)
        .or_else(|| select_enough(request, pool, order, span_memory))
}

/// Memory of the endpoint that spans may use. The sidecar refuses reservations beyond it.
fn span_memory(view: &EndpointView) -> TokenCount {
    total_memory(view) * TokenCount::from(SPAN_SHARE_PERCENT) / 100
}

fn free_memory(view: &EndpointView) -> TokenCount {
    let report = view.report.as_ref();
    let free = report.map_or(0, |report| report.free_tokens);
    free.saturating_sub(view.sent_since.tokens)
}

fn select_enough(
    request: &PlacementRequest<'_>,
    pool: &PoolView<'_>,
    order: impl Iterator<Item = usize>,
    memory_for: impl Fn(&EndpointView) -> TokenCount,
) -> Option<Vec<SpanMember>> {
    let need = memory_need(request);
    let mut selected: Vec<(usize, TokenCount)> = Vec::new();
    let mut memory = 0;
    for index in order {
        let available = memory_for(&pool.endpoints[index]);
        if available == 0 {
            continue;
        }
        selected.push((index, available));
        memory += available;
        if memory >= need {
            return Some(share_evenly(need, &selected, pool));
        }
    }
    None
}

/// Gives each endpoint an equal part, or all of its available memory if that is less.
fn share_evenly(
    need: TokenCount,
    selected: &[(usize, TokenCount)],
    pool: &PoolView<'_>,
) -> Vec<SpanMember> {
    let mut smallest_first: Vec<usize> = (0..selected.len()).collect();
    smallest_first.sort_by_key(|position| selected[*position].1);
    let mut parts = vec![0; selected.len()];
    let mut remaining = need;
    for (assigned, position) in smallest_first.into_iter().enumerate() {
        let unassigned = (selected.len() - assigned) as TokenCount;
        parts[position] = remaining.div_ceil(unassigned).min(selected[position].1);
        remaining -= parts[position];
    }
    let members = selected.iter().zip(parts);
    members
        .map(|((index, _), tokens)| SpanMember {
            endpoint: pool.endpoints[*index].id.clone(),
            tokens,
        })
        .collect()
}
