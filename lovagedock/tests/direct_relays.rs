//! Tests how messages reach all gateways of a large fleet, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use lovagedock::{DomainRelays, RelayCandidate, SendPlan, prelude::*};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: usize = 5;
const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Time between two rounds of a relay.
const ROUND: Duration = Duration::from_millis(20);

/// News in the whole fleet in a second, whatever its size.
const NEWS_PER_SECOND: f64 = 200.0;

/// A message of one gateway that tells news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct News {
    origin: usize,
    number: u64,
}

#[derive(Clone, Debug)]
enum Packet {
    Message(Vec<News>),
    Upstream {
        is_subscribed: bool,
        news: Vec<News>,
    },
    Bundle {
        news: Vec<News>,
        present: Vec<usize>,
    },
}

struct SimulatedGateway {
    relays: DomainRelays,
    domain: usize,
    known: BTreeMap<News, Duration>,
    unsent: Vec<News>,
    from_members: Vec<News>,
    from_foreign: Vec<News>,
    present: BTreeSet<usize>,
    heartbeat_at: Duration,
    send_at: Duration,
    sent: u64,
    received: u64,
    /// Whether its messages are lost while it receives those of others.
    is_mute: bool,
    is_gone: bool,
}

struct SimulatedFleet {
    gateways: Vec<SimulatedGateway>,
    indices: HashMap<GatewayId, usize>,
    random: ChaCha8Rng,
    loss: f64,
    now: Duration,
    next_news: u64,
    published: BTreeMap<News, Duration>,
}

fn name(index: usize) -> GatewayId {
    format!("gateway-{index}").into()
}

impl SimulatedFleet {
    fn new(count: usize, loss: f64) -> Self {
        let now = Duration::from_secs(10);
        let candidate = |index: usize| RelayCandidate {
            domain: format!("domain-{}", index % DOMAINS).into(),
            capacity: if index.is_multiple_of(7) { 1000 } else { 90 },
        };
        let gateways = (0..count).map(|index| {
            let mut relays = DomainRelays::new(name(index), candidate(index));
            for other in 0..count {
                relays.record_listed(now, &name(other), &candidate(other));
            }
            SimulatedGateway {
                relays,
                domain: index % DOMAINS,
                known: BTreeMap::new(),
                unsent: Vec::new(),
                from_members: Vec::new(),
                from_foreign: Vec::new(),
                present: BTreeSet::new(),
                heartbeat_at: now + STEP * (index % 25) as u32,
                send_at: now,
                sent: 0,
                received: 0,
                is_mute: false,
                is_gone: false,
            }
        });
        Self {
            gateways: gateways.collect(),
            indices: (0..count).map(|index| (name(index), index)).collect(),
            random: ChaCha8Rng::seed_from_u64(7),
            loss,
            now,
            next_news: 0,
            published: BTreeMap::new(),
        }
    }

    fn run(&mut self, time: Duration, with_news: bool) {
        let end = self.now + time;
        while self.now < end {
            if with_news
                && self
                    .random
                    .random_bool(NEWS_PER_SECOND * STEP.as_secs_f64() / 2.0)
            {
                self.publish();
                self.publish();
            }
            for index in 0..self.gateways.len() {
                for (to, packet) in self.send(index) {
                    self.gateways[index].sent += 1;
                    let is_lost = self.gateways[index].is_mute
                        || (self.loss > 0.0 && self.random.random_bool(self.loss));
                    if !is_lost && !self.gateways[to].is_gone {
                        self.receive(to, index, packet);
                    }
                }
            }
            self.now += STEP;
        }
    }

    fn publish(&mut self) {
        let origin = self.random.random_range(0..self.gateways.len());
        if self.gateways[origin].is_gone || self.gateways[origin].is_mute {
            return;
        }
        let news = News {
            origin,
            number: self.next_news,
        };
        self.next_news += 1;
        self.published.insert(news, self.now);
        self.gateways[origin].known.insert(news, self.now);
        self.gateways[origin].unsent.push(news);
    }

