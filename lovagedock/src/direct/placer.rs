//! Choice of endpoints by the loss for the request and for the requests already placed.

use std::time::Duration;

use super::{
    choice::{DirectChoice, DirectRequest, MAX_LATE_BACKLOG, PlacerCandidate},
    engine::EngineProfile,
    load::PlacedWork,
    member::{
        FIRST_EVENT_PASSES, LONG_PREFILL, MAX_HELPER_BACKLOG, TeamMember, choose_among_best,
        deadline_risk, distribute_memory, lateness_loss, remove_lead, retain_best_helpers,
    },
};
use crate::ids::TokenCount;

/// Share of all slots that stays free of returning requests.
const RETURNED_RESERVE: f64 = 0.1;

/// Slots of several endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSlots {
    /// All slots.
    pub slots: u32,
    /// Slots with a request, from all gateways.
    pub occupied: u32,
}

impl PoolSlots {
    /// Adds the slots of an endpoint.
    pub fn add(&mut self, slots: u32, occupied: u32) {
        self.slots += slots;
        self.occupied += occupied.min(slots);
    }

    /// Returns whether there is capacity for a returning request, which gets only what others leave.
    fn has_spare_capacity(&self) -> bool {
        let free = f64::from(self.slots.saturating_sub(self.occupied));
        free > f64::from(self.slots) * RETURNED_RESERVE
    }
}

/// Returns the slots of the candidates.
fn candidate_slots(candidates: &[PlacerCandidate<'_>]) -> PoolSlots {
    let mut pool = PoolSlots::default();
    for candidate in candidates {
        pool.add(candidate.endpoint.slots, candidate.load.occupied);
    }
    pool
}

/// Share of a request's value that counts as lost if its first event is predicted just in time.
const RISK_LOSS: f64 = 0.08;

/// Loss for each helper, so that a prompt is not split further than it gains from it.
const HELPER_LOSS: f64 = 0.02;

/// Numbers of endpoints that may share a prompt. An engine supports at most 16 helpers.
const TEAM_SIZES: [usize; 8] = [1, 2, 3, 4, 6, 8, 12, 16];

/// Longest prefill for which an endpoint is used that is kept for a booked team. It ends about when
/// the last endpoint of the team becomes idle.
const MAX_BACKFILL_PREFILL: Duration = Duration::from_millis(400);

/// Longest prompt that callers send, in tokens. It has the least value for its prefill time.
const MAX_PROMPT_TOKENS: TokenCount = 1_000_000;

/// Returns the value per second of prefill of the longest prompt, if it is on time.
fn min_value_rate(profile: &EngineProfile) -> f64 {
    let prefill_time = profile.prefill_time(MAX_PROMPT_TOKENS).as_secs_f64();
    DirectRequest::value_of(MAX_PROMPT_TOKENS) / prefill_time.max(f64::MIN_POSITIVE)
}

/// A suspect request is drawn among the best endpoints; their number is that of all endpoints
/// divided by this. The requests that shared an ended process are placed again at the same moment,
/// and all of them would choose the best endpoint. Among them is the request that ended the
/// process, and it would end the next process while that runs the same requests.
const SUSPECT_DIVISOR: usize = 2;

/// Restricts a suspect request to endpoints without another suspect request, if there are any.
///
/// If requests that shared an ended process shared the next one as well, all of them would have the
/// same ends recorded, and the one that causes the ends could not be told from the others.
pub fn isolate_suspects(candidates: &mut Vec<PlacerCandidate<'_>>) {
    let is_alone = |candidate: &PlacerCandidate<'_>| candidate.load.suspects == 0;
    if candidates.iter().any(is_alone) {
        candidates.retain(is_alone);
    }
}

/// Chooses endpoints of one service.
#[derive(Clone, Copy, Debug)]
pub struct DirectPlacer<'a> {
    profile: Option<&'a EngineProfile>,
    draw_count: usize,
    pool: Option<PoolSlots>,
}

impl<'a> DirectPlacer<'a> {
    /// Creates a placer for a service; plain services have no profile.
    pub fn new(profile: Option<&'a EngineProfile>) -> Self {
        Self {
            profile,
            draw_count: 1,
            pool: None,
        }
    }

