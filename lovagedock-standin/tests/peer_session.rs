//! Contract of the sessions between gateways, with the test at the other end.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use lovagedock::{
    ConfigBundle, ConfigManifest, EndEvidence, FleetConfig, Generation, PartEnd, PartReport,
    PartUpdate, ProcessEnd, PromptParts, PullAnswer, SuspectUpdate, UsageAck, UsageReport,
    parse_config,
};
use lovagedock_platform::{canonical_json, split_chunks};
use lovagedock_standin::{
    FaultCommand, FaultKind, PlatformOptions, PlatformStandin,
    fleet::{FleetPlan, LocalFleet, RunningGateway},
};
use lovagedock_wire::{PROTOCOL_VERSION, PeerClient, PeerHandler, PeerIdentity, serve_peer};
use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
};

const CALL_TIME: Duration = Duration::from_secs(20);
const LOOKS: usize = 1_200;
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Nobody listens here.
const NOWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Nor here.
const ELSEWHERE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 2);

fn config(others: &[(&str, SocketAddr)]) -> FleetConfig {
    let gateway = |id: &str, address: SocketAddr| {
        json!({ "id": id, "host": format!("entry-{id}"), "failure_domain": "north",
            "peer_address": address.to_string() })
    };
    let others = others.iter().map(|(id, address)| gateway(id, *address));
    let gateways: Vec<_> = std::iter::once(gateway("g0", NOWHERE))
        .chain(others)
        .collect();
    let config = json!({
        "version": 1,
        "failure_domains": [{ "id": "north", "region": "r" }],
        "gateways": gateways,
        "models": [], "pools": [], "services": [], "organisations": [],
    });
    parse_config("test", &config.to_string()).expect("the configuration is valid")
}

fn plan(config: FleetConfig) -> FleetPlan {
    FleetPlan::new(config, Logger::root(Discard, o!()))
}

/// A whole configuration as a bundle.
fn whole(generation: Generation, config: &FleetConfig) -> ConfigBundle {
    let text = canonical_json(config).expect("serialisable");
    let chunks: Vec<Bytes> = split_chunks(&text).into_iter().map(|c| c.bytes).collect();
    let manifest = ConfigManifest::new(generation, &chunks);
    ConfigBundle {
        generation,
        digest: manifest.digest(),
        base: 0,
        prefix: 0,
        suffix: 0,
        middle: manifest.chunks.to_vec(),
        chunks,
    }
}

async fn connect(gateway: &RunningGateway) -> PeerClient {
    let address = gateway.gateway.peers_address();
    PeerClient::new(Box::new(TcpStream::connect(address).await.expect("open")))
}

fn identity(name: &str, generation: Generation) -> PeerIdentity {
    PeerIdentity {
        version: PROTOCOL_VERSION,
        name: name.to_owned(),
        incarnation: 1,
        generation,
        fleet: None,
    }
}

/// What another gateway pushes to one that has generation 2 in force.
struct PushCase {
    name: &'static str,
    change: fn(ConfigBundle) -> ConfigBundle,
    pushed: Generation,
    after: Generation,
}

const PUSHES: &[PushCase] = &[
    PushCase {
        name: "an older generation, late",
        change: |bundle| bundle,
        pushed: 1,
        after: 2,
    },
    PushCase {
        name: "the generation in force with other content",
        change: |bundle| bundle,
        pushed: 2,
        after: 2,
    },
    PushCase {
        name: "a newer generation with the digest of another",
        change: |bundle| ConfigBundle {
            digest: [7; 32],
            ..bundle
        },
        pushed: 3,
        after: 2,
    },
    PushCase {
        name: "a newer generation with a damaged chunk",
        change: |mut bundle| {
            bundle.chunks[0] = Bytes::from_static(b"damaged");
            bundle
        },
        pushed: 3,
        after: 2,
    },
    PushCase {
        name: "a change of a generation that is not here",
        change: |bundle| ConfigBundle { base: 1, ..bundle },
        pushed: 3,
        after: 2,
    },
    PushCase {
        name: "a newer generation, whole",
        change: |bundle| bundle,
        pushed: 3,
        after: 3,
    },
];

