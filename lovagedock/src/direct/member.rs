//! What speaks for and against an endpoint of a team.

use std::{cmp::Reverse, time::Duration};

use super::{
    choice::{DirectRequest, HelperPart, PlacerCandidate},
    engine::EngineProfile,
};
use crate::ids::TokenCount;

/// Part of the objective that a prediction may use up. Predictions miss by about a pass.
const OBJECTIVE_MARGIN: f64 = 0.85;

/// Share of its value that a request loses when it is late.
pub(super) const LATE_LOSS: f64 = 0.75;

/// Loss for each slot that is free on a chosen engine. It is far below that of one late request
/// and only decides between engines that are equal otherwise: short requests gather on few
/// engines and leave the others to long prompts.
const SPREAD_LOSS: f64 = 0.002;

/// Free slots that count as the last. Other gateways place on the same engine before they hear of
/// this request; two of them at once are shared_loss in a burst, three are rare.
const LAST_SLOTS: u32 = 2;

/// Loss for taking one of the last slots: more than for opening another engine.
const LAST_SLOT_LOSS: f64 = 0.05;

/// Loss of a short request outside the short lane: more than for the last slots of the lane, and up to
/// a third more at the end of the pool, so that overflow gathers next to the lane.
const OUTSIDE_LANE_LOSS: f64 = 0.12;
const OUTSIDE_SPAN_LOSS: f64 = 0.04;

/// Loss at most by the draw. It is as much as 20 ms of reading of a short prompt and decides between
/// endpoints that are equal otherwise, so that gateways which look at the same moment choose unlike ones.
const DRAW_LOSS: f64 = 0.01;

/// Loss by which an endpoint may be worse than the best one and still be taken for a short prompt that
/// avoids the choice of others: more than a last slot or a place outside the lane costs, far less than
/// being late.
const DRAW_TOLERANCE: f64 = 0.2;

/// Reading that a helper may have before it. An engine reads the part that came last first: on one
/// that is asked again and again the oldest part waits until nothing new comes, and with it the
/// whole prompt, for seconds. Measured from the decision log of one day: prompts of 130k to 260k
/// tokens that were predicted at 0.5 to 1.1 s took 3.7 to 11.6 s to their first event before, and 0.5
/// to 4.1 s with this.
pub(super) const MAX_HELPER_BACKLOG: Duration = Duration::from_millis(80);

/// Least backlog, for a long prompt, of an engine that has not read all of another one: more than a
/// helper may have.
///
/// The load that it answers: a burst of long prompts, read in parts on engines that they share. A part
/// takes a little longer than predicted; the engine counts as idle, is asked again, reads what came
/// last first, and the prompt behind waits for as long as the new part takes: one predicted at 3.1 s took
/// 11.4 s. That a part is read shows a pass or two late, by the first event of its prompt, and the engine
/// is asked that much later. Worth over three to four seeds of two deployments, against asking again
/// until 250 ms after the predicted end: 0.671 -> 0.688 on 20 plays of days with trouble, 0.648 ->
/// 0.657 on 12 of larger ones, 0.750 -> 0.784 on 4 calm ones.
const PENDING_PREFILL_BACKLOG: Duration = Duration::from_millis(200);

/// Loss for each second until an engine has read what it has. Short requests that arrive together
/// would otherwise all read on the engine that is filled next, one after the other.
const LONG_PREFILL_LOSS: f64 = 0.1;
const SHORT_PREFILL_LOSS: f64 = 0.5;

/// Loss for a long prompt's lead that would be the first writer of its engine, and for each writer
/// of a helper. Engines read helpers' parts before prompts of their own, so that a lead waits for
/// parts that came after it, and writers pause for each. So leads gather on few engines, and the
/// others only read.
const OPEN_LEAD_LOSS: f64 = 0.3;
const HELPER_WRITER_LOSS: f64 = 0.05;

/// Passes from the end of reading to the first event: what is left of the pass in which the
/// request arrives, on average half, and the pass that writes it.
pub(super) const FIRST_EVENT_PASSES: f64 = 1.5;

/// Part of an engine's memory that is planned with. Answers grow past what callers expect, and an
/// engine that runs out of memory takes it from the newest request and reads that again.
const USABLE_MEMORY: f64 = 0.96;

/// Reading time from which a prompt is long: it is split and kept off the short lane. A pass of
/// writers takes about 60 ms and short prompts bear pauses of 200 ms.
pub(super) const LONG_PREFILL: Duration = Duration::from_millis(120);

/// One endpoint of a team.
pub(super) struct TeamMember {
    pub(super) index: usize,
    pub(super) backlog: Duration,
    pub(super) ready: Duration,
    pub(super) pass: Duration,
    pub(super) delay_loss: f64,
    pub(super) slot_loss: f64,
    /// Tokens of memory that a request may take.
    pub(super) free: TokenCount,
    /// Loss as the lead.
    pub(super) lead_rank: f64,
    /// Loss as a helper.
    pub(super) helper_rank: f64,
    pub(super) draw: f64,
}

