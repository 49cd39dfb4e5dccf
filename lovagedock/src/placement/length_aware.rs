//! The default policy. It minimises the predicted first-token time and confines long prompts to a
//! share of the pool.

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
    mix::{MixTracker, PoolActivity},
    predict::{LengthClass, cost_of, queue_seconds},
    prefix::PREFIX_PIECE_TOKENS,
    span::{eligible, fits, memory_need, select_span},
    types::{
        EndpointReport, EndpointView, PlacementChoice, PlacementPolicy, PlacementReason,
        PlacementRequest, PoolView,
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

    fn class(&self, request: &PlacementRequest<'_>) -> LengthClass {
        if request.prompt_tokens >= self.long_tokens {
            LengthClass::Long
        } else {
            LengthClass::Short
        }
    }

    fn shortlist_endpoints(
        &self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        confined: bool,
    ) -> Shortlist {
        let share = self.mix.long_share(self.long_share_limit);
        let class = self.class(request);
        let mut shortlist = Shortlist::default();
        for (index, view) in pool.endpoints.iter().enumerate() {
            if !eligible(request, view) || !fits(request, view) {
                continue;
            }
            if confined && !self.layout.in_long_share(index, share) {
                continue;
            }
            shortlist.insert(Candidate::new(now, request, class, view, index));
        }
        shortlist
    }

    fn place_on_one(
        &mut self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        pool: &PoolView<'_>,
        shortlist: &Shortlist,
        rng: &mut dyn Rng,
    ) -> PlacementChoice {
        let chosen = shortlist.pick(rng);
        let chosen = match refuse_if_late(chosen.finish, request) {
            Some(_) => shortlist.soonest_finish(),
            None => chosen,
        };
        let view = &pool.endpoints[chosen.index];
        if self.class(request) == LengthClass::Short {
            let wait = chosen.first_token - chosen.prefill;
            self.mix.record_short_wait(now, wait);
        }
        if let Some(refusal) = refuse_if_late(chosen.finish, request) {
            return refusal;
        }
        let long = self.class(request) == LengthClass::Long;
        self.mix
            .record(now, chosen.prefill, long, pool_activity(pool));
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
        let share = self.mix.long_share(self.long_share_limit);
        let mut order: Vec<(bool, f64, usize)> = pool
            .endpoints
            .iter()
            .enumerate()
            .filter(|(_, view)| eligible(request, view))
            .map(|(index, view)| {
                let outside_share = !self.layout.in_long_share(index, share);
                (
                    outside_share,
                    queue_seconds(now, view, LengthClass::Long),
                    index,
                )
            })
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let Some(&(_, _, first)) = order.first() else {
            return refusal(PlacementReason::NoEndpoint);
        };
        // A span starts when the last of its members is free.
        let queues = running_maximum(order.iter().map(|(_, queue, _)| *queue));
        let indices = order.into_iter().map(|(_, _, index)| index);
        let Some(members) = select_span(request, pool, indices) else {
            return refusal(PlacementReason::ExceedsPool);
        };
        let cost = cost_of(&pool.endpoints[first]);
        let prefill = cost.prefill_seconds(request.prompt_tokens, 0);
        let prefill_per_member = prefill / members.len() as f64;
        let first_token = queues[members.len() - 1] + prefill_per_member;
        let finish = first_token + learned_decode_seconds(request, &pool.endpoints[first]);
        if let Some(refusal) = refuse_if_late(finish, request) {
            return refusal;
        }
        self.mix.record(now, prefill, true, pool_activity(pool));
        PlacementChoice::Span {
            members,
            predicted_first_token: Duration::from_secs_f64(first_token),
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
        let long = self.class(request) == LengthClass::Long;
        let mut shortlist = self.shortlist_endpoints(now, request, pool, long);
        if long && shortlist.is_empty() {
            // All endpoints of the long share are excluded or too small, so use any endpoint.
            shortlist = self.shortlist_endpoints(now, request, pool, false);
        }
        if shortlist.is_empty() {
            return self.place_span(now, request, pool);
        }
        self.place_on_one(now, request, pool, &shortlist, rng)
    }
}

/// An endpoint that could run the request; all times are in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Candidate {
    index: usize,
    /// Time to the first token plus penalties. The lowest score is the best.
    score: f64,
    first_token: f64,
    finish: f64,
    prefill: f64,
    cached: TokenCount,
}