/// A peer pushes what is old, damaged or built on something else. The gateway's answer tells what
/// it has, which no such push changes, and its callers go on under the rules in force. A newer
/// generation that is whole is taken. A peer that has not said who it is changes nothing.
#[tokio::test]
async fn only_a_newer_and_whole_push_is_taken() {
    LocalSet::new().run_until(push_all()).await;
}

async fn push_all() {
    let fleet = LocalFleet::start(plan(config(&[]))).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.apply(1).await.expect("accepted");
    let client = connect(&fleet.gateways[0]).await;
    let other = config(&[("g1", ELSEWHERE)]);
    let unnamed = client.push(&whole(9, &other), CALL_TIME).await;
    assert!(unnamed.expect("an answer") < 9);
    let hello = client.hello(&identity("g1", 0), CALL_TIME).await;
    hello.expect("a welcome");
    until("generation 2", async || {
        let answer = client.pull(0, CALL_TIME).await.expect("an answer");
        answer.generation == 2
    })
    .await;
    for case in PUSHES {
        let before = client.pull(0, CALL_TIME).await.expect("an answer");
        let bundle = (case.change)(whole(case.pushed, &other));
        let answered = client.push(&bundle, CALL_TIME).await;
        assert_eq!(answered, Ok(case.after), "{}", case.name);
        let after = client.pull(0, CALL_TIME).await.expect("an answer");
        let is_kept = after == before;
        assert_eq!(is_kept, case.after == 2, "{}", case.name);
    }
    let nothing = client.pull(3, CALL_TIME).await.expect("an answer");
    let expected = PullAnswer {
        generation: 3,
        bundle: None,
    };
    assert_eq!(nothing, expected);
}

/// A gateway as another one sees it; answers each pull with the whole, also when that is old.
struct PeerStandin {
    name: &'static str,
    bundle: RefCell<Option<ConfigBundle>>,
    pulls: RefCell<Vec<Generation>>,
    suspects: RefCell<Vec<SuspectUpdate>>,
    parts: RefCell<Vec<PartUpdate>>,
}

impl PeerStandin {
    fn generation(&self) -> Generation {
        let bundle = self.bundle.borrow();
        bundle.as_ref().map_or(0, |bundle| bundle.generation)
    }

    async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let standin = Rc::clone(&self);
            spawn_local(async move {
                let _ended = serve_peer(Box::new(stream), standin).await;
            });
        }
    }
}

impl PeerHandler for PeerStandin {
    fn hello(&self, _peer: PeerIdentity) -> PeerIdentity {
        identity(self.name, self.generation())
    }

    fn push(&self, _bundle: ConfigBundle) -> Generation {
        self.generation()
    }

    fn offer(&self, _generation: Generation) {}

    fn pull(&self, above: Generation) -> PullAnswer {
        self.pulls.borrow_mut().push(above);
        PullAnswer {
            generation: self.generation(),
            bundle: self.bundle.borrow().clone(),
        }
    }

    fn usage(&self, _report: UsageReport) -> Option<UsageAck> {
        None
    }

    fn suspects(&self, news: Vec<SuspectUpdate>) {
        self.suspects.borrow_mut().extend(news);
    }

    fn parts(&self, news: Vec<PartUpdate>) {
        self.parts.borrow_mut().extend(news);
    }
}

/// A gateway starts while the platform is down and asks the two peers of its settings. One of them
/// was cut off for long and has an old configuration. The gateway serves by the newer one, and an
/// old answer or push that comes later does not take it back.
#[tokio::test]
async fn the_highest_of_several_peers_wins_at_the_start() {
    LocalSet::new().run_until(start_in_outage()).await;
}

