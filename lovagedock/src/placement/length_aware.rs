//! The default policy: the soonest first token, with long prompts kept to a share of the pool.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::{
    codes::ResultCode,
    config::PlacementSpec,
    ids::{Timestamp, TokenCount},
    registry::PolicyPlugin,
};

use super::{
    layout::PoolLayout,
    mix::MixTracker,
    predict::{cost_of, queue_seconds},
    prefix::PREFIX_PIECE_TOKENS,
    span::{eligible, fits, memory_need, memory_of, take_span},
    types::{
        EndpointView, PlacementChoice, PlacementPolicy, PlacementReason, PlacementRequest, PoolView,
    },
};

struct LengthAwarePolicy {
    long_tokens: TokenCount,
    long_share_limit: f64,
    layout: PoolLayout,
    mix: MixTracker,
}

impl LengthAwarePolicy {
    fn new(spec: &PlacementSpec) -> Self {
        Self {
            long_tokens: spec.long_tokens,
            long_share_limit: f64::from(spec.long_share_percent.min(100)) / 100.0,
            layout: PoolLayout::default(),
            mix: MixTracker::default(),
        }
    }

    fn scan(
        &self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        confined: bool,
    ) -> Shortlist {
        let share = self.mix.long_share(self.long_share_limit);
        let mut shortlist = Shortlist::default();
        for (index, view) in pool.endpoints.iter().enumerate() {
            if !eligible(request, view) || !fits(request, view) {
                continue;
            }
            if confined && !self.layout.in_long_share(index, share) {
                continue;
            }
            shortlist.offer(Candidate::new(now, request, view, index));
        }
        shortlist
    }

    fn place_one(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        shortlist: &Shortlist,
        rng: &mut dyn Rng,
    ) -> PlacementChoice {
        let chosen = shortlist.pick(rng);
        let view = &pool.endpoints[chosen.index];
        let finish = chosen.first_token + cost_of(view).decode(request.answer_tokens).as_secs_f64();
        let remaining = request.remaining.as_secs_f64();
        if finish > remaining {
            return PlacementChoice::Refuse {
                code: ResultCode::NoCapacity,
                retry_after: retry_after(finish - remaining),
                reason: PlacementReason::OutOfTime,
            };
        }
        let long = request.prompt_tokens >= self.long_tokens;
        self.mix.record(now, chosen.prefill, long);
        PlacementChoice::One {
            endpoint: view.id.clone(),
            predicted_first_token: Duration::from_secs_f64(chosen.first_token),
            predicted_prefill: Duration::from_secs_f64(chosen.prefill),
            reason: chosen.reason(long),
        }
    }

    fn place_span(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
    ) -> PlacementChoice {
        let mut order: Vec<(bool, f64, usize)> = pool
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, view)| eligible(request, view))
            .map(|(index, view)| {
                let outside = !self.layout.in_long_share(index, self.long_share_limit);
                (outside, queue_seconds(now, view), index)
            })
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some(&(_, _, first)) = order.first() else {
            return refusal(PlacementReason::NoEndpoint);
        };
        let indices = order.into_iter().map(|(_, _, index)| index);
        let Some(members) = take_span(request, pool, indices) else {
            return refusal(PlacementReason::ExceedsPool);
        };
        let view = &pool.endpoints[first];
        let prefill = cost_of(view).prefill_seconds(request.prompt_tokens, 0);
        self.mix.record(now, prefill, true);
        PlacementChoice::Span {
            members,
            predicted_first_token: Duration::from_secs_f64(queue_seconds(now, view) + prefill),
            reason: PlacementReason::ExceedsOneEngine,
        }
    }
}

impl PlacementPolicy for LengthAwarePolicy {
    fn place(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        rng: &mut dyn Rng,
    ) -> PlacementChoice {
        self.layout.refresh(pool);
        let long = request.prompt_tokens >= self.long_tokens;
        let mut shortlist = self.scan(now, request, pool, long);
        if long && shortlist.is_empty() {
            // All of the long share is excluded or too small; elsewhere is better than nowhere.
            shortlist = self.scan(now, request, pool, false);
        }
        if shortlist.is_empty() {
            return self.place_span(now, request, pool);
        }
        self.place_one(now, request, pool, &shortlist, rng)
    }
}

/// One endpoint that could take the request; times in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    index: usize,
    score: f64,
    first_token: f64,
    prefill: f64,
    cached: TokenCount,
}