impl TeamMember {
    pub(super) fn new(
        profile: &EngineProfile,
        request: &DirectRequest,
        index: usize,
        candidate: &PlacerCandidate<'_>,
        part_time: Duration,
    ) -> Self {
        let load = &candidate.load;
        let writers = load.writer_count() + 1;
        let usable = (profile.memory_tokens as f64 * USABLE_MEMORY) as TokenCount;
        let pass = profile.pass_time(writers, load.context + request.prompt);
        let slowdown = f64::from(load.slowdown).max(1.0);
        let pass = pass.mul_f64(slowdown);
        let long = profile.prefill_time(request.prompt) >= LONG_PREFILL;
        let backlog = match long && load.pending_prefills > 0 {
            true => load.backlog.max(PENDING_PREFILL_BACKLOG),
            false => load.backlog,
        };
        let ready = (backlog + part_time).mul_f64(slowdown);
        let delay_loss = LATE_LOSS * load.value_delayed_by(pass + ready);
        let free = candidate.endpoint.slots.saturating_sub(load.occupied);
        let last_slot_loss = if free <= LAST_SLOTS {
            LAST_SLOT_LOSS
        } else {
            0.0
        };
        let outside_loss = match candidate.short_lane || long {
            true => 0.0,
            false => OUTSIDE_LANE_LOSS + OUTSIDE_SPAN_LOSS * candidate.rank,
        };
        let free_slot_loss = if candidate.short_lane {
            0.0
        } else {
            SPREAD_LOSS
        };
        let slot_loss = free_slot_loss * f64::from(free)
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
        let opening_loss = match (long, writers) {
            (true, 1) => OPEN_LEAD_LOSS,
            _ => 0.0,
        };
        Self {
            index,
            backlog,
            ready,
            pass,
            delay_loss,
            slot_loss,
            free: usable.saturating_sub(load.context),
            lead_rank: shared_loss + slot_loss + opening_loss,
            helper_rank: shared_loss
                + DRAW_LOSS * candidate.draw
                + HELPER_WRITER_LOSS * f64::from(writers - 1),
            draw: candidate.draw,
        }
    }
}

/// One of the `crowd` best leads for a short prompt; `None` if no member's memory takes it.
///
/// The load that it answers: a burst of short prompts at many gateways, each of which sees the same few
/// endpoints best and hears of the others' placements when it has placed its own. On an engine that is
/// chosen ten times within 30 ms the last prompt waits for 200 ms of reading, beside engines that have
/// nothing. With as many endpoints to draw from as prompts are placed unheard, few meet. Late short prompts,
/// without processor time, seeds 1 to 3: 4,213 -> 2,553 of 52,342 on two days with 68 gateways, 5,129 ->
/// 3,250 of 50,432 and 2,799 -> 1,827 of 30,070 on three days each of two fleets with 24 and 28 gateways.
/// Worth over these 23 plays +0.011 (standard error 0.005). Long prompts of the largest fleet pay for a part
/// of it: 0.015 of their worth.
pub(super) fn choose_among_best(
    members: &[TeamMember],
    need: TokenCount,
    draw_count: usize,
) -> Option<&TeamMember> {
    let order = |a: &&TeamMember, b: &&TeamMember| a.lead_rank.total_cmp(&b.lead_rank);
    let mut best: Vec<&TeamMember> = members
        .iter()
        .filter(|member| member.free >= need)
        .collect();
    if draw_count < best.len() {
        best.select_nth_unstable_by(draw_count, order);
        best.truncate(draw_count);
    }
    let bound = best.iter().copied().min_by(order)?.lead_rank + DRAW_TOLERANCE;
    let within = best.into_iter().filter(|member| member.lead_rank <= bound);
    within.min_by(|a, b| a.draw.total_cmp(&b.draw))
}

/// Keeps the members that are best as helpers, the best first.
pub(super) fn retain_best_helpers(members: &mut Vec<TeamMember>, count: usize) {
    let order = |a: &TeamMember, b: &TeamMember| a.helper_rank.total_cmp(&b.helper_rank);
    if count < members.len() {
        members.select_nth_unstable_by(count, order);
        members.truncate(count);
    }
    members.sort_by(order);
}

/// The best lead among the members whose memory takes the whole request, or else the member with
/// the most memory.
pub(super) fn remove_lead(members: &mut Vec<TeamMember>, need: TokenCount) -> Option<TeamMember> {
    let whole = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.free >= need);
    let rank = |(_, member): &(usize, &TeamMember)| member.lead_rank;
    let whole = whole
        .min_by(|a, b| rank(a).total_cmp(&rank(b)))
        .map(|(position, _)| position);
    let position = whole.or_else(|| {
        let free = |(_, member): &(usize, &TeamMember)| member.free;
        members
            .iter()
            .enumerate()
            .max_by_key(free)
            .map(|(position, _)| position)
    })?;
    Some(members.remove(position))
}

/// Helpers with what each keeps of `tokens` that the lead has no memory for; `None` if they have
/// too little together.
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
    order.sort_by_key(|position| Reverse(members[*position].free));
    let mut left = tokens;
    for position in order {
        let kept = left.min(members[position].free);
        helpers[position].kept = kept;
        left -= kept;
    }
    (left == 0).then_some(helpers)
}

/// Value that a request loses when its first event comes after `first_event`.
pub(super) fn lateness_loss(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.mul_f64(OBJECTIVE_MARGIN);
    if first_event <= limit {
        return 0.0;
    }
    let over = (first_event - limit).as_secs_f64();
    request.value() * LATE_LOSS * (1.0 + over * 0.1)
}

/// How close a prediction is to the objective, squared: 0 at once, 1 just in time.
pub(super) fn deadline_risk(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.as_secs_f64().max(f64::MIN_POSITIVE);
    (first_event.as_secs_f64() / limit).min(1.0).powi(2)
}
