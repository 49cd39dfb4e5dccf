//! Simulation of gateways that share endpoints' rate limits, in virtual time.

use std::{collections::VecDeque, time::Duration};

use lovagedock::{
    AdvertisedLimit, EndpointProcess, GatewayCount, RateLimitEvent, RateLimits, RateUpdate,
    RateVerdict, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time from a request to its response.
const RESPONSE_TIME: Duration = Duration::from_millis(80);

/// Tick interval of a gateway.
const TICK: Duration = Duration::from_millis(250);

/// Length of the window in which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(4);

/// Time from the start of a run until requests are counted.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time from a gateway's first response with the limit until its requests are counted.
const GRACE_TIME: Duration = Duration::from_millis(500);

/// Time without a message after which a peer counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// How gateways share a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SharePolicy {
    /// The policy of [`RateLimits`].
    FewSenders,
    /// Each gateway sends an equal part of the rate, with its own bucket of one token.
    EqualParts,
}

/// Fault injected while the limit is in effect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Gateways restart in turn and lose their state.
    Restarts,
    /// Half of the gateways join in turn.
    Joins,
    /// The network is partitioned into two halves.
    Partition,
    /// Half of all messages are lost.
    MessageLoss,
}

struct ModelGateway {
    name: GatewayId,
    limits: RateLimits,
    is_running: bool,
    /// Tokens in the bucket of [`SharePolicy::EqualParts`].
    tokens: f64,
    /// When the latest message of each peer was received.
    last_received_at: Vec<Option<Timestamp>>,
    /// Pending responses: arrival time, and time at which the request was sent.
    responses: VecDeque<(Timestamp, Timestamp)>,
    /// When this process of the gateway first received a response.
    first_response_at: Option<Timestamp>,
}

struct LimitModel {
    policy: SharePolicy,
    fault: Fault,
    rate: f64,
    endpoint: EndpointProcess,
    gateways: Vec<ModelGateway>,
    /// Messages in transit, by arrival time: sender, receiver, content.
    messages: VecDeque<(Timestamp, usize, usize, Vec<RateUpdate>)>,
    arrivals: Vec<Timestamp>,
    /// Arrivals from gateways that had the limit for at least [`GRACE_TIME`].
    counted: Vec<Timestamp>,
    updates_sent: usize,
    random: ChaCha8Rng,
    now: Timestamp,
}

impl LimitModel {
    fn new(seed: u64, gateways: usize, rate: f64, policy: SharePolicy, fault: Fault) -> Self {
        let gateways = (0..gateways).map(|index| {
            let name: GatewayId = format!("gateway-{index}").into();
            ModelGateway {
                limits: RateLimits::new(name.clone()),
                name,
                is_running: fault != Fault::Joins || index % 2 == 0,
                tokens: 0.0,
                last_received_at: vec![Some(Duration::ZERO); gateways],
                responses: VecDeque::new(),
                first_response_at: None,
            }
        });
        Self {
            policy,
            fault,
            rate,
            endpoint: EndpointProcess::new("engine", 1),
            gateways: gateways.collect(),
            messages: VecDeque::new(),
            arrivals: Vec::new(),
            counted: Vec::new(),
            updates_sent: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
        }
    }

