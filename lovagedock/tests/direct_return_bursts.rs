//! Returns of refused requests in a burst of 1.3 times the capacity, over all gateways.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{
    FlowKey, FlowLane, FlowUpdate, PoolFlow, QueueKind, RefusalLog, RefusedRequest, ReturnDecision,
    ReturnOutcome, ReturnSchedule, ReturnUpdate, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests that the pool can start per second, and those that it starts at once after a pause.
const CAPACITY: f64 = 300.0;
const MAX_FREE: f64 = 30.0;
/// Free starts that are kept from returning requests without a schedule.
const RESERVE: f64 = 15.0;
const KEY: FlowKey = (1, FlowLane::Short);
const STEP: u64 = 5;
const END: u64 = 16_000;
/// When the first gateway is killed, or all restart, in milliseconds.
const FAILURE_AT: u64 = 7_000;

/// Returns the rate of new requests in a second.
fn rate_in(second: u64) -> f64 {
    CAPACITY * if (4..9).contains(&second) { 1.3 } else { 0.7 }
}

/// Gateways and what fails meanwhile. One of them may get no messages.
#[derive(Clone, Copy, Default)]
struct Setup {
    is_random: bool,
    lost_percent: u32,
    late_ms: u64,
    has_deaf: bool,
    kills_first: bool,
    restarts_all: bool,
}

