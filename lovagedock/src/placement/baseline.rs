//! Simple load-balancing policies that serve as baselines for comparisons.

use std::time::Duration;

use rand::{Rng, RngExt, seq::SliceRandom};

use crate::{codes::ResultCode, config::PlacementSpec, ids::Timestamp, registry::PolicyPlugin};

use super::{
    predict::{LengthClass, cost_of, predict_first_token},
    span::{eligible, fits, select_span},
    types::{
        EndpointView, PlacementChoice, PlacementPolicy, PlacementReason, PlacementRequest, PoolView,
    },
};

#[derive(Clone, Copy, Debug)]
enum BaselineOrder {
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
}

struct BaselinePolicy {
    order: BaselineOrder,
    cursor: usize,
}

impl BaselinePolicy {
    fn new(order: BaselineOrder) -> Self {
        Self { order, cursor: 0 }
    }

    fn choose(&mut self, candidates: &[usize], rng: &mut dyn Rng, pool: &PoolView<'_>) -> usize {
        let count = candidates.len();
        let outstanding = |nth: usize| pool.endpoints[candidates[nth]].outstanding();
        let nth = match self.order {
            BaselineOrder::Random => rng.random_range(0..count),
            BaselineOrder::RoundRobin => {
                self.cursor = self.cursor.wrapping_add(1);
                self.cursor % count
            }
            BaselineOrder::LeastOutstanding => {
                let start = rng.random_range(0..count);
                (0..count)
                    .map(|step| (start + step) % count)
                    .min_by_key(|nth| outstanding(*nth))
                    .unwrap_or(start)
            }
            BaselineOrder::TwoChoices => {
                let first = rng.random_range(0..count);
                let second = rng.random_range(0..count);
                if outstanding(second) < outstanding(first) {
                    second
                } else {
                    first
                }
            }
        };
        candidates[nth]
    }

    /// Sorts the candidates of a span by the policy's order of preference.
    fn sort(&mut self, candidates: &mut [usize], rng: &mut dyn Rng, pool: &PoolView<'_>) {
        match self.order {
            BaselineOrder::Random | BaselineOrder::TwoChoices => candidates.shuffle(rng),
            BaselineOrder::RoundRobin => {
                self.cursor = self.cursor.wrapping_add(1);
                let start = self.cursor % candidates.len().max(1);
                candidates.rotate_left(start);
            }
            BaselineOrder::LeastOutstanding => {
                candidates.shuffle(rng);
                candidates.sort_by_key(|index| pool.endpoints[*index].outstanding());
            }
        }
    }

    fn place_span(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        rng: &mut dyn Rng,
    ) -> PlacementChoice {
        let mut candidates = matching_indices(pool, |view| eligible(request, view));
        if candidates.is_empty() {
            return refusal(PlacementReason::NoEndpoint);
        }
        self.sort(&mut candidates, rng, pool);
        let first = candidates[0];
        match select_span(request, pool, candidates.into_iter()) {
            Some(members) => PlacementChoice::Span {
                members,
                predicted_first_token: predict_first_token(
                    now,
                    &pool.endpoints[first],
                    LengthClass::Long,
                    request.prompt_tokens,
                    0,
                ),
                reason: PlacementReason::ExceedsOneEngine,
            },
            None => refusal(PlacementReason::ExceedsPool),
        }
    }
}

impl PlacementPolicy for BaselinePolicy {
    fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        rng: &mut dyn Rng,
    ) -> PlacementChoice {
        let candidates =
            matching_indices(pool, |view| eligible(request, view) && fits(request, view));
        if candidates.is_empty() {
            return self.place_span(now, request, pool, rng);
        }
        let index = self.choose(&candidates, rng, pool);
        let view = &pool.endpoints[index];
        PlacementChoice::One {
            endpoint: view.id.clone(),
            predicted_first_token: predict_first_token(
                now,
                view,
                LengthClass::Long,
                request.prompt_tokens,
                0,
            ),
            predicted_prefill: cost_of(view).prefill(request.prompt_tokens, 0),
            reason: PlacementReason::BaselineOrder,
        }
    }
}

fn matching_indices(pool: &PoolView<'_>, keep: impl Fn(&EndpointView) -> bool) -> Vec<usize> {
    let views = pool.endpoints.iter().enumerate();
    views
        .filter(|(_, view)| keep(view))
        .map(|(index, _)| index)
        .collect()
}

fn refusal(reason: PlacementReason) -> PlacementChoice {
    PlacementChoice::Refuse {
        code: ResultCode::NoCapacity,
        retry_after: BASELINE_RETRY_AFTER,
        reason,
    }
}

fn build_policy(order: BaselineOrder) -> Box<dyn PlacementPolicy> {
    Box::new(BaselinePolicy::new(order))
}

const BASELINE_RETRY_AFTER: Duration = Duration::from_secs(1);

inventory::submit! {
    PolicyPlugin {
        name: "random",
        summary: "any endpoint that takes work",
        build: |_: &PlacementSpec| build_policy(BaselineOrder::Random),
    }
}

inventory::submit! {
    PolicyPlugin {
        name: "round-robin",
        summary: "each endpoint in turn",
        build: |_: &PlacementSpec| build_policy(BaselineOrder::RoundRobin),
    }
}

inventory::submit! {
    PolicyPlugin {
        name: "least-outstanding",
        summary: "the endpoint with the fewest requests",
        build: |_: &PlacementSpec| build_policy(BaselineOrder::LeastOutstanding),
    }
}

inventory::submit! {
    PolicyPlugin {
        name: "two-choices",
        summary: "of two random endpoints the one with fewer requests",
        build: |_: &PlacementSpec| build_policy(BaselineOrder::TwoChoices),
    }
}