    /// For a short prompt, draws among as many of the best endpoints as peers place prompts at the
    /// same time without knowing of this one, see
    /// [`WorkLedger::concurrent_placements`](super::WorkLedger::concurrent_placements).
    pub fn with_concurrent_placements(mut self, concurrent: f64) -> Self {
        self.draw_count = 1 + concurrent.round() as usize;
        self
    }

    /// Counts the slots of all endpoints of the service for the reserve that returning short prompts
    /// leave free, full endpoints included. Without it, only those of the candidates count: while most
    /// endpoints are full, the few with free slots then look as if there were capacity to spare.
    pub fn with_pool(mut self, pool: PoolSlots) -> Self {
        self.pool = Some(pool);
        self
    }

    /// Returns whether a prompt is long. Prompts of plain services never are.
    pub fn is_long(&self, prompt: TokenCount) -> bool {
        self.profile
            .is_some_and(|profile| profile.prefill_time(prompt) >= LONG_PREFILL)
    }

    /// Returns whether a request has a short prompt. Requests of plain services have none.
    pub fn is_short_prompt(&self, request: &DirectRequest) -> bool {
        self.profile.is_some() && !self.is_long(request.prompt) && request.gap.is_some()
    }

    /// Returns the number of endpoints with which a long prompt is prefilled in half of its
    /// objective, or the most that may share a prompt.
    pub fn team_width(&self, prompt: TokenCount, objective: Duration) -> usize {
        let Some(profile) = self.profile else {
            return 1;
        };
        let prefill_time = profile.prefill_time(prompt);
        let fits = |size: &usize| prefill_time / *size as u32 <= objective / 2;
        let largest = TEAM_SIZES[TEAM_SIZES.len() - 1];
        TEAM_SIZES.into_iter().find(fits).unwrap_or(largest)
    }