async fn start_in_outage() {
    let platform = PlatformStandin::start(PlatformOptions::default()).await;
    let platform = platform.expect("the platform starts");
    platform.set_fault(FaultCommand::new(FaultKind::Down));
    let mut addresses = Vec::new();
    let mut peers = Vec::new();
    for name in ["old", "new"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        addresses.push(listener.local_addr().expect("bound"));
        let peer = Rc::new(PeerStandin {
            name,
            bundle: RefCell::new(None),
            pulls: RefCell::default(),
            suspects: RefCell::default(),
            parts: RefCell::default(),
        });
        spawn_local(Rc::clone(&peer).serve(listener));
        peers.push(peer);
    }
    let accepted = config(&[("old", addresses[0]), ("new", addresses[1])]);
    peers[0].bundle.replace(Some(whole(4, &accepted)));
    peers[1].bundle.replace(Some(whole(5, &accepted)));
    let plan = plan(accepted.clone());
    let spec = &accepted.gateways[0];
    let gateway = plan.start_gateway(spec, platform.url(), addresses).await;
    let gateway = gateway.expect("it starts");

    let client = connect(&gateway).await;
    let hello = client.hello(&identity("old", 4), CALL_TIME).await;
    hello.expect("a welcome");
    until("generation 5", async || {
        let answer = client.pull(0, CALL_TIME).await.expect("an answer");
        answer.generation == 5
    })
    .await;
    for peer in &peers {
        assert_eq!(peer.pulls.borrow().first(), Some(&0), "{}", peer.name);
    }
    let answered = client.push(&whole(4, &accepted), CALL_TIME).await;
    assert_eq!(answered, Ok(5));
    for peer in &peers {
        peer.bundle.replace(Some(whole(3, &accepted)));
        peer.pulls.borrow_mut().clear();
    }
    // One comparison is made at a time: with the second the answer to the first was taken.
    until("peers that lost their state are asked again", async || {
        let pulls = peers.iter().map(|peer| peer.pulls.borrow().len());
        pulls.sum::<usize>() >= 2
    })
    .await;
    let answer = client.pull(0, CALL_TIME).await.expect("an answer");
    assert_eq!(answer.generation, 5);
}

/// All kinds of news of requests that end engines arrive as they were told.
#[tokio::test]
async fn news_of_suspects_arrives() {
    LocalSet::new().run_until(tell_suspects()).await;
}

async fn tell_suspects() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let peer = Rc::new(PeerStandin {
        name: "told",
        bundle: RefCell::default(),
        pulls: RefCell::default(),
        suspects: RefCell::default(),
        parts: RefCell::default(),
    });
    spawn_local(Rc::clone(&peer).serve(listener));
    let stream = TcpStream::connect(address).await.expect("it listens");
    let client = PeerClient::new(Box::new(stream));
    let ended = |process, evidence| SuspectUpdate::Ended(7, ProcessEnd { process, evidence });
    let news = [
        ended(u64::MAX, EndEvidence::Strong),
        ended(1, EndEvidence::Weak),
        SuspectUpdate::Served(u64::MAX),
        SuspectUpdate::Quarantined(9, Duration::from_millis(600_000)),
    ];
    let told = client.suspects(&news, CALL_TIME).await;
    told.expect("the peer takes it");
    assert_eq!(*peer.suspects.borrow(), news);
    let end = PartEnd {
        process: u64::MAX,
        request: 3,
        evidence: EndEvidence::Weak,
        ran_for: Duration::from_millis(97),
        age: Duration::from_millis(1500),
        is_trial: true,
    };
    let parts = PromptParts::from_slice(&[u64::MAX, 5]);
    let news = [
        PartUpdate::Ended {
            parts: parts.clone(),
            end,
        },
        PartUpdate::Answered {
            part: 5,
            age: Duration::from_millis(20),
        },
        PartUpdate::Trial {
            parts,
            request: 11,
            rank: u64::MAX,
            time_left: Duration::from_secs(2),
        },
        PartUpdate::Quarantined(PartReport {
            part: 5,
            ends: vec![
                end,
                PartEnd {
                    age: Duration::ZERO,
                    ..end
                },
            ],
            quarantined_for: Duration::from_secs(600),
        }),
    ];
    let told = client.parts(&news, CALL_TIME).await;
    told.expect("the peer takes it");
    assert_eq!(*peer.parts.borrow(), news);
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..LOOKS {
        if holds().await {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    panic!("never happened: {what}");
}