impl Candidate {
    fn new(
        now: Timestamp,
        request: &PlacementRequest<'_>,
        view: &EndpointView,
        index: usize,
    ) -> Self {
        let cached = cached_tokens(request, view);
        let prefill = cost_of(view).prefill_seconds(request.prompt_tokens, cached);
        let first_token = queue_seconds(now, view) + memory_wait(request, view) + prefill;
        let away = if view.domain == request.own_domain {
            0.0
        } else {
            OTHER_DOMAIN_SECONDS
        };
        Self {
            index,
            score: first_token + away,
            first_token: first_token + away,
            prefill,
            cached,
        }
    }

    fn reason(&self, long: bool) -> PlacementReason {
        if self.cached > 0 {
            return PlacementReason::CachedPrefix;
        }
        if long {
            return PlacementReason::LongShare;
        }
        PlacementReason::SoonestFirstToken
    }
}

/// The best few candidates, best first.
#[derive(Debug, Default)]
struct Shortlist {
    candidates: [Candidate; SHORTLIST_LENGTH],
    length: usize,
}

impl Shortlist {
    fn is_empty(&self) -> bool {
        self.length == 0
    }

    fn offer(&mut self, candidate: Candidate) {
        let full = self.length == SHORTLIST_LENGTH;
        if full && candidate.score >= self.candidates[self.length - 1].score {
            return;
        }
        let mut at = if full { self.length - 1 } else { self.length };
        while at > 0 && self.candidates[at - 1].score > candidate.score {
            self.candidates[at] = self.candidates[at - 1];
            at -= 1;
        }
        self.candidates[at] = candidate;
        self.length = (self.length + 1).min(SHORTLIST_LENGTH);
    }

    /// Any one of those that are nearly as good as the best.
    ///
    /// Gateways that see the same old reports would otherwise all choose the same endpoint.
    fn pick(&self, rng: &mut dyn Rng) -> Candidate {
        let limit = self.candidates[0].score * NEAR_RATIO + NEAR_SECONDS;
        let near = self.candidates[..self.length]
            .iter()
            .take_while(|candidate| candidate.score <= limit)
            .count();
        self.candidates[rng.random_range(0..near)]
    }
}

/// Tokens of the prompt that the endpoint was last known to have in its cache.
fn cached_tokens(request: &PlacementRequest<'_>, view: &EndpointView) -> TokenCount {
    let Some(report) = &view.report else {
        return 0;
    };
    let pieces = request
        .prefix_hashes
        .iter()
        .rposition(|hash| report.cached_prefixes.contains(hash));
    pieces.map_or(0, |last| (last as u64 + 1) * PREFIX_PIECE_TOKENS)
}

/// Expected wait for memory that others hold: the missing part of the engine's memory, at the rate
/// at which a typical answer gives it back.
fn memory_wait(request: &PlacementRequest<'_>, view: &EndpointView) -> f64 {
    let Some(report) = &view.report else {
        return 0.0;
    };
    let free = report.free_tokens.saturating_sub(view.sent_since.tokens);
    let missing = memory_need(request).saturating_sub(free);
    if missing == 0 || report.memory_tokens == 0 {
        return 0.0;
    }
    let turnover = report.cost.or_assumed().decode(TYPICAL_ANSWER_TOKENS);
    missing as f64 / memory_of(view) as f64 * turnover.as_secs_f64()
}

fn retry_after(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn refusal(reason: PlacementReason) -> PlacementChoice {
    let code = match reason {
        PlacementReason::ExceedsPool => ResultCode::PromptTooLong,
        _ => ResultCode::NoCapacity,
    };
    PlacementChoice::Refuse {
        code,
        retry_after: MIN_RETRY_AFTER,
        reason,
    }
}

/// Candidates that are kept for the random choice.
const SHORTLIST_LENGTH: usize = 8;
/// A candidate is as good as the best when its score is within this ratio and time of it.
const NEAR_RATIO: f64 = 1.05;
const NEAR_SECONDS: f64 = 0.002;
/// Round trip to another failure domain.
const OTHER_DOMAIN_SECONDS: f64 = 0.003;
/// Length of an answer that holds memory, for the wait until memory is free.
const TYPICAL_ANSWER_TOKENS: TokenCount = 256;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

inventory::submit! {
    PolicyPlugin {
        name: "length-aware",
        summary: "soonest first token; long prompts kept to a share of the pool",
        build: |spec: &PlacementSpec| Box::new(LengthAwarePolicy::new(spec)),
    }
}
