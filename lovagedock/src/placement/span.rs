use crate::{ids::TokenCount, span::SPAN_SHARE_PERCENT};

use super::types::{EndpointView, PlacementRequest, PoolView, SpanMember};

/// Memory that a request holds until its end.
pub(super) fn memory_need(request: &PlacementRequest<'_>) -> TokenCount {
    request.prompt_tokens.saturating_add(request.answer_tokens)
}

pub(super) fn total_memory(view: &EndpointView) -> TokenCount {
    view.report
        .as_ref()
        .map_or(0, |report| report.memory_tokens)
}

/// Whether the request may go to the endpoint at all.
pub(super) fn eligible(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    view.accepts_work() && !request.excluded.contains(&view.id)
}

/// Whether the endpoint has enough memory for the request when it is otherwise empty.
///
/// Plain services and engines that have not reported yet have no known limit.
pub(super) fn fits(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    let memory = total_memory(view);
    memory == 0 || memory_need(request) <= memory
}

/// Takes the fewest endpoints, in the given order, whose memory for spans together is enough, and
/// shares the request evenly among them; `None` if the memory of all is too little.
///
/// Endpoints whose memory is free now go first. When these are too few, the others are asked too,
/// and the span backs off until they have room.
pub(super) fn select_span(
    request: &PlacementRequest<'_>,
    pool: &PoolView<'_>,
    order: impl Iterator<Item = usize> + Clone,
) -> Option<Vec<SpanMember>> {
    let free = |view: &EndpointView| span_memory(view).min(free_memory(view));
    select_enough(request, pool, order.clone(), free)
        .or_else(|| select_enough(request, pool, order, span_memory))
}

/// Memory of an endpoint that spans may hold; the sidecar refuses a reservation beyond it.
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

/// Gives each endpoint an equal part, or all of its memory where that is less.
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
        let others = (selected.len() - assigned) as TokenCount;
        parts[position] = remaining.div_ceil(others).min(selected[position].1);
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
