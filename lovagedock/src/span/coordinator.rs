//! State machine of one span.

use std::{collections::VecDeque, mem, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    event::{SpanAction, SpanEvent},
    member::SpanMember,
    plan::{SpanPlan, SpanSegment},
};
use crate::{
    codes::{RanState, ResultCode},
    ids::{EndpointId, Timestamp, TokenCount},
    outcome::AnswerEnd,
    request::SpanPart,
};

/// Reserves several engines, all or none, prefills a prompt over them and keeps them reserved
/// until the answer is decoded.
///
/// A refusal by one engine releases all the others, so spans can neither deadlock nor keep memory
/// idle while they wait. Each reservation expires at the sidecar if this process dies.
#[derive(Debug)]
pub struct SpanCoordinator {
    pub(super) plan: SpanPlan,
    began_at: Timestamp,
    rng: ChaCha8Rng,
    pub(super) state: SpanState,
    pub(super) round: u32,
    pub(super) members: Vec<SpanMember>,
    pub(super) segments: VecDeque<SpanSegment>,
    /// Whether any segment was sent to an engine.
    pub(super) prefill_started: bool,
    pub(super) renew_at: Timestamp,
    pub(super) actions: Vec<SpanAction>,
    wake_at: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SpanState {
    Choosing,
    Reserving { until: Timestamp },
    BackingOff { until: Timestamp },
    Prefilling,
    Decoding,
    Finished,
}

impl SpanCoordinator {
    /// Creates a span. Its first choice of engines is passed to [`SpanCoordinator::start`]. `seed`
    /// determines the jitter of its pauses.
    pub fn new(now: Timestamp, plan: SpanPlan, seed: u64) -> Self {
        Self {
            plan,
            began_at: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            state: SpanState::Choosing,
            round: 0,
            members: Vec::new(),
            segments: VecDeque::new(),
            prefill_started: false,
            renew_at: now,
            actions: Vec::new(),
            wake_at: None,
        }
    }

    /// Reserves the engines of the first choice.
    pub fn start(&mut self, now: Timestamp, parts: Vec<SpanPart>) -> Vec<SpanAction> {
        self.handle(now, SpanEvent::EnginesChosen(parts))
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: SpanEvent) -> Vec<SpanAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if event != SpanEvent::Released && self.may_have_expired(now) {
            self.fail_endpoint_lost();
            return self.take_actions();
        }
        match event {
            SpanEvent::EnginesChosen(parts) => self.on_engines_chosen(now, parts),
            SpanEvent::ReserveAnswered {
                endpoint,
                round,
                granted,
            } => {
                self.on_reserve_answered(now, &endpoint, round, granted);
            }
            SpanEvent::SegmentDone {
                endpoint,
                start,
                end,
            } => {
                self.on_segment_done(&endpoint, start, end);
            }
            SpanEvent::MemberLost {
                endpoint,
                incarnation,
            } => {
                self.on_member_lost(now, &endpoint, incarnation);
            }
            SpanEvent::MemberReconnected {
                endpoint,
                incarnation,
            } => {
                self.on_member_reconnected(now, &endpoint, incarnation);
            }
            SpanEvent::Released => self.finish(),
            SpanEvent::Tick => self.tick(now),
        }
        self.take_actions()
    }

    /// Whether the span has ended and released its engines.
    pub fn is_finished(&self) -> bool {
        self.state == SpanState::Finished
    }

    fn on_engines_chosen(&mut self, now: Timestamp, parts: Vec<SpanPart>) {
        if self.state != SpanState::Choosing {
            return;
        }
        let capacity: TokenCount = parts.iter().map(|part| part.tokens).sum();
        if capacity < self.plan.prompt_tokens {
            self.back_off(now);
            return;
        }
        self.round += 1;
        self.members = parts.into_iter().map(SpanMember::new).collect();
        self.state = SpanState::Reserving {
            until: now + self.plan.timing.answer_timeout,
        };
        self.renew_at = now + self.renew_interval();
        self.request_reservations(now);
    }

    fn on_reserve_answered(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        round: u32,
        granted: bool,
    ) {
        if round != self.round {
            return;
        }
        let reserving = matches!(self.state, SpanState::Reserving { .. });
        let hold = self.plan.timing.hold;
        let Some(member) = self
            .members
            .iter_mut()
            .find(|member| member.is_at(endpoint))
        else {
            return;
        };
        // The running request has taken over the reservation, so a late reply is ignored.
        if member.is_submitted() {
            return;
        }
        if !granted && reserving {
            self.release_and_back_off(now);
            return;
        }
        // A renewal arrived too late, and the sidecar gave the memory to others. The KV blocks of
        // this part are lost.
        if !granted {
            self.fail_endpoint_lost();
            return;
        }
        let reconnected = member.grant(hold);
        if reserving && self.members.iter().all(SpanMember::is_granted) {
            self.begin_prefill();
        } else if reconnected
            && self
                .segments
                .front()
                .is_some_and(|next| next.endpoint == *endpoint)
        {
            self.send_segment();
        }
    }

    fn tick(&mut self, now: Timestamp) {
        match self.state {
            SpanState::Reserving { until } if now >= until => self.release_and_back_off(now),
            SpanState::BackingOff { until } if now >= until => {
                self.state = SpanState::Choosing;
                self.actions.push(SpanAction::ChooseEngines);
            }
            SpanState::Prefilling | SpanState::Decoding => self.renew(now),
            _ => {}
        }
    }

    pub(super) fn release_and_back_off(&mut self, now: Timestamp) {
        self.release_all();
        self.back_off(now);
    }

    fn back_off(&mut self, now: Timestamp) {
        let (waited, time_limit) = (
            now.saturating_sub(self.began_at),
            self.plan.reserve_time_limit(),
        );
        if waited >= time_limit {
            self.fail(AnswerEnd::new(ResultCode::NoCapacity));
            return;
        }
        let jitter = self.rng.random::<f64>();
        let pause = self
            .plan
            .timing
            .backoff
            .delay(self.round.max(1), waited, time_limit, jitter);
        self.state = SpanState::BackingOff { until: now + pause };
    }

    pub(super) fn fail_endpoint_lost(&mut self) {
        let ran = if self.prefill_started {
            RanState::Yes
        } else {
            RanState::No
        };
        self.fail(AnswerEnd::new(ResultCode::EndpointLost).with_ran(ran));
    }

    /// Releases all members, since the blocks of a span are useless once one part is lost.
    pub(super) fn fail(&mut self, end: AnswerEnd) {
        self.finish();
        self.actions.push(SpanAction::Fail(end));
    }

    fn finish(&mut self) {
        self.release_all();
        self.state = SpanState::Finished;
    }

    fn release_all(&mut self) {
        let members = mem::take(&mut self.members);
        self.actions.extend(members.iter().map(SpanMember::release));
    }

    pub(super) fn parts(&self) -> Vec<SpanPart> {
        self.members
            .iter()
            .map(|member| member.part.clone())
            .collect()
    }

    pub(super) fn renew_interval(&self) -> Duration {
        self.plan.timing.hold / 3
    }

    fn take_actions(&mut self) -> Vec<SpanAction> {
        let wake_at = match self.state {
            SpanState::Choosing | SpanState::Finished => None,
            SpanState::Reserving { until } | SpanState::BackingOff { until } => Some(until),
            SpanState::Prefilling | SpanState::Decoding => Some(self.next_check()),
        };
        if wake_at.is_some() && wake_at != self.wake_at {
            self.actions.extend(wake_at.map(SpanAction::WakeAt));
        }
        self.wake_at = wake_at;
        mem::take(&mut self.actions)
    }
}
