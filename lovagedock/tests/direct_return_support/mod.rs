//! Simulation of gateways that refuse requests in a burst, and of callers that return.

use std::{collections::VecDeque, time::Duration};

use lovagedock::{
    FlowKey, FlowLane, FlowUpdate, PoolFlow, QueueDecision, QueueKind, RefusalLog, RefusedRequest,
    ReturnDecision, ReturnOutcome, ReturnSchedule, ReturnUpdate, WaitingQueue, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests that the pool can start per second; each occupies a slot for a second.
pub(crate) const CAPACITY: f64 = 300.0;

const KEY: FlowKey = (1, FlowLane::Short);
const STEP: Duration = Duration::from_millis(5);
const BURST: std::ops::Range<f64> = 4.0..9.0;
const END: Duration = Duration::from_secs(16);
const OBJECTIVE: Duration = Duration::from_millis(300);
const RETURN_SLACK: Duration = Duration::from_millis(900);
const DEADLINE: Duration = Duration::from_secs(10);
const CONNECT_TIME: Duration = Duration::from_millis(20);
/// When the first gateway is killed, or all restart.
const FAILURE_AT: Duration = Duration::from_secs(7);
/// Free slots that are kept from returning requests without a schedule.
const RESERVE: usize = 15;

/// How the delays of refused requests are chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ReturnMode {
    Scheduled,
    Random,
}

pub(crate) struct BurstCase {
    pub(crate) name: &'static str,
    pub(crate) gateways: usize,
    pub(crate) mode: ReturnMode,
    /// Messages that a receiver does not get.
    pub(crate) lost_percent: u32,
    pub(crate) repeated: bool,
    pub(crate) delay_ms: u64,
    /// Gateways whose messages nobody gets.
    pub(crate) silent: usize,
    /// Gateways that get no messages.
    pub(crate) deaf: usize,
    pub(crate) kills_first: bool,
    pub(crate) restarts_all: bool,
    /// Minimum share of the scheduled returns that are recognised.
    pub(crate) min_known: f64,
}

#[derive(Debug, Default)]
pub(crate) struct BurstResult {
    pub(crate) placed: usize,
    pub(crate) scheduled: usize,
    pub(crate) scheduled_after_restart: usize,
    /// Callers that returned, and of these the scheduled ones.
    pub(crate) returned: usize,
    pub(crate) followed: usize,
    pub(crate) refused_again: usize,
    pub(crate) on_time: usize,
    pub(crate) placed_on_time: usize,
    pub(crate) on_time_by_second: Vec<usize>,
}

/// Returns the rate of new requests, per second.
pub(crate) fn rate_at(second: f64) -> f64 {
    match BURST.contains(&second) {
        true => 1.3 * CAPACITY,
        false => 0.7 * CAPACITY,
    }
}

struct Gateway {
    /// Time of its clock at the start; clocks of gateways differ.
    clock: Duration,
    flow: PoolFlow,
    returns: ReturnSchedule,
    queues: [WaitingQueue; 2],
}

impl Gateway {
    fn new(random: &mut ChaCha8Rng) -> Self {
        Self {
            clock: Duration::from_millis(random.random_range(0..1000)),
            flow: PoolFlow::new().with_phase(random.random()),
            returns: ReturnSchedule::new(),
            queues: [QueueKind::Short, QueueKind::Returned]
                .map(|kind| WaitingQueue::new(kind.settings())),
        }
    }
}

#[derive(Clone, Copy)]
struct Caller {
    fingerprint: u64,
    deadline: Duration,
    is_scheduled: bool,
}

struct Waiting {
    gateway: usize,
    caller: Caller,
    kind: QueueKind,
    is_on_time: bool,
    ticket: (Duration, u64),
    until: Duration,
}

type Message = (Duration, usize, Vec<FlowUpdate>, Vec<ReturnUpdate>);

struct Burst<'a> {
    case: &'a BurstCase,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    refusals: RefusalLog,
    slots_busy: VecDeque<Duration>,
    waiting: Vec<Waiting>,
    returning: Vec<(Duration, Caller)>,
    messages: VecDeque<Message>,
    result: BurstResult,
}

