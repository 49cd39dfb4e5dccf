//! What gateways tell each other of their loads.

use std::time::Duration;

use lovagedock::{EndpointLife, LoadNews, PeerLoad, PlacedWork, WorkLedger, prelude::*};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn life(number: usize) -> EndpointLife {
    EndpointLife::new(format!("engine-{number}"), 1)
}

fn peer() -> GatewayId {
    "peer".into()
}

fn work(number: usize) -> PlacedWork {
    PlacedWork {
        endpoint: life(number),
        reading: ms(20),
        context: 5_000,
        gap: Some(ms(200)),
        short: true,
        value: 1.5,
    }
}

/// A gateway with its own ledger and what it told its peers.
#[derive(Default)]
struct TellingGateway {
    ledger: WorkLedger,
    news: LoadNews,
}

impl TellingGateway {
    /// What it tells at `now`, as the board does it.
    fn tell(&mut self, now: Timestamp) -> Vec<(EndpointLife, PeerLoad)> {
        let loads = self.ledger.own_loads();
        let loads: Vec<_> = loads
            .map(|(life, load)| (life.clone(), load.clone()))
            .collect();
        let told = self.news.take(now, loads);
        for (life, _) in told.iter().filter(|(_, load)| load.is_idle()) {
            self.ledger.rest(life);
        }
        told
    }
}

struct TellingCase {
    name: &'static str,
    /// When the work ends, if it does.
    ends: Option<u64>,
    /// Times at which the gateway may tell something, and whether it does.
    told: &'static [(u64, bool)],
}

#[test]
fn loads_are_told_when_they_change_and_while_they_last() {
    let cases = [
        TellingCase {
            name: "work that lasts is told again each second",
            ends: None,
            told: &[
                (0, true),
                (8, false),
                (900, false),
                (1_000, true),
                (1_900, false),
                (2_000, true),
            ],
        },
        TellingCase {
            name: "an end is told once, and nothing after it",
            ends: Some(500),
            told: &[
                (0, true),
                (400, false),
                (500, true),
                (508, false),
                (9_000, false),
            ],
        },
        TellingCase {
            name: "work that ended before it was told",
            ends: Some(0),
            told: &[(0, true), (8, false), (1_008, false)],
        },
    ];
    for case in cases {
        let mut gateway = TellingGateway::default();
        let mut key = Some(gateway.ledger.place(ms(0), work(0)));
        for (at, expected) in case.told {
            if case.ends.is_some_and(|end| end <= *at)
                && let Some(key) = key.take()
            {
                gateway.ledger.finish(ms(*at), key);
            }
            let told = gateway.tell(ms(*at));
            assert_eq!(!told.is_empty(), *expected, "{}, at {at} ms", case.name);
        }
    }
}

/// What a gateway says does not grow with the endpoints that it once used.
///
/// In an hour a gateway uses every endpoint of a fleet of hundreds, two at a time. Told all of them each
/// second, peers would spend most of their time on hearing that nothing is there.
#[test]
fn endpoints_of_former_requests_are_not_told() {
    let mut gateway = TellingGateway::default();
    let mut told = 0;
    for number in 0..172 {
        let now = ms(number as u64 * 500);
        let key = gateway.ledger.place(now, work(number));
        told += gateway.tell(now).len();
        gateway.ledger.finish(now + ms(400), key);
        told += gateway.tell(now + ms(400)).len();
    }
    assert_eq!(told, 2 * 172, "each start and each end once");
    assert_eq!(gateway.ledger.own_loads().count(), 0);
}

/// A gateway hears of all reading that a peer places, also after the peer had nothing there.
///
/// The peer's total begins anew when its work has ended. Taken as the difference to the former total,
/// the second prompt would count as nothing, and the engine would be given another one.
#[test]
fn a_total_that_begins_anew_counts_whole() {
    let mut sender = TellingGateway::default();
    let mut hearer = WorkLedger::new();
    hearer.hear(ms(0), &peer(), []);
    for at in [0, 3_000] {
        let key = sender.ledger.place(ms(at), work(0));
        hearer.hear(ms(at), &peer(), sender.tell(ms(at)));
        assert_eq!(hearer.load(ms(at), &life(0)).backlog, ms(20), "at {at} ms");
        sender.ledger.finish(ms(at + 500), key);
        hearer.hear(ms(at + 500), &peer(), sender.tell(ms(at + 500)));
        let load = hearer.load(ms(at + 500), &life(0));
        assert_eq!((load.occupied, load.backlog), (0, ms(0)), "at {at} ms");
    }
}

/// A slot whose end was never heard of is not kept for good.
///
/// The message that a peer's last request on an endpoint has ended is lost. The peer says nothing more of
/// the endpoint, since it has nothing there, and is heard all the time for others.
#[test]
fn a_lost_end_is_made_good() {
    let mut sender = TellingGateway::default();
    let mut hearer = WorkLedger::new();
    let ended = sender.ledger.place(ms(0), work(0));
    let lasting = sender.ledger.place(ms(0), work(1));
    hearer.hear(ms(0), &peer(), sender.tell(ms(0)));
    sender.ledger.finish(ms(100), ended);
    let _lost = sender.tell(ms(100));
    for at in (250..5_000).step_by(250) {
        hearer.hear(ms(at), &peer(), sender.tell(ms(at)));
        assert!(hearer.forget_silent(ms(at)).is_empty());
    }
    assert_eq!(hearer.load(ms(5_000), &life(0)).occupied, 0, "ended");
    assert_eq!(hearer.load(ms(5_000), &life(1)).occupied, 1, "lasting");
    sender.ledger.finish(ms(5_000), lasting);
}
