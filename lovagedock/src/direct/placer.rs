//! Chooses endpoints for requests by what it costs them and those that are there.

use std::time::Duration;

use super::{
    endpoints::DirectEndpoint,
    engine::EngineProfile,
    ledger::{CombinedLoad, PlacedWork},
};
use crate::ids::TokenCount;

/// What placement knows of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectRequest {
    /// Tokens of the prompt; 0 for a plain request.
    pub prompt: TokenCount,
    /// Expected tokens of the answer.
    pub answer: TokenCount,
    /// Time left until the first event is late.
    pub objective_left: Duration,
    /// Longest pause between events that the caller expects.
    pub gap: Option<Duration>,
    /// Whether it was refused before; it gets only what others leave.
    pub returned: bool,
}

/// Prompt tokens that double the value of a request. Callers of long prompts have waited for more
/// work and lose more: the figure puts a summary of 5k tokens, a history of 45k and a dossier of
/// 210k at 1.5, 5.5 and 22, close to the 1.3, 3.1 and 22 at which our operators put them.
const TOKENS_PER_VALUE: f64 = 10_000.0;

impl DirectRequest {
    /// What it is worth to serve the request on time.
    pub fn value(&self) -> f64 {
        1.0 + self.prompt as f64 / TOKENS_PER_VALUE
    }

