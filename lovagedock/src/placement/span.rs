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

/// Takes endpoints in the given order until their memory is enough; `None` if it never is.
pub(super) fn take_span(
    request: &PlacementRequest<'_>,
    pool: &PoolView<'_>,
    order: impl Iterator<Item = usize>,
) -> Option<Vec<SpanMember>> {
    let mut left = memory_need(request);
    let mut members = Vec::new();
    for index in order {
        let view = &pool.endpoints[index];
        let tokens = memory_of(view).min(left);
        if tokens == 0 {
            continue;
        }
        members.push(SpanMember {
            endpoint: view.id.clone(),
            tokens,
        });
        left -= tokens;
        if left == 0 {
            return Some(members);
        }
    }
    None
}