/// Plays a burst of five seconds, before and after which the pool has spare capacity.
pub(crate) fn play_burst(case: &BurstCase) -> BurstResult {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let gateways = (0..case.gateways).map(|_| Gateway::new(&mut random));
    let mut burst = Burst {
        case,
        gateways: gateways.collect(),
        random,
        refusals: RefusalLog::new(),
        slots_busy: VecDeque::new(),
        waiting: Vec::new(),
        returning: Vec::new(),
        messages: VecDeque::new(),
        result: BurstResult {
            on_time_by_second: vec![0; END.as_secs() as usize],
            ..BurstResult::default()
        },
    };
    let (mut now, mut due, mut next) = (Duration::ZERO, 0.0, 0);
    while now < END {
        burst.fail(now);
        burst.exchange(now);
        burst.advance(now);
        due += rate_at(now.as_secs_f64()) * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            next += 1;
            let caller = Caller {
                fingerprint: next,
                deadline: now + DEADLINE,
                is_scheduled: false,
            };
            burst.arrive(now, caller);
        }
        let callers = std::mem::take(&mut burst.returning);
        let (arrived, later): (Vec<_>, _) = callers.into_iter().partition(|(at, _)| *at <= now);
        burst.returning = later;
        for (_, caller) in arrived {
            burst.result.returned += 1;
            burst.result.followed += usize::from(caller.is_scheduled);
            burst.arrive(now, caller);
        }
        now += STEP;
    }
    burst.result
}

