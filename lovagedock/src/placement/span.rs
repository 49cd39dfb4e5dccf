use crate::ids::TokenCount;

use super::types::{EndpointView, PlacementRequest, PoolView, SpanMember};

/// Memory that a request holds until its end.
pub(super) fn memory_need(request: &PlacementRequest<'_>) -> TokenCount {
    request.prompt_tokens.saturating_add(request.answer_tokens)
}

pub(super) fn memory_of(view: &EndpointView) -> TokenCount {
    view.report
        .as_ref()
        .map_or(0, |report| report.memory_tokens)
}

/// Whether the request may go to the endpoint at all.
pub(super) fn eligible(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    view.takes_work() && !request.excluded.contains(&view.id)
}

/// Whether the endpoint has enough memory for the request when it is otherwise empty.
///
/// Plain services and engines that have not reported yet have no known limit.
pub(super) fn fits(request: &PlacementRequest<'_>, view: &EndpointView) -> bool {
    let memory = memory_of(view);
    memory == 0 || memory_need(request) <= memory
}

/// Takes the fewest endpoints, in the given order, whose memory together is enough, and shares the
/// request evenly among them, so that each keeps some memory for short requests; `None` if the
/// memory of all is too little.
pub(super) fn take_span(
    request: &PlacementRequest<'_>,
    pool: &PoolView<'_>,
    order: impl Iterator<Item = usize>,
) -> Option<Vec<SpanMember>> {
    let need = memory_need(request);
    let mut taken: Vec<(usize, TokenCount)> = Vec::new();
    let mut memory = 0;
    for index in order {
        let available = memory_of(&pool.endpoints[index]);
        if available == 0 {
            continue;
        }
        taken.push((index, available));
        memory += available;
        if memory >= need {
            return Some(share_evenly(need, &taken, pool));
        }
    }
    None
}

/// Gives each endpoint an equal part, or all of its memory where that is less.
fn share_evenly(
    need: TokenCount,
    taken: &[(usize, TokenCount)],
    pool: &PoolView<'_>,
) -> Vec<SpanMember> {
    let mut smallest_first: Vec<usize> = (0..taken.len()).collect();
    smallest_first.sort_by_key(|place| taken[*place].1);
    let mut parts = vec![0; taken.len()];
    let mut left = need;
    for (done, place) in smallest_first.into_iter().enumerate() {
        let others = (taken.len() - done) as TokenCount;
        parts[place] = left.div_ceil(others).min(taken[place].1);
        left -= parts[place];
    }
    let members = taken.iter().zip(parts);
    members
        .map(|((index, _), tokens)| SpanMember {
            endpoint: pool.endpoints[*index].id.clone(),
            tokens,
        })
        .collect()
}