    /// Chooses among endpoints that have a free slot. Returns `None` if there is none.
    pub fn place(
        &self,
        request: &DirectRequest,
        candidates: &[PlacerCandidate<'_>],
    ) -> Option<DirectChoice> {
        let Some(profile) = self.profile else {
            return place_plain(candidates);
        };
        if request.returned && !self.reserve_slots(request, candidates).has_spare_capacity() {
            return None;
        }
        let prefill_time = profile.prefill_time(request.prompt);
        let mut best: Option<DirectChoice> = None;
        for size in TEAM_SIZES {
            if size > 1 && prefill_time < LONG_PREFILL {
                break;
            }
            let choice = self.place_team(profile, request, candidates, prefill_time, size);
            let Some(choice) = choice else { continue };
            if best.as_ref().is_none_or(|best| choice.loss < best.loss) {
                best = Some(choice);
            }
        }
        best
    }

    /// Returns the slots that count for the reserve that returning requests leave free.
    fn reserve_slots(
        &self,
        request: &DirectRequest,
        candidates: &[PlacerCandidate<'_>],
    ) -> PoolSlots {
        // Long prompts wait for prefill time and not for slots.
        let pool = self.pool.filter(|_| !self.is_long(request.prompt));
        pool.unwrap_or_else(|| candidate_slots(candidates))
    }

    /// Returns whether to start a request that has no time left to wait for a better choice.
    ///
    /// If long prompts arrive faster than the pool can prefill them, each prompt that is started
    /// late takes the capacity of one that could still be on time, and in the end all are late. So
    /// a late prompt is started only where the backlog is short, and only if it has as much value
    /// per second of prefill as the longest prompt on time. The others are refused and may be
    /// retried. Since prefill time grows with the square of the length, this excludes late prompts
    /// of about 200k tokens and more, which take an engine for five seconds and longer. Score
    /// compared with starting every late prompt, excluding processor time, seeds 1 to 4: 0.666 ->
    /// 0.698 on 16 simulated days with faults, 0.657 -> 0.690 on 12 larger ones, 0.846 -> 0.873 and
    /// 0.784 -> 0.803 on days without faults.
    pub fn is_worth_starting(&self, request: &DirectRequest, choice: &DirectChoice) -> bool {
        if choice.first_event <= request.objective_left {
            return true;
        }
        if choice.backlog > MAX_LATE_BACKLOG {
            return false;
        }
        let Some(profile) = self.profile.filter(|_| self.is_long(request.prompt)) else {
            return true;
        };
        let prefill_time = profile.prefill_time(request.prompt).as_secs_f64();
        request.late_value() >= min_value_rate(profile) * prefill_time
    }

    /// Returns the work that the choice places on its endpoints, lead first.
    pub fn placed_work(
        &self,
        request: &DirectRequest,
        choice: &DirectChoice,
        candidates: &[PlacerCandidate<'_>],
    ) -> Vec<PlacedWork> {
        let kept: TokenCount = choice.helpers.iter().map(|helper| helper.kept).sum();
        let long = self.is_long(request.prompt);
        let work = |index: usize, context: TokenCount, gap: Option<Duration>| PlacedWork {
            endpoint: candidates[index].endpoint.process.clone(),
            prefill_time: choice.part_prefill_time,
            context,
            gap,
            short: !long && gap.is_some(),
            value: request.value() as f32,
            suspect: request.suspect,
        };
        let lead_context = request.memory().saturating_sub(kept);
        let lead = work(choice.lead, lead_context, request.gap);
        let helpers = choice.helpers.iter();
        let helpers = helpers.map(|helper| work(helper.index, helper.kept, None));
        std::iter::once(lead).chain(helpers).collect()
    }

    fn place_team(
        &self,
        profile: &EngineProfile,
        request: &DirectRequest,
        candidates: &[PlacerCandidate<'_>],
        prefill_time: Duration,
        size: usize,
    ) -> Option<DirectChoice> {
        let part_prefill_time = prefill_time / size as u32;
        let long = self.is_long(request.prompt);
        let mut members: Vec<TeamMember> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !long || !candidate.short_lane)
            .filter(|(_, candidate)| {
                !long || !candidate.is_kept || prefill_time <= MAX_BACKFILL_PREFILL
            })
            .map(|(index, candidate)| {
                TeamMember::new(profile, request, index, candidate, part_prefill_time)
            })
            .collect();
        if members.len() < size {
            return None;
        }
        let draw_count = match request.suspect {
            true => self.draw_count.max(candidates.len() / SUSPECT_DIVISOR),
            false => self.draw_count,
        };
        let mut alternatives = 1;
        if !long && draw_count > 1 {
            let drawn = choose_among_best(&members, request.memory(), draw_count);
            if let Some((drawn, count)) = drawn.map(|(member, count)| (member.index, count)) {
                members.retain(|member| member.index == drawn);
                alternatives = count;
            }
        }
        let lead = remove_lead(&mut members, request.memory())?;
        members.retain(|member| {
            member.backlog <= MAX_HELPER_BACKLOG && candidates[member.index].may_help
        });
        retain_best_helpers(&mut members, size - 1);
        if members.len() < size - 1 {
            return None;
        }
        let helper_parts =
            distribute_memory(&members, request.memory().saturating_sub(lead.free_memory))?;
        let slowest = members.iter().map(|member| member.ready).max();
        let ready = slowest.unwrap_or_default().max(lead.ready);
        let first_event = ready + lead.pass.mul_f64(FIRST_EVENT_PASSES);
        let helper_delay_loss: f64 = members.iter().map(|member| member.delay_loss).sum();
        let delayed_value = lead.delay_loss + helper_delay_loss;
        let lost_value = lateness_loss(request, first_event) + delayed_value;
        let loss = lost_value
            + lead.slot_loss
            + RISK_LOSS * request.value() * deadline_risk(request, first_event)
            + HELPER_LOSS * members.len() as f64;
        Some(DirectChoice {
            lead: lead.index,
            helpers: helper_parts,
            part_prefill_time,
            first_event,
            backlog: ready.saturating_sub(part_prefill_time),
            alternatives,
            lost_value,
            delayed_value,
            loss,
        })
    }
}

/// Chooses for a plain service: the endpoint with the largest share of free slots.
fn place_plain(candidates: &[PlacerCandidate<'_>]) -> Option<DirectChoice> {
    let occupancy = |candidate: &PlacerCandidate<'_>| {
        f64::from(candidate.load.occupied) / f64::from(candidate.endpoint.slots.max(1))
    };
    let (lead, _) = candidates
        .iter()
        .enumerate()
        .min_by(|(_, a), (_, b)| occupancy(a).total_cmp(&occupancy(b)))?;
    Some(DirectChoice {
        lead,
        helpers: Vec::new(),
        part_prefill_time: Duration::ZERO,
        first_event: Duration::ZERO,
        backlog: Duration::ZERO,
        alternatives: 1,
        lost_value: 0.0,
        delayed_value: 0.0,
        loss: 0.0,
    })
}