impl Burst<'_> {
    fn fail(&mut self, now: Duration) {
        if self.case.restarts_all && now == FAILURE_AT {
            let random = &mut self.random;
            self.gateways.fill_with(|| Gateway::new(random));
            self.refusals = RefusalLog::new();
            self.waiting.clear();
        }
    }

    fn is_dead(&self, now: Duration, gateway: usize) -> bool {
        self.case.kills_first && gateway == 0 && now >= FAILURE_AT
    }

    fn exchange(&mut self, now: Duration) {
        for sender in self.case.silent..self.gateways.len() {
            let gateway = &mut self.gateways[sender];
            let waiting = gateway.queues[0].len();
            gateway.flow.set_waiting(KEY, waiting);
            let flows = gateway
                .flow
                .take_reports(gateway.clock + now, self.case.gateways - 1);
            let returns = gateway.returns.take_updates(gateway.clock + now);
            if flows.is_empty() && returns.is_empty() || self.is_dead(now, sender) {
                continue;
            }
            let at = now + Duration::from_millis(self.case.delay_ms);
            for _ in 0..=usize::from(self.case.repeated) {
                let message = (at, sender, flows.clone(), returns.clone());
                self.messages.push_back(message);
            }
        }
        while self.messages.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, sender, flows, returns)) = self.messages.pop_front() else {
                return;
            };
            let name = GatewayId::from(format!("gateway-{sender}"));
            let (deaf, total) = (self.case.deaf, self.gateways.len());
            for receiver in (total.min(deaf)..total).filter(|receiver| *receiver != sender) {
                if self.random.random_range(0..100) < self.case.lost_percent {
                    continue;
                }
                let gateway = &mut self.gateways[receiver];
                for flow in &flows {
                    gateway.flow.apply_report(gateway.clock + now, &name, flow);
                }
                for update in &returns {
                    gateway.returns.apply_update(gateway.clock + now, update);
                }
            }
        }
    }

    fn free_slots(&mut self, now: Duration) -> usize {
        self.slots_busy.retain(|until| *until > now);
        CAPACITY as usize - self.slots_busy.len().min(CAPACITY as usize)
    }

    /// Places waiting requests, and refuses those that have waited too long.
    fn advance(&mut self, now: Duration) {
        self.waiting
            .sort_by_key(|waiting| (waiting.kind.is_return(), waiting.ticket));
        let mut free = self.free_slots(now);
        for waiting in std::mem::take(&mut self.waiting) {
            let reserve = if waiting.kind.is_return() { RESERVE } else { 0 };
            let queue = &mut self.gateways[waiting.gateway].queues;
            let index = usize::from(waiting.kind.is_return());
            if free > reserve {
                free -= 1;
                queue[index].remove(&waiting.ticket);
                self.start(now, waiting.gateway, index, waiting.is_on_time);
            } else if now >= waiting.until {
                queue[index].remove(&waiting.ticket);
                let was_refused = waiting.kind.is_return() || waiting.is_on_time;
                self.refuse(now, waiting.gateway, waiting.caller, was_refused);
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    fn start(&mut self, now: Duration, gateway: usize, index: usize, is_on_time: bool) {
        let gateway = &mut self.gateways[gateway];
        gateway.flow.record_start(gateway.clock + now, KEY);
        gateway.queues[index].record_start(now);
        self.slots_busy.push_back(now + Duration::from_secs(1));
        self.result.placed += 1;
        self.result.placed_on_time += usize::from(is_on_time);
    }

    fn arrive(&mut self, now: Duration, caller: Caller) {
        let mut index = self.random.random_range(0..self.gateways.len());
        if self.is_dead(now, index) {
            index = 1;
        }
        let gateway = &mut self.gateways[index];
        let outcome = gateway
            .returns
            .record_return(gateway.clock + now, caller.fingerprint);
        let was_refused = outcome.is_some() || self.refusals.is_return(now, caller.fingerprint);
        let is_on_time = outcome == Some(ReturnOutcome::OnTime);
        if is_on_time {
            self.result.on_time += 1;
            self.result.on_time_by_second[now.as_secs() as usize] += 1;
        }
        let kind = QueueKind::new(false, was_refused && !is_on_time);
        if !was_refused {
            gateway.flow.record_arrival(gateway.clock + now, KEY);
        }
        let queue = usize::from(kind.is_return());
        let reserve = if kind.is_return() { RESERVE } else { 0 };
        if gateway.queues[queue].is_empty() && self.free_slots(now) > reserve {
            return self.start(now, index, queue, is_on_time);
        }
        let gateway = &mut self.gateways[index];
        gateway.flow.record_queued(gateway.clock + now, KEY);
        gateway.flow.set_waiting(KEY, gateway.queues[0].len());
        let is_known = self.case.mode == ReturnMode::Scheduled && !kind.is_return();
        let totals = gateway
            .flow
            .totals(gateway.clock + now, KEY)
            .filter(|_| is_known);
        let expected = totals.and_then(|totals| totals.expected_wait(kind.settings().min_rate));
        let slack = if was_refused {
            RETURN_SLACK
        } else {
            Duration::ZERO
        };
        let late_at = now + OBJECTIVE + slack;
        let time_left = caller.deadline - now;
        match gateway.queues[queue].decide(now, late_at, time_left, expected, 0.5) {
            QueueDecision::Wait { until } => {
                let ticket = gateway.queues[queue].enqueue(now + OBJECTIVE);
                self.waiting.push(Waiting {
                    gateway: index,
                    caller,
                    kind,
                    is_on_time,
                    ticket,
                    until,
                });
            }
            QueueDecision::Refuse { .. } => self.refuse(now, index, caller, was_refused),
        }
    }

    fn refuse(&mut self, now: Duration, gateway: usize, caller: Caller, was_refused: bool) {
        let gateway = &mut self.gateways[gateway];
        gateway.flow.record_refusal(gateway.clock + now, KEY);
        if was_refused {
            self.result.refused_again += 1;
            return;
        }
        self.refusals.record(now, caller.fingerprint);
        let draw: f64 = self.random.random();
        let settings = QueueKind::Short.settings();
        let time_left = caller.deadline - now;
        let random = gateway.queues[0].retry_after(Duration::ZERO, time_left, draw);
        let max_delay = time_left.mul_f64(settings.max_retry_share);
        let totals = gateway.flow.totals(gateway.clock + now, KEY);
        let is_mode = self.case.mode == ReturnMode::Scheduled;
        let decision = totals.filter(|_| is_mode).map(|totals| {
            let wait = totals.expected_wait(settings.min_rate).unwrap_or_default();
            let request = RefusedRequest {
                fingerprint: caller.fingerprint,
                key: KEY,
                min_delay: settings.min_retry_after.max(wait),
                max_delay,
            };
            gateway
                .returns
                .schedule(gateway.clock + now, &request, &totals, draw)
        });
        let (delay, is_scheduled) = match decision {
            Some(ReturnDecision::Scheduled(delay)) => (delay, true),
            Some(ReturnDecision::NoRoom) => (max_delay, false),
            Some(ReturnDecision::NotSchedulable) | None => (random, false),
        };
        self.result.scheduled += usize::from(is_scheduled);
        let since_failure = now.saturating_sub(FAILURE_AT);
        if now >= FAILURE_AT && since_failure < Duration::from_secs(1) {
            self.result.scheduled_after_restart += usize::from(is_scheduled);
        }
        let caller = Caller {
            is_scheduled,
            ..caller
        };
        self.returning.push((now + delay + CONNECT_TIME, caller));
    }
}