/// A setup, and the maximum share of its scheduled returns that gateways do not know. It follows from
/// the share of gateways that miss both messages.
struct BurstCase(&'static str, usize, f64, fn(&mut Setup));

const CASES: &[BurstCase] = &[
    BurstCase("some", 48, 0.0, |_| {}),
    BurstCase("one", 1, 0.0, |_| {}),
    BurstCase("fewer", 27, 0.0, |_| {}),
    BurstCase("many", 371, 0.0, |_| {}),
    BurstCase("killed", 48, 0.0, |setup| setup.kills_first = true),
    BurstCase("lost", 48, 0.08, |setup| setup.lost_percent = 20),
    BurstCase("late", 48, 0.0, |setup| setup.late_ms = 75),
    BurstCase("deaf", 48, 0.05, |setup| setup.has_deaf = true),
    BurstCase("restart", 48, 0.5, |setup| setup.restarts_all = true),
];

/// Guards against callers that return in vain, schedules that end with the gateway that made them,
/// and returns that take the place of new requests.
#[test]
fn scheduled_returns_find_spare_capacity() {
    for BurstCase(name, gateways, max_unknown, change) in CASES {
        let mut setup = Setup::default();
        change(&mut setup);
        let result = play(*gateways, setup);
        let unknown = result.followed.saturating_sub(result.on_time) as f64;
        assert!(
            unknown <= max_unknown * result.followed as f64,
            "{name}: {result:?}"
        );
        // They return into a tenth of the capacity and wait four times as long as new requests.
        let is_placed = result.placed_on_time * 10 >= result.on_time * 9;
        assert!(result.on_time > 0 && is_placed, "{name}: {result:?}");
        if setup.has_deaf || setup.lost_percent > 0 {
            // Gateways that do not hear each other cannot count each other's returns.
            continue;
        }
        for (second, count) in &result.on_time_in {
            // Rates are averages over two seconds, and refusals of which peers do not know yet fill
            // slots again.
            let rates = (second.saturating_sub(2)..=*second).map(rate_in);
            let spare = (CAPACITY - rates.fold(f64::MAX, f64::min)).max(CAPACITY * 0.1);
            let unheard = 0.6 * CAPACITY * (setup.late_ms + 25) as f64 / 1000.0;
            let most = spare + 3.0 * spare.sqrt() + unheard;
            assert!(*count <= most, "{name}: second {second}, {result:?}");
        }
    }
}

/// Guards against a schedule that serves callers no better than random delays under the same load.
#[test]
fn fewer_returns_are_refused_than_with_random_delays() {
    let mut setup = Setup::default();
    let scheduled = play(48, setup);
    setup.is_random = true;
    let random = play(48, setup);
    println!("scheduled {scheduled:?}\nrandom {random:?}");
    let refused = |result: &BurstResult| result.refused_again as f64 / result.returned as f64;
    assert!(refused(&scheduled) < refused(&random));
    assert!(scheduled.placed * 100 >= random.placed * 98);
}

#[derive(Debug, Default)]
struct BurstResult {
    placed: usize,
    /// Callers that returned, and of these the scheduled ones.
    returned: usize,
    followed: usize,
    refused_again: usize,
    on_time: usize,
    placed_on_time: usize,
    on_time_in: BTreeMap<u64, f64>,
}

/// A gateway with its own clock.
struct Gateway(Duration, PoolFlow, ReturnSchedule);

/// An attempt of a caller. Times are in milliseconds.
#[derive(Clone, Copy, Default)]
struct Visit {
    fingerprint: u64,
    arrived: u64,
    is_scheduled: bool,
    gateway: usize,
    was_refused: bool,
    is_on_time: bool,
    wait_until: u64,
}

struct Burst {
    setup: Setup,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    refusals: RefusalLog,
    /// Requests that can be started now.
    free: f64,
    waiting: Vec<Visit>,
    coming: BTreeMap<(u64, u64), Visit>,
    messages: BTreeMap<(u64, usize), (Vec<FlowUpdate>, Vec<ReturnUpdate>)>,
    result: BurstResult,
}

/// Plays a burst of five seconds, before and after which the pool has spare capacity.
fn play(gateways: usize, setup: Setup) -> BurstResult {
    let mut burst = Burst {
        setup,
        random: ChaCha8Rng::seed_from_u64(7),
        gateways: Vec::new(),
        refusals: RefusalLog::new(),
        free: 0.0,
        waiting: Vec::new(),
        coming: BTreeMap::new(),
        messages: BTreeMap::new(),
        result: BurstResult::default(),
    };
    let (mut due, mut visit) = (0.0, Visit::default());
    for now in (0..END).step_by(STEP as usize) {
        if now == 0 || (setup.restarts_all && now == FAILURE_AT) {
            burst.start_all(gateways);
        }
        burst.exchange(now);
        due += rate_in(now / 1000) * STEP as f64 / 1000.0;
        while due >= 1.0 {
            due -= 1.0;
            visit.fingerprint += 1;
            burst.arrive(now, visit);
        }
        let later = burst.coming.split_off(&(now + 1, 0));
        let returning = std::mem::replace(&mut burst.coming, later);
        returning
            .into_values()
            .for_each(|visit| burst.arrive(now, visit));
        burst.place(now);
    }
    burst.result
}

impl Burst {
    fn start_all(&mut self, gateways: usize) {
        self.refusals = RefusalLog::new();
        let random = &mut self.random;
        let gateways = (0..gateways).map(|_| {
            let flow = PoolFlow::new().with_phase(random.random());
            let clock = Duration::from_millis(random.random_range(0..1000));
            Gateway(clock, flow, ReturnSchedule::new())
        });
        self.gateways = gateways.collect();
    }

    fn is_dead(&self, now: u64, gateway: usize) -> bool {
        self.setup.kills_first && gateway == 0 && now >= FAILURE_AT
    }

    fn exchange(&mut self, now: u64) {
        let first = usize::from(self.is_dead(now, 0));
        let receivers = self.gateways.len() - 1;
        let time = Duration::from_millis(now);
        let gateways = self.gateways.iter_mut().enumerate();
        for (sender, Gateway(clock, flow, returns)) in gateways.skip(first) {
            let reports = flow.take_reports(*clock + time, receivers);
            let updates = returns.take_updates(*clock + time);
            if !reports.is_empty() || !updates.is_empty() {
                let arrives_at = now + 15 + self.setup.late_ms;
                self.messages
                    .insert((arrives_at, sender), (reports, updates));
            }
        }
        let later = self.messages.split_off(&(now + 1, 0));
        for ((_, sender), (reports, updates)) in std::mem::replace(&mut self.messages, later) {
            let name = GatewayId::from(format!("gateway-{sender}"));
            let receivers = self.gateways.iter_mut().enumerate();
            let receivers = receivers.skip(usize::from(self.setup.has_deaf));
            for (_, Gateway(clock, flow, returns)) in receivers.filter(|(to, _)| *to != sender) {
                let is_lost = self.random.random_range(0..100) < self.setup.lost_percent;
                if !is_lost {
                    let now = *clock + time;
                    reports
                        .iter()
                        .for_each(|report| flow.apply_report(now, &name, report));
                    updates
                        .iter()
                        .for_each(|update| returns.apply_update(now, update));
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, mut visit: Visit) {
        let time = Duration::from_millis(now);
        visit.gateway = self.random.random_range(0..self.gateways.len());
        visit.gateway += usize::from(self.is_dead(now, visit.gateway));
        let Gateway(clock, flow, returns) = &mut self.gateways[visit.gateway];
        let outcome = returns.record_return(*clock + time, visit.fingerprint);
        let is_return = self.refusals.is_return(time, visit.fingerprint);
        visit.is_on_time = outcome == Some(ReturnOutcome::OnTime);
        visit.was_refused = outcome.is_some() || is_return;
        if !visit.was_refused {
            visit.arrived = now;
            flow.record_arrival(*clock + time, KEY);
        }
        self.result.returned += usize::from(visit.was_refused);
        self.result.followed += usize::from(visit.is_scheduled);
        self.result.on_time += usize::from(visit.is_on_time);
        *self.result.on_time_in.entry(now / 1000).or_default() += f64::from(visit.is_on_time);
        // Shares of the objective of 300 ms, and of that of a returning request.
        visit.wait_until = now
            + match (visit.is_on_time, visit.was_refused) {
                (true, _) => 480,
                (false, true) => 1200,
                (false, false) => 120,
            };
        self.waiting.push(visit);
    }

    /// Places those that wait, scheduled returns among new requests and before other returns.
    fn place(&mut self, now: u64) {
        let time = Duration::from_millis(now);
        self.free = (self.free + CAPACITY * STEP as f64 / 1000.0).min(MAX_FREE);
        let gives_way = |visit: &Visit| visit.was_refused && !visit.is_on_time;
        self.waiting.sort_by_key(gives_way);
        for visit in std::mem::take(&mut self.waiting) {
            let reserve = if gives_way(&visit) { RESERVE } else { 0.0 };
            if self.free >= 1.0 + reserve {
                self.free -= 1.0;
                self.result.placed += 1;
                self.result.placed_on_time += usize::from(visit.is_on_time);
                let Gateway(clock, flow, _) = &mut self.gateways[visit.gateway];
                flow.record_start(*clock + time, KEY);
            } else if now >= visit.wait_until {
                self.refuse(now, visit);
            } else {
                self.waiting.push(visit);
            }
        }
    }

    fn refuse(&mut self, now: u64, mut visit: Visit) {
        let time = Duration::from_millis(now);
        let Gateway(clock, flow, returns) = &mut self.gateways[visit.gateway];
        flow.record_refusal(*clock + time, KEY);
        if visit.was_refused {
            self.result.refused_again += 1;
            return;
        }
        self.refusals.record(time, visit.fingerprint);
        let draw: f64 = self.random.random();
        let settings = QueueKind::Short.settings();
        let time_left = Duration::from_millis(visit.arrived + 10_000 - now);
        let request = RefusedRequest {
            fingerprint: visit.fingerprint,
            key: KEY,
            min_delay: settings.min_retry_after,
            max_delay: time_left.mul_f64(settings.max_retry_share),
        };
        let totals = flow.totals(*clock + time, KEY);
        let totals = totals.filter(|_| !self.setup.is_random);
        let decision =
            totals.map(|totals| returns.schedule(*clock + time, &request, &totals, draw));
        let spread = request.max_delay - request.min_delay;
        let delay = match decision {
            Some(ReturnDecision::Scheduled(delay)) => delay,
            Some(ReturnDecision::NoRoom) => request.max_delay,
            _ => request.min_delay + spread.mul_f64(draw),
        };
        visit.is_scheduled = matches!(decision, Some(ReturnDecision::Scheduled(_)));
        // Callers connect within 20 ms.
        let at = now + delay.as_millis() as u64 + 20;
        self.coming.insert((at, visit.fingerprint), visit);
    }
}
