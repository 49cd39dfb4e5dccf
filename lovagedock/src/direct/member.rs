//! Loss that results from choosing an endpoint as a member of a team that shares the prefill of a
//! prompt.

use std::{cmp::Reverse, time::Duration};

use super::{
    choice::{DirectRequest, HelperPart, PlacerCandidate},
    engine::EngineProfile,
    load::CombinedLoad,
};
use crate::ids::TokenCount;

/// Share of the objective that a prediction may use up. Predictions are off by about a pass.
const OBJECTIVE_MARGIN: f64 = 0.85;

/// Share of its value that a request loses when it is late.
pub(super) const LATE_LOSS: f64 = 0.75;

/// Loss for each free slot of a chosen engine. It is far below the loss of a late request and only
/// breaks ties: short requests fill few engines and leave the others to long prompts.
const FREE_SLOT_LOSS: f64 = 0.002;

/// Number of free slots that count as the last ones. Other gateways place on the same engine before
/// they receive this placement; two at once are common in a burst, three are rare.
const LAST_SLOTS: u32 = 2;

/// Loss for using one of the last slots. It exceeds the loss for placing on the next, emptier
/// engine.
const LAST_SLOT_LOSS: f64 = 0.05;

/// Loss of a short request outside the short lane. It exceeds the loss for the last slots of the
/// lane. The second constant increases it by up to a third with the endpoint's rank, so that
/// requests that exceed the lane are placed next to it.
const OUTSIDE_LANE_LOSS: f64 = 0.12;
const OUTSIDE_LANE_RANK_LOSS: f64 = 0.04;

/// Maximum loss added by the random draw. It equals 20 ms of prefill of a short prompt and only
/// breaks ties, so that gateways that place at the same moment choose different endpoints.
const DRAW_LOSS: f64 = 0.01;

/// Maximum additional loss, compared with the best endpoint, of an endpoint that is drawn for a
/// short prompt to avoid the choices of other gateways. It exceeds the loss for a last slot or for
/// leaving the lane, and is far below the loss of a late request.
const DRAW_TOLERANCE: f64 = 0.2;

/// Maximum backlog of a helper. An engine prefills the part that arrived last first. If new parts
/// keep arriving, the oldest part waits for seconds, and its whole prompt with it. In the decision
/// log of one day, prompts of 130k to 260k tokens that were predicted at 0.5 to 1.1 s took 3.7 to
/// 11.6 s to their first event without this bound, and 0.5 to 4.1 s with it.
pub(super) const MAX_HELPER_BACKLOG: Duration = Duration::from_millis(80);

/// Minimum backlog that a long prompt assumes for an engine with a pending prefill of another long
/// prompt. It exceeds the maximum backlog of a helper.
///
/// In a burst, long prompts are prefilled in parts on shared engines. If a part takes slightly
/// longer than predicted, the engine counts as idle too early and is chosen again. It prefills the
/// new part first, and the earlier prompt waits for as long as the new part takes: one predicted at
/// 3.1 s took 11.4 s. The end of a prefill is only seen a pass or two late, with the first event of
/// its prompt, so the engine is chosen again that much later. Score over three to four seeds of two
/// deployments, compared with choosing an engine again 250 ms after the predicted end: 0.671 ->
/// 0.688 on 20 simulated days with faults, 0.648 -> 0.657 on 12 larger ones, 0.750 -> 0.784 on 4
/// without faults.
const PENDING_PREFILL_BACKLOG: Duration = Duration::from_millis(200);

/// Loss per second until an engine has finished its backlog. Otherwise, short requests that arrive
/// together would all be prefilled one after the other on the engine that is filled next.
const LONG_PREFILL_LOSS: f64 = 0.1;
const SHORT_PREFILL_LOSS: f64 = 0.5;

/// Loss of a long prompt's lead that would be the first writer of its engine, and loss for each
/// writer of a helper. Engines prefill helpers' parts before their own prompts, so a lead waits for
/// parts that arrive after it, and writers wait for each part. These losses concentrate leads on
/// few engines, and the other engines only prefill.
const FIRST_WRITER_LOSS: f64 = 0.3;
const HELPER_WRITER_LOSS: f64 = 0.05;