    /// Tokens that it keeps in engines' memory until it ends.
    pub fn memory(&self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectChoice {
    /// Index of the endpoint that answers.
    pub lead: usize,
    /// Endpoints that read parts of the prompt.
    pub helpers: Vec<HelperPart>,
    /// Reading time of each part.
    pub part: Duration,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Longest time until one of the endpoints has read what is there already.
    pub backlog: Duration,
    /// Value that is expected to be lost: by this request if it is late, by others that it delays.
    pub harm: f64,
    /// Harm and what else speaks against the choice.
    pub loss: f64,
}

/// Backlog up to which a late request is started all the same: its lateness is then its own.
const LATE_BACKLOG: Duration = Duration::from_millis(300);

/// Part of all slots that stays free beside requests that were refused before.
const RETURN_ROOM: f64 = 0.1;

/// Whether there is room for a request that gets only what others leave.
fn has_spare_room(candidates: &[PlacerCandidate]) -> bool {
    let slots: u32 = candidates
        .iter()
        .map(|candidate| candidate.endpoint.slots)
        .sum();
    let taken: u32 = candidates
        .iter()
        .map(|candidate| candidate.load.occupied)
        .sum();
    f64::from(slots.saturating_sub(taken)) > f64::from(slots) * RETURN_ROOM
}

impl DirectChoice {
    /// Whether to start a request that has no time left to wait for a better place.
    ///
    /// The load that it answers: long prompts that come faster than the pool can read them. Started
    /// late, each takes the time of one that could still be on time, and in the end all are late.
    pub fn is_worth_starting(&self, request: &DirectRequest) -> bool {
        self.first_event <= request.objective_left || self.backlog <= LATE_BACKLOG
    }
}

/// An endpoint that reads a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperPart {
    /// Its index among the candidates.
    pub index: usize,
    /// Tokens of the prompt that it also keeps in its memory, which has to be reserved; 0 for
    /// one that hands everything over.
    pub kept: TokenCount,
}

/// An endpoint that may be chosen.
#[derive(Clone, Debug)]
pub struct PlacerCandidate {
    /// The endpoint.
    pub endpoint: DirectEndpoint,
    /// What is on it.
    pub load: CombinedLoad,
    /// Place in the order of all endpoints of the service.
    pub position: usize,
    /// Whether it is kept for short prompts.
    pub short_lane: bool,
}

/// Share of its value that a request loses when it is late.
const LATE_LOSS: f64 = 0.75;

/// Part of the objective that a prediction may use up. Predictions miss by about a pass.
const OBJECTIVE_MARGIN: f64 = 0.85;

/// Loss for each slot that is free on a chosen engine. It is far below that of one late request
/// and only decides between engines that are equal otherwise: short requests gather on few
/// engines and leave the others to long prompts.
const SPREAD_LOSS: f64 = 0.002;

/// Free slots that count as the last. Other gateways place on the same engine before they hear of
/// this request; two of them at once are common in a burst, three are rare.
const LAST_SLOTS: u32 = 2;

/// Loss for taking one of the last slots: more than for opening another engine.
const LAST_SLOT_LOSS: f64 = 0.05;

/// Loss of a short request outside the short lane: more than for the last slots of the lane, and
/// more the farther outside, so that overflow gathers next to the lane.
const OUTSIDE_LANE_LOSS: f64 = 0.12;
const OUTSIDE_STEP_LOSS: f64 = 0.002;

/// Passes from the end of reading to the first event: what is left of the pass in which the
/// request arrives, on average half, and the pass that writes it.
const FIRST_EVENT_PASSES: f64 = 1.5;

/// Share of its value that a request risks when it is predicted just in time.
const RISK_LOSS: f64 = 0.08;

/// Loss for each helper, so that a prompt is not split further than it gains.
const HELPER_LOSS: f64 = 0.02;

/// Part of an engine's memory that is planned with. Answers grow past what callers expect, and an
/// engine that runs out of memory takes it from the newest request and reads that again.
const USABLE_MEMORY: f64 = 0.96;

/// Reading that a helper may have before it. An engine reads the part that came last first: on one
/// that is asked again and again the oldest part waits until nothing new comes, and with it the
/// whole prompt, for seconds.
const HELP_BACKLOG: Duration = Duration::from_millis(80);

/// Loss for each second until an engine has read what it has. Short requests that arrive together
/// would otherwise all read on the engine that is filled next, one after the other.
const LONG_READING_LOSS: f64 = 0.1;
const SHORT_READING_LOSS: f64 = 0.5;

/// Loss for a long prompt's lead that would be the first writer of its engine, and for each writer
/// of a helper. Engines read helpers' parts before prompts of their own, so that a lead waits for
/// parts that came after it, and writers pause for each. So leads gather on few engines, and the
/// others only read.
const OPEN_LEAD_LOSS: f64 = 0.3;
const HELP_WRITER_LOSS: f64 = 0.05;

/// Numbers of endpoints that may share a prompt; an engine takes 16 helpers at most.
const TEAM_SIZES: [usize; 8] = [1, 2, 3, 4, 6, 8, 12, 16];

/// Reading time from which a prompt is long: it is split and kept off the short lane. A pass of
/// writers takes about 60 ms and short prompts bear pauses of 200 ms.
const LONG_READING: Duration = Duration::from_millis(120);

/// Short requests that the short lane has room for beyond those that run, as a factor and a
/// number. A burst of short requests adds about a third to them within half a second.
const LANE_FACTOR: f64 = 1.2;
const LANE_SPARE: f64 = 16.0;

/// Number of endpoints that are kept for short prompts while `short` of them run.
///
/// The load that it answers: long prompts that come faster than the pool can read them. Each is
/// worth more than the short requests that it delays at that moment, so that placed by loss alone
/// they spread over all engines, and then every short request that arrives is late.
pub fn short_lane_size(short: u32, slots: u32, endpoints: usize) -> usize {
    let wanted = f64::from(short) * LANE_FACTOR + LANE_SPARE;
    let engines = (wanted / f64::from(slots.max(1))).ceil() as usize;
    // Long prompts always keep some engines, or they would starve in a long burst.
    engines.min(endpoints - endpoints.div_ceil(LONG_LANE_PART).min(endpoints))
}

/// The long lane keeps at least one engine in this many.
const LONG_LANE_PART: usize = 16;

/// Chooses endpoints of one service.
#[derive(Clone, Copy, Debug)]
pub struct DirectPlacer<'a> {
    profile: Option<&'a EngineProfile>,
}

impl<'a> DirectPlacer<'a> {
    /// A placer for a service; plain services have no profile.
    pub fn new(profile: Option<&'a EngineProfile>) -> Self {
        Self { profile }
    }