impl Candidate {
    fn new(
        now: Timestamp,
        request: &PlacementRequest<'_>,
        class: LengthClass,
        view: &EndpointView,
        index: usize,
    ) -> Self {
        let cached = cached_tokens(request, view);
        let prefill = cost_of(view).prefill_seconds(request.prompt_tokens, cached);
        let queue = queue_seconds(now, view, class);
        let wait = queue.max(memory_wait(now, request, view));
        let first_token = wait + prefill;
        let (domain_latency, unseen_work) = if view.domain == request.own_domain {
            (0.0, 0.0)
        } else {
            (OTHER_DOMAIN_SECONDS, OTHER_DOMAIN_UNSEEN_SECONDS)
        };
        let interference = match class {
            LengthClass::Short => interference_seconds(view),
            LengthClass::Long => 0.0,
        };
        Self {
            index,
            score: first_token + domain_latency + unseen_work + interference,
            first_token: first_token + domain_latency,
            finish: first_token + domain_latency + learned_decode_seconds(request, view),
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

    fn insert(&mut self, candidate: Candidate) {
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

    /// Returns the candidate that is predicted to finish the answer first.
    fn soonest_finish(&self) -> Candidate {
        let candidates = self.candidates[..self.length].iter();
        let soonest = candidates.min_by(|a, b| a.finish.total_cmp(&b.finish));
        soonest.copied().unwrap_or_default()
    }

    /// Picks a random candidate among those whose score is close to the best.
    ///
    /// Gateways with the same stale reports would otherwise all choose the same endpoint.
    fn pick(&self, rng: &mut dyn Rng) -> Candidate {
        let limit = self.candidates[0].score * NEAR_RATIO + NEAR_SECONDS;
        let near_best = self.candidates[..self.length]
            .iter()
            .take_while(|candidate| candidate.score <= limit)
            .count();
        self.candidates[rng.random_range(0..near_best)]
    }
}

/// Time to decode the answer, in seconds; zero on an engine whose speed is not known yet.
///
/// The result decides whether a request is refused as late. With an assumed speed, long answers
/// would be refused on an idle engine that has not run anything. The engine would then get no
/// requests, and its speed would never be learned. Without an assumption the request is tried, and
/// its deadline limits the cost of a slow engine.
fn learned_decode_seconds(request: &PlacementRequest<'_>, view: &EndpointView) -> f64 {
    let decode = |report: &EndpointReport| report.cost.decode(request.answer_tokens);
    let report = view.report.as_deref();
    report.map_or(0.0, |report| decode(report).as_secs_f64())
}

/// Tokens of the prompt that are in the endpoint's cache according to its latest report.
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

/// Expected wait for memory held by other requests, in seconds: the time until the current work is
/// prefilled and a typical answer has ended. Zero if there is enough free memory.
fn memory_wait(now: Timestamp, request: &PlacementRequest<'_>, view: &EndpointView) -> f64 {
    let Some(report) = &view.report else {
        return 0.0;
    };
    let free = report.free_tokens.saturating_sub(view.sent_since.tokens);
    if report.memory_tokens == 0 || memory_need(request) <= free {
        return 0.0;
    }
    let answer = report.cost.or_assumed().decode(TYPICAL_ANSWER_TOKENS);
    queue_seconds(now, view, LengthClass::Long) + answer.as_secs_f64()
}

/// Delay of a short prompt that overtakes a running long prefill, in seconds. Engines work in
/// steps: the short prompt waits for the current step, and each of its own steps may include a
/// chunk of the long prefill.
fn interference_seconds(view: &EndpointView) -> f64 {
    let Some(report) = &view.report else {
        return 0.0;
    };
    let long_prefill_runs = report
        .backlog
        .is_some_and(|backlog| backlog.all > backlog.short);
    if !long_prefill_runs {
        return 0.0;
    }
    let cost = cost_of(view);
    INTERFERENCE_STEPS
        * cost.prefill_seconds(CHUNK_CONTEXT_TOKENS + CHUNK_TOKENS, CHUNK_CONTEXT_TOKENS)
}

fn pool_activity(pool: &PoolView<'_>) -> PoolActivity {
    let mut accepting = 0_u32;
    let mut busy = 0_u32;
    let mut all = 0.0;
    let mut short = 0.0;
    for view in pool.endpoints.iter().filter(|view| view.accepts_work()) {
        accepting += 1;
        let Some(report) = &view.report else {
            continue;
        };
        busy += u32::from(has_prefill(report));
        if let Some(backlog) = report.backlog {
            all += backlog.all.as_secs_f64();
            short += backlog.short.as_secs_f64();
        }
    }
    PoolActivity {
        busy: f64::from(busy) / f64::from(accepting.max(1)),
        overtaking: (all > 0.0).then(|| (1.0 - short / all).clamp(0.0, 1.0)),
    }
}

fn has_prefill(report: &EndpointReport) -> bool {
    report.queued > 0 || report.prefill_tokens_left > 0
}

fn running_maximum(values: impl Iterator<Item = f64>) -> Vec<f64> {
    values
        .scan(0.0, |highest: &mut f64, value| {
            *highest = highest.max(value);
            Some(*highest)
        })
        .collect()
}

/// Refuses a request that is predicted to finish after its deadline. The retry time is the
/// predicted delay past the deadline, within [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
fn refuse_if_late(finish: f64, request: &PlacementRequest<'_>) -> Option<PlacementChoice> {
    let excess = finish - request.remaining.as_secs_f64();
    (excess > 0.0).then(|| PlacementChoice::Refuse {
        code: ResultCode::NoCapacity,
        retry_after: retry_after(excess),
        reason: PlacementReason::OutOfTime,
    })
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

/// Number of tokens that an engine is assumed to prefill in one step.
const CHUNK_TOKENS: TokenCount = 2_048;
/// Number of tokens that are assumed to precede a chunk of a long prompt.
const CHUNK_CONTEXT_TOKENS: TokenCount = 200_000;
/// Number of steps by which a long prefill is counted to delay a short prompt. The value only
/// breaks ties. With a value of 1 or 2, short prompts queue behind each other on the few engines
/// without a long prefill, and the `policy_comparison` test fails.
const INTERFERENCE_STEPS: f64 = 0.25;
/// Number of candidates kept for the random choice.
const SHORTLIST_LENGTH: usize = 8;
/// A candidate is close to the best one if its score is at most this ratio of the best score plus
/// [`NEAR_SECONDS`].
const NEAR_RATIO: f64 = 1.2;
const NEAR_SECONDS: f64 = 0.01;
/// Round trip to another failure domain.
const OTHER_DOMAIN_SECONDS: f64 = 0.003;
/// Penalty for work in another failure domain that other gateways may have sent since the latest
/// report. In its own failure domain a gateway knows most of the work because it sent the work
/// itself. Many gateways can act on stale reports without collisions because each of them mostly
/// uses its own failure domain.
const OTHER_DOMAIN_UNSEEN_SECONDS: f64 = 0.03;
/// Assumed length of an answer when the wait for free memory is estimated.
const TYPICAL_ANSWER_TOKENS: TokenCount = 128;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

inventory::submit! {
    PolicyPlugin {
        name: "length-aware",
        summary: "soonest first token; long prompts kept to a share of the pool",
        build: |spec: &PlacementSpec| Box::new(LengthAwarePolicy::new(spec)),
    }
}
