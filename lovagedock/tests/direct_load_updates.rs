//! Tests of the loads that gateways send to each other.

use std::time::Duration;

use lovagedock::{
    EndpointProcess, LoadUpdates, MessageOrder, PeerLoad, PeerSequences, PlacedWork, WorkKey,
    WorkLedger, prelude::*,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn process(number: usize) -> EndpointProcess {
    EndpointProcess::new(format!("engine-{number}"), 1)
}

fn peer() -> GatewayId {
    "peer".into()
}

fn work(number: usize) -> PlacedWork {
    PlacedWork {
        endpoint: process(number),
        prefill_time: ms(20),
        context: 5_000,
        gap: Some(ms(200)),
        short: true,
        value: 1.5,
        suspect: false,
    }
}

/// A gateway with its ledger and the loads it has sent.
#[derive(Default)]
struct SendingGateway {
    ledger: WorkLedger,
    updates: LoadUpdates,
}

impl SendingGateway {
    /// Returns the loads due at `now`, with every endpoint as fast as declared.
    fn send_due(&mut self, now: Timestamp) -> Vec<(EndpointProcess, PeerLoad)> {
        self.updates.take_due(now, &mut self.ledger, |_| 1.0)
    }
}

struct SendCase {
    name: &'static str,
    /// When the work ends, if it does.
    ends: Option<u64>,
    /// Times at which the gateway may send, and whether it does.
    sent: &'static [(u64, bool)],
}

#[test]
fn loads_are_sent_on_change_and_repeated_while_they_last() {
    let cases = [
        SendCase {
            name: "work that lasts is sent again each second",
            ends: None,
            sent: &[
                (0, true),
                (8, false),
                (900, false),
                (1_000, true),
                (1_900, false),
                (2_000, true),
            ],
        },
        SendCase {
            name: "an end is sent once, and nothing after it",
            ends: Some(500),
            sent: &[
                (0, true),
                (400, false),
                (500, true),
                (508, false),
                (9_000, false),
            ],
        },
        SendCase {
            name: "work that ended before it was sent",
            ends: Some(0),
            sent: &[(0, true), (8, false), (1_008, false)],
        },
    ];
    for case in cases {
        let mut gateway = SendingGateway::default();
        let mut key = Some(gateway.ledger.place(ms(0), work(0)));
        for (at, expected) in case.sent {
            if case.ends.is_some_and(|end| end <= *at)
                && let Some(key) = key.take()
            {
                gateway.ledger.finish(ms(*at), key);
            }
            let sent = gateway.send_due(ms(*at));
            assert_eq!(!sent.is_empty(), *expected, "{}, at {at} ms", case.name);
        }
    }
}

/// Guards against messages that grow with the endpoints that a gateway has once used.
///
/// In an hour a gateway uses every endpoint of a fleet of hundreds, two at a time. If all of them
/// were sent each second, peers would spend most of their time on reports of idle endpoints.
#[test]
fn idle_endpoints_are_not_sent() {
    let mut gateway = SendingGateway::default();
    let mut sent = 0;
    for number in 0..172 {
        let now = ms(number as u64 * 500);
        let key = gateway.ledger.place(now, work(number));
        sent += gateway.send_due(now).len();
        gateway.ledger.finish(now + ms(400), key);
        sent += gateway.send_due(now + ms(400)).len();
    }
    assert_eq!(sent, 2 * 172, "each start and each end once");
    assert_eq!(gateway.ledger.own_loads().count(), 0);
}

/// Guards against prefills that are not counted after a peer had no work on an endpoint.
///
/// The peer's total is reset when its work has ended. If only the difference to the former total
/// were counted, the second prompt would add nothing, and the engine would get another one.
#[test]
fn a_reset_total_counts_in_full() {
    let mut sender = SendingGateway::default();
    let mut receiver = WorkLedger::new();
    receiver.apply_peer_loads(ms(0), &peer(), []);
    for at in [0, 3_000] {
        let key = sender.ledger.place(ms(at), work(0));
        receiver.apply_peer_loads(ms(at), &peer(), sender.send_due(ms(at)));
        assert_eq!(
            receiver.load(ms(at), &process(0)).backlog,
            ms(20),
            "at {at} ms"
        );
        sender.ledger.finish(ms(at + 500), key);
        receiver.apply_peer_loads(ms(at + 500), &peer(), sender.send_due(ms(at + 500)));
        let load = receiver.load(ms(at + 500), &process(0));
        assert_eq!((load.occupied, load.backlog), (0, ms(0)), "at {at} ms");
    }
}

/// Guards against a slot that stays occupied because the message about its end was lost.
///
/// The message that a peer's last request on an endpoint has ended is lost. The peer sends nothing
/// more about the endpoint, since it has no work there, but its messages about other endpoints
/// arrive.
#[test]
fn a_lost_end_message_does_not_occupy_a_slot_forever() {
    let mut sender = SendingGateway::default();
    let mut receiver = WorkLedger::new();
    let ended = sender.ledger.place(ms(0), work(0));
    let lasting = sender.ledger.place(ms(0), work(1));
    receiver.apply_peer_loads(ms(0), &peer(), sender.send_due(ms(0)));
    sender.ledger.finish(ms(100), ended);
    let _lost = sender.send_due(ms(100));
    for at in (250..5_000).step_by(250) {
        receiver.apply_peer_loads(ms(at), &peer(), sender.send_due(ms(at)));
        assert!(receiver.forget_silent(ms(at)).is_empty());
    }
    assert_eq!(receiver.load(ms(5_000), &process(0)).occupied, 0, "ended");
    assert_eq!(receiver.load(ms(5_000), &process(1)).occupied, 1, "lasting");
    sender.ledger.finish(ms(5_000), lasting);
}

const ENDPOINTS: usize = 12;

/// Time after which the receiver's loads are correct again, once datagrams arrive reliably.
const SETTLE_TIME: Duration = Duration::from_millis(4_000);

struct LossCase {
    name: &'static str,
    /// Datagrams per hundred that are lost, and that are duplicated.
    lost: u32,
    duplicated: u32,
    /// Maximum delay of a datagram.
    delay: Duration,
    /// Whether the sender crashes at the end, instead of only placing no more work.
    crashes: bool,
}

/// A datagram in transit: arrival time, sequence number, content.
type Datagram = (Timestamp, u64, Vec<(EndpointProcess, PeerLoad)>);

/// A sender and a receiver connected by an unreliable network.
struct LossyPair {
    sender: SendingGateway,
    receiver: WorkLedger,
    order: PeerSequences,
    in_transit: Vec<Datagram>,
    running: Vec<(Timestamp, WorkKey)>,
    sequence: u64,
    random: ChaCha8Rng,
}

impl LossyPair {
    fn new(seed: u64) -> Self {
        Self {
            sender: SendingGateway::default(),
            receiver: WorkLedger::new(),
            order: PeerSequences::new(),
            in_transit: Vec::new(),
            running: Vec::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn place_random_work(&mut self, now: Timestamp) {
        if self.random.random_bool(0.2) {
            let placed = work(self.random.random_range(0..ENDPOINTS));
            let key = self.sender.ledger.place(now, placed);
            let ends = now + ms(self.random.random_range(10..2_500));
            self.running.push((ends, key));
        }
        self.finish_due(now);
    }

    fn finish_due(&mut self, now: Timestamp) {
        for (_, key) in self.running.extract_if(.., |(ends, _)| *ends <= now) {
            self.sender.ledger.finish(now, key);
        }
    }

    fn send(&mut self, now: Timestamp, case: &LossCase) {
        let loads = self.sender.send_due(now);
        if loads.is_empty() && self.random.random_bool(0.9) {
            return;
        }
        self.sequence += 1;
        let copies = 1 + u32::from(self.random.random_ratio(case.duplicated, 100));
        for _ in 0..copies {
            if self.random.random_ratio(case.lost, 100) {
                continue;
            }
            let delay = case.delay.mul_f64(self.random.random());
            let datagram = (now + delay, self.sequence, loads.clone());
            self.in_transit.push(datagram);
        }
    }

    fn receive(&mut self, now: Timestamp) {
        let mut arrived: Vec<Datagram> = self
            .in_transit
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        arrived.sort_by_key(|(at, ..)| *at);
        for (_, sequence, loads) in arrived {
            if self.order.record(&peer(), 1, sequence) == MessageOrder::Latest {
                self.receiver.apply_peer_loads(now, &peer(), loads);
            }
        }
        self.receiver.forget_silent(now);
    }

    fn occupied(&self, now: Timestamp, ledger: &WorkLedger) -> Vec<u32> {
        let endpoints = 0..ENDPOINTS;
        endpoints
            .map(|number| ledger.load(now, &process(number)).occupied)
            .collect()
    }
}

/// Guards against work that has ended but keeps an endpoint occupied after message loss.
///
/// A gateway places and ends work for eight seconds. Datagrams are lost, duplicated, delayed and
/// overtake each other, so a peer counts free slots as occupied and misses some that are occupied.
/// Once datagrams arrive reliably, or once the gateway has crashed, the peer's loads are correct
/// again within four seconds.
#[test]
fn loads_converge_after_message_loss() {
    let cases = [
        LossCase {
            name: "a third is lost",
            lost: 33,
            duplicated: 0,
            delay: ms(5),
            crashes: false,
        },
        LossCase {
            name: "delayed and out of order",
            lost: 0,
            duplicated: 0,
            delay: ms(300),
            crashes: false,
        },
        LossCase {
            name: "all faults combined",
            lost: 60,
            duplicated: 30,
            delay: ms(300),
            crashes: false,
        },
        LossCase {
            name: "the gateway crashes",
            lost: 10,
            duplicated: 10,
            delay: ms(50),
            crashes: true,
        },
    ];
    let reliable = LossCase {
        name: "reliable",
        lost: 0,
        duplicated: 0,
        delay: ms(2),
        crashes: false,
    };
    for case in cases {
        for seed in 0..20 {
            let mut pair = LossyPair::new(seed);
            let end = ms(8_000);
            for at in (0..8_000).step_by(8) {
                pair.place_random_work(ms(at));
                pair.send(ms(at), &case);
                pair.receive(ms(at));
            }
            for at in (8_000..12_000).step_by(8) {
                if !case.crashes {
                    pair.finish_due(ms(at));
                    pair.send(ms(at), &reliable);
                }
                pair.receive(ms(at));
            }
            let now = end + SETTLE_TIME;
            let expected = match case.crashes {
                true => vec![0; ENDPOINTS],
                false => pair.occupied(now, &pair.sender.ledger),
            };
            let received = pair.occupied(now, &pair.receiver);
            assert_eq!(received, expected, "{}, seed {seed}", case.name);
        }
    }
}

/// Guards against a slow engine that peers forget because the gateway that measured it has no work
/// there any more.
///
/// A gateway measured twice the declared time on an engine and has no work there now. If this were
/// sent only once, peers would forget the slowdown after some seconds and place short prompts
/// there, all of which would be late.
#[test]
fn a_slowdown_is_sent_until_it_ends() {
    let mut gateway = SendingGateway::default();
    let key = gateway.ledger.place(ms(0), work(0));
    gateway.ledger.finish(ms(100), key);
    let mut send_due = |at: u64, slowdown: f64| {
        let sent = gateway
            .updates
            .take_due(ms(at), &mut gateway.ledger, |_| slowdown);
        sent.first().map(|(_, load)| load.slowdown)
    };
    assert_eq!(send_due(100, 2.1), Some(2.0), "in steps of a half");
    assert_eq!(send_due(600, 2.0), None);
    assert_eq!(send_due(1_100, 2.0), Some(2.0), "again each second");
    assert_eq!(send_due(1_600, 1.0), Some(1.0), "fast again");
    assert_eq!(send_due(9_000, 1.0), None);
}