    fn send(&mut self, index: usize) -> Vec<(usize, Packet)> {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        let is_due = now >= gateway.heartbeat_at;
        let has_news = !gateway.unsent.is_empty()
            || !gateway.from_members.is_empty()
            || !gateway.from_foreign.is_empty();
        if gateway.is_gone || now < gateway.send_at || !(is_due || has_news) {
            return Vec::new();
        }
        let plan = gateway.relays.plan(now);
        let own = std::mem::take(&mut gateway.unsent);
        let from_members = std::mem::take(&mut gateway.from_members);
        let from_foreign = std::mem::take(&mut gateway.from_foreign);
        if is_due {
            gateway.heartbeat_at = now + HEARTBEAT;
        }
        gateway.send_at = now + STEP;
        let upstream = |is_subscribed| Packet::Upstream {
            is_subscribed,
            news: own.clone(),
        };
        let mut packets = Vec::new();
        match plan {
            SendPlan::Direct => {
                let others = (0..self.gateways.len()).filter(|other| *other != index);
                packets.extend(others.map(|other| (other, Packet::Message(own.clone()))));
            }
            SendPlan::Member { relays } => {
                let relays = relays.iter().enumerate();
                packets
                    .extend(relays.map(|(rank, relay)| (self.indices[relay], upstream(rank == 0))));
            }
            SendPlan::Relay {
                domain_relays,
                members,
                foreign_relays,
            } => {
                gateway.send_at = now + ROUND;
                let mut own_present = Vec::new();
                let mut all_present = Vec::new();
                if is_due {
                    let present = gateway.relays.present_members(now);
                    own_present = present.iter().map(|name| self.indices[name]).collect();
                    all_present = own_present.clone();
                    all_present.extend(std::mem::take(&mut gateway.present));
                }
                if is_due || !own.is_empty() {
                    let relays = domain_relays.iter();
                    packets.extend(relays.map(|relay| (self.indices[relay], upstream(false))));
                }
                let of_domain = [own.clone(), from_members].concat();
                let all = [of_domain.clone(), from_foreign].concat();
                let member_bundle = Packet::Bundle {
                    news: all,
                    present: all_present,
                };
                let foreign_bundle = Packet::Bundle {
                    news: of_domain,
                    present: own_present,
                };
                let members = members.iter();
                packets.extend(members.map(|member| (self.indices[member], member_bundle.clone())));
                let foreign = foreign_relays.iter();
                packets.extend(foreign.map(|relay| (self.indices[relay], foreign_bundle.clone())));
            }
        }
        packets
    }

    fn receive(&mut self, index: usize, from: usize, packet: Packet) {
        let now = self.now;
        let is_foreign = self.gateways[from].domain != self.gateways[index].domain;
        let gateway = &mut self.gateways[index];
        gateway.received += 1;
        gateway.relays.record_heard(now, &name(from));
        match packet {
            Packet::Message(news) => {
                gateway.learn(now, news);
            }
            Packet::Upstream {
                is_subscribed,
                news,
            } => {
                let learnt = gateway.learn(now, news);
                gateway.from_members.extend(learnt);
                gateway
                    .relays
                    .record_member(now, &name(from), is_subscribed);
            }
            Packet::Bundle { news, present } => {
                gateway.relays.record_relayed(now, &name(from));
                let learnt = gateway.learn(now, news);
                if is_foreign {
                    gateway.from_foreign.extend(learnt);
                    gateway.present.extend(&present);
                }
                for other in present {
                    gateway.relays.record_heard(now, &name(other));
                }
            }
        }
    }

    /// Returns the share of the news, published before the last second, that all gateways that are
    /// there have learnt within `limit`.
    fn delivered(&self, since: Duration, limit: Duration) -> f64 {
        let last = self.now - Duration::from_secs(1);
        let published = self
            .published
            .iter()
            .filter(|(_, at)| (since..last).contains(*at));
        let published: Vec<(&News, &Duration)> = published.collect();
        let is_alive = |gateway: &&SimulatedGateway| !gateway.is_gone && !gateway.is_mute;
        let alive = self.gateways.iter().filter(is_alive);
        let alive: Vec<&SimulatedGateway> = alive.collect();
        let is_delivered = |(news, at): &&(&News, &Duration)| {
            alive.iter().all(|gateway| {
                let learnt_at = gateway.known.get(*news);
                learnt_at.is_some_and(|learnt_at| *learnt_at - **at <= limit)
            })
        };
        published.iter().filter(is_delivered).count() as f64 / published.len().max(1) as f64
    }

    fn relay_of(&self, domain: usize) -> usize {
        let members = self.gateways.iter().map(|gateway| gateway.domain == domain);
        let members = members.enumerate().filter(|(_, is_member)| *is_member);
        let sent = members.map(|(index, _)| (self.gateways[index].sent, index));
        sent.max().map_or(0, |(_, index)| index)
    }

    fn reset_counts(&mut self) {
        for gateway in &mut self.gateways {
            gateway.sent = 0;
            gateway.received = 0;
        }
    }

    /// Datagrams sent and received by the middle gateway and by the busiest one.
    fn traffic(&self) -> (u64, u64) {
        let counts = self.gateways.iter();
        let mut counts: Vec<u64> = counts
            .map(|gateway| gateway.sent + gateway.received)
            .collect();
        counts.sort_unstable();
        (counts[counts.len() / 2], counts[counts.len() - 1])
    }
}

impl SimulatedGateway {
    /// Returns the news that were not known.
    fn learn(&mut self, now: Duration, news: Vec<News>) -> Vec<News> {
        let mut learnt = news;
        learnt.retain(|news| self.known.insert(*news, now).is_none());
        learnt
    }
}