    /// Runs until `until` with `demand` requests per second at each gateway. The endpoint advertises its
    /// limit until `limited_until`.
    fn run(&mut self, until: Timestamp, demand: f64, limited_until: Timestamp) {
        while self.now < until {
            self.now += STEP;
            self.inject_fault();
            self.deliver();
            for index in 0..self.gateways.len() {
                if self.gateways[index].is_running {
                    self.step(index, demand, limited_until);
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let step = (self.now.as_millis() / STEP.as_millis()) as usize;
        let count = self.gateways.len();
        match self.fault {
            Fault::Restarts if step.is_multiple_of(20) => {
                let gateway = &mut self.gateways[step / 20 % count];
                gateway.limits = RateLimits::new(gateway.name.clone());
                gateway.responses.clear();
                gateway.first_response_at = None;
                gateway.tokens = 0.0;
            }
            Fault::Joins if step.is_multiple_of(20) => {
                self.gateways[(step / 20 * 2 + 1) % count].is_running = true;
            }
            _ => {}
        }
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        match self.fault {
            Fault::Partition => from % 2 == to % 2,
            Fault::MessageLoss => self.random.random_bool(0.5),
            _ => true,
        }
    }

    fn deliver(&mut self) {
        while let Some((at, from, to, _)) = self.messages.front() {
            if *at > self.now {
                break;
            }
            let (from, to) = (*from, *to);
            let Some((_, _, _, updates)) = self.messages.pop_front() else {
                break;
            };
            let sender = self.gateways[from].name.clone();
            let gateway = &mut self.gateways[to];
            gateway.last_received_at[from] = Some(self.now);
            for update in updates {
                gateway.limits.apply_update(self.now, &sender, update);
            }
        }
    }

    fn step(&mut self, index: usize, demand: f64, limited_until: Timestamp) {
        let (now, endpoint) = (self.now, self.endpoint.clone());
        let is_limited = now <= limited_until;
        let count = self.count(index);
        let is_tick = now.as_millis() % TICK.as_millis() == 0;
        let gateway = &mut self.gateways[index];
        while let Some((at, sent_at)) = gateway.responses.front().copied() {
            if at > now {
                break;
            }
            gateway.responses.pop_front();
            let advertised = match is_limited {
                true => AdvertisedLimit::Limited(self.rate),
                false => AdvertisedLimit::Unlimited,
            };
            gateway.limits.record(now, &endpoint, sent_at, advertised);
            gateway.first_response_at.get_or_insert(now);
        }
        if is_tick {
            gateway.limits.tick(now, count, |_| true);
        }
        let part = self.rate / count.known as f64;
        gateway.tokens = (gateway.tokens + part * STEP.as_secs_f64()).min(1.0);
        if self.random.random_bool(demand * STEP.as_secs_f64()) {
            gateway.limits.record_demand(now, &endpoint);
            if gateway.may_send(self.policy, now, &endpoint) {
                gateway.responses.push_back((now + RESPONSE_TIME, now));
                self.arrivals.push(now);
                if gateway
                    .first_response_at
                    .is_some_and(|at| now >= at + GRACE_TIME)
                {
                    self.counted.push(now);
                }
            }
        }
        let updates = gateway.limits.take_updates(now);
        let is_heartbeat = is_tick;
        if updates.is_empty() && !is_heartbeat {
            return;
        }
        self.updates_sent += updates.len();
        for to in 0..self.gateways.len() {
            if to == index || !self.is_delivered(index, to) {
                continue;
            }
            match updates.is_empty() {
                true => self.gateways[to].last_received_at[index] = Some(now),
                false => self
                    .messages
                    .push_back((now + STEP, index, to, updates.clone())),
            }
        }
    }

    fn count(&self, index: usize) -> GatewayCount {
        let gateway = &self.gateways[index];
        let mut count = GatewayCount {
            reachable: 1,
            known: 1,
        };
        for (peer, last_received_at) in gateway
            .last_received_at
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != index)
        {
            let is_reachable =
                last_received_at.is_some_and(|at| self.now.saturating_sub(at) <= SILENCE_TIMEOUT);
            count.reachable += usize::from(is_reachable && self.gateways[peer].is_running);
            count.known += usize::from(self.gateways[peer].is_running);
        }
        count
    }

    /// Returns the largest number of counted arrivals in any window of length [`COUNT_WINDOW`] that starts with an
    /// arrival at or after `since`.
    fn max_arrivals(&self, since: Timestamp) -> usize {
        let starts = self.counted.iter().filter(|start| **start >= since);
        let counts = starts.map(|start| {
            let from = self.counted.partition_point(|at| at < start);
            let to = self
                .counted
                .partition_point(|at| *at < *start + COUNT_WINDOW);
            to - from
        });
        counts.max().unwrap_or(0)
    }

    fn arrivals_between(&self, from: Timestamp, to: Timestamp) -> usize {
        let within = self.arrivals.iter().filter(|at| (from..to).contains(at));
        within.count()
    }
}

impl ModelGateway {
    fn may_send(
        &mut self,
        policy: SharePolicy,
        now: Timestamp,
        endpoint: &EndpointProcess,
    ) -> bool {
        if policy == SharePolicy::FewSenders || self.limits.rate(endpoint).is_none() {
            return !matches!(
                self.limits.admit(now, endpoint),
                RateVerdict::RateLimited { .. }
            );
        }
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

fn max_requests(rate: f64) -> usize {
    (1.5 * rate * COUNT_WINDOW.as_secs_f64() + 5.0) as usize
}

struct ShareCase {
    gateways: usize,
    rate: f64,
    demand: f64,
    fault: Fault,
}

const SHARE_CASES: &[ShareCase] = &[
    share_case(5, 1.0, 10.0, Fault::None),
    share_case(5, 2.1, 10.0, Fault::Restarts),
    share_case(5, 8.0, 10.0, Fault::Partition),
    share_case(5, 1.0, 0.5, Fault::MessageLoss),
    share_case(24, 1.0, 5.0, Fault::None),
    share_case(24, 2.1, 5.0, Fault::Restarts),
    share_case(24, 2.1, 5.0, Fault::Partition),
    share_case(24, 2.1, 5.0, Fault::MessageLoss),
    share_case(24, 12.0, 5.0, Fault::Joins),
    share_case(24, 2.0, 0.1, Fault::None),
    share_case(120, 2.0, 4.0, Fault::Joins),
];

const fn share_case(gateways: usize, rate: f64, demand: f64, fault: Fault) -> ShareCase {
    ShareCase {
        gateways,
        rate,
        demand,
        fault,
    }
}

/// Guards against shares that add up to more than an endpoint's limit, or that leave it unused.
#[test]
fn shares_stay_within_the_limit() {
    for case in SHARE_CASES {
        // Large fleets take long to simulate.
        let is_large = case.gateways > 100;
        let policies = match is_large {
            true => &[SharePolicy::FewSenders][..],
            false => &[SharePolicy::FewSenders, SharePolicy::EqualParts][..],
        };
        for seed in 1..=if is_large { 1 } else { 2 } {
            let mut lines = Vec::new();
            for policy in policies.iter().copied() {
                let mut model = LimitModel::new(seed, case.gateways, case.rate, policy, case.fault);
                let until = Duration::from_secs(if is_large { 12 } else { 20 });
                model.run(until, case.demand, until);
                let max = model.max_arrivals(SETTLE_TIME);
                let used = model.arrivals_between(ms(4_000), until) as f64;
                let used = used / (until - ms(4_000)).as_secs_f64();
                lines.push((policy, max, used, model.updates_sent));
            }
            println!(
                "{} gateways, rate {}, {:?}, seed {seed}: allowed {}, {lines:?}",
                case.gateways,
                case.rate,
                case.fault,
                max_requests(case.rate)
            );
            let (_, max, used, _) = lines[0];
            assert!(max <= max_requests(case.rate), "{max} requests");
            // At low demand, most of the limit may go unused, but the endpoint must still receive requests to
            // detect the end of its limit.
            let min = match case.demand > case.rate {
                true => case.rate / 2.0,
                false => 0.05,
            };
            assert!(used >= min, "{used} requests per second");
        }
    }
}

/// Guards against endpoints that stay throttled after their limit has ended.
#[test]
fn traffic_recovers_after_a_limit_ends() {
    for gateways in [1, 5, 24] {
        let mut model = LimitModel::new(1, gateways, 2.0, SharePolicy::FewSenders, Fault::None);
        model.run(Duration::from_secs(14), 5.0, Duration::from_secs(10));
        let expected = 5 * gateways;
        let arrived = model.arrivals_between(ms(13_000), ms(14_000));
        assert!(arrived * 2 > expected, "{arrived} of {expected}");
    }
}

struct ResponseCase {
    name: &'static str,
    sent_ms: u64,
    advertised: AdvertisedLimit,
    rate: Option<f64>,
}

/// Guards against outdated or malformed responses that remove a limit.
#[test]
fn outdated_responses_do_not_remove_a_limit() {
    let cases = [
        ResponseCase {
            name: "no limit, sent before the limit was received",
            sent_ms: 900,
            advertised: AdvertisedLimit::Unlimited,
            rate: Some(2.0),
        },
        ResponseCase {
            name: "no limit, sent after the limit was received",
            sent_ms: 1_100,
            advertised: AdvertisedLimit::Unlimited,
            rate: None,
        },
        ResponseCase {
            name: "malformed",
            sent_ms: 1_100,
            advertised: AdvertisedLimit::Malformed,
            rate: Some(2.0),
        },
        ResponseCase {
            name: "another limit",
            sent_ms: 900,
            advertised: AdvertisedLimit::Limited(0.0),
            rate: Some(0.0),
        },
    ];
    let endpoint = EndpointProcess::new("engine", 1);
    for case in cases {
        let mut limits = RateLimits::new("gateway".into());
        let limited = AdvertisedLimit::Limited(2.0);
        let event = limits.record(ms(1_000), &endpoint, ms(800), limited);
        let expected = RateLimitEvent::Changed {
            before: None,
            rate: Some(2.0),
        };
        assert_eq!(event, Some(expected), "{}", case.name);
        limits.record(ms(1_200), &endpoint, ms(case.sent_ms), case.advertised);
        assert_eq!(limits.rate(&endpoint), case.rate, "{}", case.name);
    }
}

/// Guards against applying the limit of a former process to its successor.
#[test]
fn a_restarted_endpoint_has_no_limit() {
    let (former, next) = (
        EndpointProcess::new("engine", 1),
        EndpointProcess::new("engine", 2),
    );
    let mut limits = RateLimits::new("gateway".into());
    limits.record(ms(1_000), &former, ms(900), AdvertisedLimit::Limited(0.5));
    assert_eq!(limits.verdict(ms(1_100), &next), RateVerdict::Unlimited);
    limits.forget(&former);
    assert_eq!(limits.verdict(ms(1_100), &former), RateVerdict::Unlimited);
}

/// Guards against endpoints that never receive a request again because their limit is close to zero.
#[test]
fn a_zero_limit_admits_a_request_every_ten_seconds() {
    let endpoint = EndpointProcess::new("engine", 1);
    let mut limits = RateLimits::new("gateway".into());
    limits.record(ms(1_000), &endpoint, ms(900), AdvertisedLimit::Limited(0.0));
    limits.record_demand(ms(1_000), &endpoint);
    let limited = RateVerdict::RateLimited { until: ms(11_000) };
    assert_eq!(limits.verdict(ms(1_000), &endpoint), limited);
    assert_eq!(limits.admit(ms(11_000), &endpoint), RateVerdict::Admitted);
    assert!(matches!(
        limits.admit(ms(11_001), &endpoint),
        RateVerdict::RateLimited { .. }
    ));
}

/// Guards against a caller that is refused on every retry because its gateway has given up its share of the
/// limit before the retry arrives.
#[test]
fn a_retry_after_the_longest_delay_is_admitted() {
    // The longest delay is a third of the longest deadline.
    let longest_retry_after = ms(5_000);
    for rate in [0.5, 1.0, 4.0] {
        let endpoint = EndpointProcess::new("engine", 1);
        let mut limits = RateLimits::new("gateway".into());
        limits.record(ms(900), &endpoint, ms(800), AdvertisedLimit::Limited(rate));
        limits.record_demand(ms(1_000), &endpoint);
        let retried_at = ms(1_000) + longest_retry_after;
        let mut now = ms(1_000);
        while now < retried_at {
            now += TICK;
            limits.tick(
                now,
                GatewayCount {
                    reachable: 1,
                    known: 1,
                },
                |_| true,
            );
        }
        limits.record_demand(retried_at, &endpoint);
        let verdict = limits.admit(retried_at, &endpoint);
        assert_eq!(verdict, RateVerdict::Admitted, "{rate}");
    }
}