    /// Whether a request's prompt is long.
    pub fn is_long(&self, request: &DirectRequest) -> bool {
        self.profile
            .is_some_and(|profile| profile.read_time(request.prompt) >= LONG_READING)
    }

    /// Chooses among endpoints that have a free slot; `None` when none has one.
    pub fn place(
        &self,
        request: &DirectRequest,
        candidates: &[PlacerCandidate],
    ) -> Option<DirectChoice> {
        let Some(profile) = self.profile else {
            return place_plain(candidates);
        };
        if request.returned && !has_spare_room(candidates) {
            return None;
        }
        let reading = profile.read_time(request.prompt);
        let mut best: Option<DirectChoice> = None;
        for size in TEAM_SIZES {
            if size > 1 && reading < LONG_READING {
                break;
            }
            let choice = self.place_team(profile, request, candidates, reading, size);
            let Some(choice) = choice else { continue };
            if best.as_ref().is_none_or(|best| choice.loss < best.loss) {
                best = Some(choice);
            }
        }
        best
    }

    /// Work that the choice places on its endpoints, lead first.
    pub fn works(
        &self,
        request: &DirectRequest,
        choice: &DirectChoice,
        candidates: &[PlacerCandidate],
    ) -> Vec<PlacedWork> {
        let kept: TokenCount = choice.helpers.iter().map(|helper| helper.kept).sum();
        let long = self.is_long(request);
        let work = |index: usize, context: TokenCount, gap: Option<Duration>| PlacedWork {
            endpoint: candidates[index].endpoint.id.clone(),
            reading: choice.part,
            context,
            gap,
            short: !long && gap.is_some(),
            value: request.value() as f32,
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
        candidates: &[PlacerCandidate],
        reading: Duration,
        size: usize,
    ) -> Option<DirectChoice> {
        let part = reading / size as u32;
        let long = reading >= LONG_READING;
        let mut members: Vec<Member> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| !long || !candidate.short_lane)
            .map(|(index, candidate)| Member::new(profile, request, index, candidate, part))
            .collect();
        if members.len() < size {
            return None;
        }
        let lead = take_lead(&mut members, request.memory())?;
        members.retain(|member| member.backlog <= HELP_BACKLOG);
        members.sort_by(|a, b| a.help_rank.total_cmp(&b.help_rank));
        members.truncate(size - 1);
        if members.len() < size - 1 {
            return None;
        }
        let kept = spread_memory(&members, request.memory().saturating_sub(lead.free))?;
        let slowest = members.iter().map(|member| member.ready).max();
        let ready = slowest.unwrap_or_default().max(lead.ready);
        let first_event = ready + lead.pass.mul_f64(FIRST_EVENT_PASSES);
        let others: f64 = members.iter().map(|member| member.hurt).sum();
        let harm = lateness(request, first_event) + lead.hurt + others;
        let loss = harm
            + lead.spread
            + RISK_LOSS * request.value() * tension(request, first_event)
            + HELPER_LOSS * members.len() as f64;
        Some(DirectChoice {
            lead: lead.index,
            helpers: kept,
            part,
            first_event,
            backlog: ready.saturating_sub(part),
            harm,
            loss,
        })
    }
}

/// One endpoint of a team.
struct Member {
    index: usize,
    backlog: Duration,
    ready: Duration,
    pass: Duration,
    hurt: f64,
    spread: f64,
    /// Tokens of memory that a request may take.
    free: TokenCount,
    /// Loss as the lead.
    lead_rank: f64,
    /// Loss as a helper.
    help_rank: f64,
}