/// Passes from the end of the prefill to the first event: the rest of the pass in which the request
/// arrives, half a pass on average, and the pass that generates the event.
pub(super) const FIRST_EVENT_PASSES: f64 = 1.5;

/// Share of an engine's memory that placement uses. Responses grow longer than callers expect, and
/// an engine that runs out of memory evicts the newest request and prefills it again.
const USABLE_MEMORY: f64 = 0.96;

/// Prefill time from which a prompt counts as long. Long prompts are split and kept off the short
/// lane. A pass with writers takes about 60 ms, and short prompts tolerate gaps of 200 ms.
pub(super) const LONG_PREFILL: Duration = Duration::from_millis(120);

/// A candidate with its losses for one request.
pub(super) struct TeamMember {
    pub(super) index: usize,
    pub(super) backlog: Duration,
    pub(super) ready: Duration,
    pub(super) pass: Duration,
    pub(super) delay_loss: f64,
    pub(super) slot_loss: f64,
    /// Tokens of engine memory that the request may use.
    pub(super) free_memory: TokenCount,
    /// Loss as the lead of the team.
    pub(super) lead_loss: f64,
    /// Loss as a helper.
    pub(super) helper_loss: f64,
    pub(super) draw: f64,
}

impl TeamMember {
    pub(super) fn new(
        profile: &EngineProfile,
        request: &DirectRequest,
        index: usize,
        candidate: &PlacerCandidate<'_>,
        part_prefill_time: Duration,
    ) -> Self {
        let load = &candidate.load;
        let writers = load.writer_count() + 1;
        let usable = (profile.memory_tokens as f64 * USABLE_MEMORY) as TokenCount;
        let pass = profile.pass_time(writers, load.context + request.prompt);
        let slowdown = f64::from(load.slowdown).max(1.0);
        let pass = pass.mul_f64(slowdown);
        let long = profile.prefill_time(request.prompt) >= LONG_PREFILL;
        let backlog = effective_backlog(load, long);
        let ready = (backlog + part_prefill_time).mul_f64(slowdown);
        let delay_loss = LATE_LOSS * load.value_delayed_by(pass + ready);
        let free_slots = candidate.endpoint.slots.saturating_sub(load.occupied);
        let last_slot_loss = if free_slots <= LAST_SLOTS {
            LAST_SLOT_LOSS
        } else {
            0.0
        };
        let outside_loss = match candidate.short_lane || long {
            true => 0.0,
            false => OUTSIDE_LANE_LOSS + OUTSIDE_LANE_RANK_LOSS * candidate.rank,
        };
        let free_slot_loss = if candidate.short_lane {
            0.0
        } else {
            FREE_SLOT_LOSS
        };
        let slot_loss = free_slot_loss * f64::from(free_slots)
            + last_slot_loss
            + outside_loss
            + DRAW_LOSS * candidate.draw;
        let prefill_loss_rate = if long {
            LONG_PREFILL_LOSS
        } else {
            SHORT_PREFILL_LOSS
        };
        let prefill_loss = ready.as_secs_f64() * prefill_loss_rate;
        let first_event = ready + pass.mul_f64(FIRST_EVENT_PASSES);
        let shared_loss = lateness_loss(request, first_event) + delay_loss + prefill_loss;
        let first_writer_loss = match (long, writers) {
            (true, 1) => FIRST_WRITER_LOSS,
            _ => 0.0,
        };
        Self {
            index,
            backlog,
            ready,
            pass,
            delay_loss,
            slot_loss,
            free_memory: usable.saturating_sub(load.context),
            lead_loss: shared_loss + slot_loss + first_writer_loss,
            helper_loss: shared_loss
                + DRAW_LOSS * candidate.draw
                + HELPER_WRITER_LOSS * f64::from(writers - 1),
            draw: candidate.draw,
        }
    }
}

/// Returns the time until an endpoint can start to prefill a prompt.
pub(super) fn effective_backlog(load: &CombinedLoad, long: bool) -> Duration {
    match long && load.pending_prefills > 0 {
        true => load.backlog.max(PENDING_PREFILL_BACKLOG),
        false => load.backlog,
    }
}

