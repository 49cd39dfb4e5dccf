//! Parts of prompts that crash the processes that answer them, over real sockets.

mod direct_support;

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use direct_support::{CRASHING_PART, CrashingFleet, TestGateway, call_with_parts, wait_until};
use lovagedock::PromptPart;
use tokio::{task::JoinSet, time::sleep};

/// Maximum number of processes that may end under one part: three until it is in quarantine, and
/// three more for requests that were already in flight.
const MAX_CRASHES: usize = 6;

/// Hosts of the fleet.
const HOSTS: usize = 8;

/// Number of requests with the crashing part, and time between two of them.
const SUBMISSIONS: usize = 25;
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(60);

/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

/// A part that all requests share.
const COMMON: PromptPart = 1;

async fn start_gateways(fleet: &CrashingFleet, numbers: Range<usize>) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for number in numbers {
        let name = format!("gateway-{number}");
        gateways.push(TestGateway::start(&name, &fleet.feed).await.ready().await);
    }
    gateways
}

fn addresses(gateways: &[TestGateway]) -> Vec<SocketAddr> {
    gateways.iter().map(TestGateway::address).collect()
}

/// Sends requests with the parts, no two of which are alike, each to the next gateway.
async fn send_different_requests(gateways: &[SocketAddr], route: &str, parts: &[PromptPart]) {
    let mut callers = JoinSet::new();
    for number in 0..SUBMISSIONS {
        let gateway = gateways[number % gateways.len()];
        let (path, id) = (format!("{route}{number}"), format!("{}", 1000 + number));
        let parts = parts.to_vec();
        callers.spawn(async move { call_with_parts(gateway, &path, &id, &parts).await });
        sleep(SUBMISSION_INTERVAL).await;
    }
    for response in callers.join_all().await {
        assert_ne!(response.status(), 200, "{}", response.text);
    }
}

/// Sound requests that share a part with the crashing ones.
struct SoundCallers {
    callers: JoinSet<()>,
    served: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
}

impl SoundCallers {
    fn start(gateways: &[SocketAddr]) -> Self {
        let (served, sent) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let mut callers = JoinSet::new();
        for gateway in gateways.iter().copied() {
            let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
            callers.spawn(async move {
                loop {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    let (served, id) = (Arc::clone(&served), format!("{}", 5000 + number));
                    tokio::spawn(async move {
                        let path = format!("/stream/sound-{number}");
                        let parts = [COMMON, 100 + number as PromptPart % 7];
                        let response = call_with_parts(gateway, &path, &id, &parts).await;
                        served.fetch_add(usize::from(response.is_complete()), Ordering::SeqCst);
                    });
                    sleep(SOUND_INTERVAL).await;
                }
            });
        }
        Self {
            callers,
            served,
            sent,
        }
    }

    /// Stops sending and returns the number of requests that were not served.
    async fn stop(mut self) -> usize {
        self.callers.shutdown().await;
        // A response takes 0.2 s.
        sleep(Duration::from_secs(1)).await;
        self.sent.load(Ordering::SeqCst) - self.served.load(Ordering::SeqCst)
    }
}

struct PartsCase {
    name: &'static str,
    route: &'static str,
    parts: &'static [PromptPart],
    has_sound_callers: bool,
    has_peer_contact: bool,
    has_store: bool,
}