impl Member {
    fn new(
        profile: &EngineProfile,
        request: &DirectRequest,
        index: usize,
        candidate: &PlacerCandidate,
        part: Duration,
    ) -> Self {
        let load = &candidate.load;
        let writers = load.writer_count() + 1;
        let usable = (profile.memory_tokens as f64 * USABLE_MEMORY) as TokenCount;
        let pass = profile.pass_time(writers, load.context + request.prompt);
        let ready = load.backlog + part;
        let hurt = LATE_LOSS * load.value_hurt_by(pass + ready);
        let free = candidate.endpoint.slots.saturating_sub(load.occupied);
        let last = if free <= LAST_SLOTS {
            LAST_SLOT_LOSS
        } else {
            0.0
        };
        let long = profile.read_time(request.prompt) >= LONG_READING;
        let outside = match candidate.short_lane || long {
            true => 0.0,
            false => OUTSIDE_LANE_LOSS + OUTSIDE_STEP_LOSS * candidate.position as f64,
        };
        let spread = SPREAD_LOSS * f64::from(free) + last + outside;
        let reading_loss = if long {
            LONG_READING_LOSS
        } else {
            SHORT_READING_LOSS
        };
        let reading = ready.as_secs_f64() * reading_loss;
        let common = lateness(request, ready + pass) + hurt + reading;
        let opened = match (long, writers) {
            (true, 1) => OPEN_LEAD_LOSS,
            _ => 0.0,
        };
        Self {
            index,
            backlog: load.backlog,
            ready,
            pass,
            hurt,
            spread,
            free: usable.saturating_sub(load.context),
            lead_rank: common + spread + opened,
            help_rank: common + HELP_WRITER_LOSS * f64::from(writers - 1),
        }
    }
}

/// How close a prediction is to the objective, squared: 0 at once, 1 just in time.
fn tension(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.as_secs_f64().max(f64::MIN_POSITIVE);
    (first_event.as_secs_f64() / limit).min(1.0).powi(2)
}

/// The best lead among the members whose memory takes the whole request, or else the member with
/// the most memory.
fn take_lead(members: &mut Vec<Member>, need: TokenCount) -> Option<Member> {
    let whole = members
        .iter()
        .enumerate()
        .filter(|(_, member)| member.free >= need);
    let rank = |(_, member): &(usize, &Member)| member.lead_rank;
    let whole = whole
        .min_by(|a, b| rank(a).total_cmp(&rank(b)))
        .map(|(position, _)| position);
    let position = whole.or_else(|| {
        let free = |(_, member): &(usize, &Member)| member.free;
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
fn spread_memory(members: &[Member], tokens: TokenCount) -> Option<Vec<HelperPart>> {
    let mut helpers: Vec<HelperPart> = members
        .iter()
        .map(|member| HelperPart {
            index: member.index,
            kept: 0,
        })
        .collect();
    let mut order: Vec<usize> = (0..members.len()).collect();
    order.sort_by_key(|position| std::cmp::Reverse(members[*position].free));
    let mut left = tokens;
    for position in order {
        let kept = left.min(members[position].free);
        helpers[position].kept = kept;
        left -= kept;
    }
    (left == 0).then_some(helpers)
}

/// Value that a request loses when its first event comes after `first_event`.
fn lateness(request: &DirectRequest, first_event: Duration) -> f64 {
    let limit = request.objective_left.mul_f64(OBJECTIVE_MARGIN);
    if first_event <= limit {
        return 0.0;
    }
    let over = (first_event - limit).as_secs_f64();
    request.value() * LATE_LOSS * (1.0 + over * 0.1)
}

/// A plain service: the endpoint with the largest share of free slots.
fn place_plain(candidates: &[PlacerCandidate]) -> Option<DirectChoice> {
    let fill = |candidate: &PlacerCandidate| {
        f64::from(candidate.load.occupied) / f64::from(candidate.endpoint.slots.max(1))
    };
    let (lead, _) = candidates
        .iter()
        .enumerate()
        .min_by(|(_, a), (_, b)| fill(a).total_cmp(&fill(b)))?;
    Some(DirectChoice {
        lead,
        helpers: Vec::new(),
        part: Duration::ZERO,
        first_event: Duration::ZERO,
        backlog: Duration::ZERO,
        harm: 0.0,
        loss: 0.0,
    })
}