/// Guards against messages that grow with the square of the fleet.
#[test]
fn datagrams_of_a_gateway_do_not_grow_with_a_large_fleet() {
    let mut middle = Vec::new();
    for count in [150, 300, 600] {
        let mut fleet = SimulatedFleet::new(count, 0.0);
        fleet.run(Duration::from_secs(1), true);
        fleet.reset_counts();
        let start = fleet.now;
        let time = Duration::from_secs(2);
        fleet.run(time, true);
        let (typical, busiest) = fleet.traffic();
        let per_second = |datagrams: u64| datagrams as f64 / time.as_secs_f64();
        assert!(
            per_second(typical) <= 80.0,
            "{count}: {typical} at the middle one"
        );
        let members = count / DOMAINS;
        let most = (members + 3 * DOMAINS) as f64 * 60.0 + members as f64 * 20.0;
        assert!(
            per_second(busiest) <= most,
            "{count}: {busiest} at the busiest one"
        );
        middle.push(per_second(typical));
        let limit = Duration::from_millis(120);
        let delivered = fleet.delivered(start, limit);
        assert!(delivered >= 1.0, "{count}: {delivered} within {limit:?}");
    }
    assert!(middle[2] <= middle[0] * 1.3, "{middle:?}");
}

/// Guards against small fleets whose messages take longer than they must.
#[test]
fn a_small_fleet_sends_directly() {
    let mut fleet = SimulatedFleet::new(24, 0.0);
    fleet.run(Duration::from_secs(2), true);
    let limit = Duration::from_millis(10);
    assert_eq!(fleet.delivered(Duration::ZERO, limit), 1.0);
}

struct FaultCase {
    name: &'static str,
    /// Gateways that end: the relays of this many domains.
    gone: usize,
    /// Gateways whose messages are lost while they receive: the relays of this many domains.
    mute: usize,
    /// Whether these are heard again after a second.
    heals: bool,
    loss: f64,
    /// Least share of the news that all learn, from two seconds after the fault on.
    least: f64,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase {
        name: "a relay ends",
        gone: 1,
        mute: 0,
        heals: false,
        loss: 0.0,
        least: 1.0,
    },
    FaultCase {
        name: "the relays of all domains end",
        gone: DOMAINS,
        mute: 0,
        heals: false,
        loss: 0.0,
        least: 1.0,
    },
    FaultCase {
        name: "a relay receives and is not heard",
        gone: 0,
        mute: 1,
        heals: false,
        loss: 0.0,
        least: 1.0,
    },
    FaultCase {
        name: "relays are not heard for a second, and others have taken over",
        gone: 0,
        mute: DOMAINS,
        heals: true,
        loss: 0.0,
        least: 1.0,
    },
    FaultCase {
        name: "a message in a thousand is lost",
        gone: 1,
        mute: 0,
        heals: false,
        loss: 0.001,
        least: 0.7,
    },
];

/// Guards against gateways that hear nothing for long after their relay failed.
#[test]
fn news_reach_all_after_relays_fail() {
    for case in FAULT_CASES {
        let mut fleet = SimulatedFleet::new(150, case.loss);
        fleet.run(Duration::from_secs(1), true);
        for domain in 0..case.gone {
            let relay = fleet.relay_of(domain);
            fleet.gateways[relay].is_gone = true;
        }
        for domain in 0..case.mute {
            let relay = fleet.relay_of(domain);
            fleet.gateways[relay].is_mute = true;
        }
        fleet.run(Duration::from_secs(1), true);
        if case.heals {
            let gateways = fleet.gateways.iter_mut();
            gateways.for_each(|gateway| gateway.is_mute = false);
        }
        fleet.run(Duration::from_secs(1), true);
        let recovered_at = fleet.now;
        fleet.run(Duration::from_secs(3), true);
        let delivered = fleet.delivered(recovered_at, Duration::from_millis(400));
        assert!(delivered >= case.least, "{}: {delivered}", case.name);
    }
}

/// Guards against a gateway that is gone and stays among those that are there.
#[test]
fn a_gateway_that_ends_is_reported_as_silent() {
    let mut fleet = SimulatedFleet::new(150, 0.0);
    fleet.run(Duration::from_secs(1), true);
    let relay = fleet.relay_of(0);
    let member = (0..150).find(|index| index % DOMAINS == 0 && *index != relay);
    let member = member.expect("a domain has more than its relay");
    fleet.gateways[member].is_gone = true;
    fleet.run(Duration::from_millis(1300), true);
    let now = fleet.now;
    let relays = &mut fleet.gateways[relay].relays;
    assert!(relays.take_silent(now).contains(&name(member)));
    assert!(!relays.take_silent(now).contains(&name(member)));
    assert!(!relays.present_members(now).contains(&name(member)));
}