/// Draws one of the `draw_count` best leads for a short prompt, and returns it with the number of leads
/// among which it was drawn. Returns `None` if no member has enough memory.
///
/// In a burst of short prompts at many gateways, all gateways rank the same few endpoints best and
/// receive each other's placements only after their own. On an engine that is chosen ten times
/// within 30 ms, the last prompt waits for 200 ms of prefill while other engines are idle. If a
/// gateway draws among as many endpoints as there are concurrent placements, few placements
/// collide. Late short prompts, excluding processor time, seeds 1 to 3: 4,213 -> 2,553 of 52,342 on
/// two simulated days with 68 gateways, 5,129 -> 3,250 of 50,432 and 2,799 -> 1,827 of 30,070 on
/// three days each of two fleets with 24 and 28 gateways. Over these 23 runs the score rose by
/// 0.011 (standard error 0.005). Long prompts of the largest fleet lose 0.015 of their score.
pub(super) fn choose_among_best(
    members: &[TeamMember],
    need: TokenCount,
    draw_count: usize,
) -> Option<(&TeamMember, usize)> {
    let order = |a: &&TeamMember, b: &&TeamMember| a.lead_loss.total_cmp(&b.lead_loss);
    let mut best: Vec<&TeamMember> = members
        .iter()
        .filter(|member| member.free_memory >= need)
        .collect();
    if draw_count < best.len() {
        best.select_nth_unstable_by(draw_count, order);
        best.truncate(draw_count);
    }
    let bound = best.iter().copied().min_by(order)?.lead_loss + DRAW_TOLERANCE;
    best.retain(|member| member.lead_loss <= bound);
    let count = best.len();
    let drawn = best.into_iter().min_by(|a, b| a.draw.total_cmp(&b.draw))?;
    Some((drawn, count))
}

/// Keeps the `count` members that are best as helpers, best first.
pub(super) fn retain_best_helpers(members: &mut Vec<TeamMember>, count: usize) {
    let order = |a: &TeamMember, b: &TeamMember| a.helper_loss.total_cmp(&b.helper_loss);
    if count < members.len() {
        members.select_nth_unstable_by(count, order);
        members.truncate(count);
    }
    members.sort_by(order);
}

/// Removes and returns the best lead among the members whose memory holds the whole request, or the
/// member with the most free memory if there is none.
pub(super) fn remove_lead(members: &mut Vec<TeamMember>, need: TokenCount) -> Option<TeamMember> {
    let fitting = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.free_memory >= need);
    let loss = |(_, member): &(usize, &TeamMember)| member.lead_loss;
    let fitting = fitting
        .min_by(|a, b| loss(a).total_cmp(&loss(b)))
        .map(|(position, _)| position);
    let position = fitting.or_else(|| {
        let free_memory = |(_, member): &(usize, &TeamMember)| member.free_memory;
        members
            .iter()
            .enumerate()
            .max_by_key(free_memory)
            .map(|(position, _)| position)
    })?;
    Some(members.remove(position))
}

/// Distributes `tokens` for which the lead has no memory among the helpers. Returns `None` if they
/// do not have enough memory together.
pub(super) fn distribute_memory(
    members: &[TeamMember],
    tokens: TokenCount,
) -> Option<Vec<HelperPart>> {
    let mut helpers: Vec<HelperPart> = members
        .iter()
        .map(|member| HelperPart {
            index: member.index,
            kept: 0,
        })
        .collect();
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|position| Reverse(members[*position].free_memory));
    let mut left = tokens;
    for position in order {
        let kept = left.min(members[position].free_memory);
        helpers[position].kept = kept;
        left -= kept;
    }
    (left == 0).then_some(helpers)
}

/// Returns the value that a request loses if its first event comes after `first_event`.
pub(super) fn lateness_loss(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.mul_f64(OBJECTIVE_MARGIN);
    if first_event <= limit {
        return 0.0;
    }
    let over = (first_event - limit).as_secs_f64();
    request.value() * LATE_LOSS * (1.0 + over * 0.1)
}

/// Returns the square of the share of the objective that a prediction uses: 0 for an immediate
/// first event, 1 for one just in time.
pub(super) fn deadline_risk(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.as_secs_f64().max(f64::MIN_POSITIVE);
    (first_event.as_secs_f64() / limit).min(1.0).powi(2)
}