const CASES: &[PartsCase] = &[
    PartsCase {
        name: "beside sound requests",
        route: "/stream/",
        parts: &[COMMON, CRASHING_PART],
        has_sound_callers: true,
        has_peer_contact: true,
        has_store: true,
    },
    PartsCase {
        name: "alone",
        route: "/stream/",
        parts: &[COMMON, CRASHING_PART],
        has_sound_callers: false,
        has_peer_contact: true,
        has_store: true,
    },
    PartsCase {
        name: "first in the prompt",
        route: "/stream/",
        parts: &[CRASHING_PART, COMMON],
        has_sound_callers: true,
        has_peer_contact: true,
        has_store: true,
    },
    PartsCase {
        name: "not a stream",
        route: "/safe/",
        parts: &[COMMON, CRASHING_PART],
        has_sound_callers: true,
        has_peer_contact: true,
        has_store: true,
    },
    PartsCase {
        name: "without peer contact",
        route: "/stream/",
        parts: &[COMMON, CRASHING_PART],
        has_sound_callers: true,
        has_peer_contact: false,
        has_store: true,
    },
    PartsCase {
        name: "without the store",
        route: "/stream/",
        parts: &[COMMON, CRASHING_PART],
        has_sound_callers: true,
        has_peer_contact: true,
        has_store: false,
    },
];

/// Guards against a part of prompts that crashes one engine after another because no two requests
/// with it are alike.
#[tokio::test]
async fn a_part_that_crashes_engines_is_quarantined() {
    for case in CASES {
        let fleet = CrashingFleet::start(HOSTS).await;
        if !case.has_peer_contact {
            fleet.feed.drop_peer_messages();
        }
        let gateways = start_gateways(&fleet, 0..3).await;
        let addresses = addresses(&gateways);
        fleet.feed.set_suspects_available(case.has_store);
        let sound = case
            .has_sound_callers
            .then(|| SoundCallers::start(&addresses));
        send_different_requests(&addresses, case.route, case.parts).await;
        let crashes = fleet.crashes();
        assert!(
            (3..=MAX_CRASHES).contains(&crashes),
            "{}: {crashes} crashes",
            case.name
        );
        if let Some(sound) = sound {
            sound.stop().await;
        }
        // Requests that share the other part are served as before.
        let later = SoundCallers::start(&addresses);
        sleep(SUBMISSION_INTERVAL * 10).await;
        assert_eq!(later.stop().await, 0, "{}: sound requests", case.name);
    }
}

/// Time from the last end until one request is sent to find out whether its parts end engines,
/// although no other part explains the ends.
const TRIAL_DELAY: Duration = Duration::from_millis(2500);

/// Guards against evidence by part that is lost when all gateways restart, or one of them: the ends
/// and the failed trial.
#[tokio::test]
async fn a_quarantine_of_a_part_survives_restarts() {
    for restarted in [1, 2] {
        let fleet = CrashingFleet::start(HOSTS).await;
        let mut gateways = start_gateways(&fleet, 0..2).await;
        let parts = [COMMON, CRASHING_PART];
        send_different_requests(&addresses(&gateways), "/stream/", &parts).await;
        let known = fleet.crashes();
        sleep(TRIAL_DELAY).await;
        send_different_requests(&addresses(&gateways), "/stream/", &parts).await;
        let before = fleet.crashes();
        assert_eq!(before, known + 1, "{restarted} restarted: one trial");
        gateways.truncate(2 - restarted);
        gateways.extend(start_gateways(&fleet, 2 - restarted..2).await);
        wait_until(|| fleet.serving() == HOSTS).await;
        sleep(TRIAL_DELAY).await;
        send_different_requests(&addresses(&gateways), "/stream/", &parts).await;
        assert_eq!(fleet.crashes(), before, "{restarted} restarted");
    }
}

/// Guards against a request with a part in quarantine that is not refused at once as not run.
#[tokio::test]
async fn a_request_with_a_part_in_quarantine_is_refused_as_not_run() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 0..2).await;
    let parts = [COMMON, CRASHING_PART];
    send_different_requests(&addresses(&gateways), "/once/", &parts).await;
    for gateway in &gateways {
        let response = call_with_parts(gateway.address(), "/once/new", "1", &parts).await;
        assert_eq!(response.status(), 503, "{}", response.text);
        assert!(response.text.contains("2014"), "{}", response.text);
        assert!(response.has_header("retry-after"), "{}", response.text);
    }
}
