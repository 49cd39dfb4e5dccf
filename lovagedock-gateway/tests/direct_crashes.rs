//! Requests that crash the processes that run them, over real sockets.
//!
//! Guards against a request that crashes one engine after another, on all hosts: 160 crashes in 70
//! seconds. Callers repeat the request at any gateway. Each gateway attributes the lost connection
//! to the engine, sends the request to another engine and returns 502, and the next gateway starts
//! over. Other requests on the same engines are cut off and share an engine with the crashing
//! request again when another engine resumes them. In the log, attempts with the same prompt length
//! end on many engines (18 in one case) as `Lost` without events, or as `Broken`.

mod direct_support;

use std::time::Duration;

use direct_support::{CRASHING, CrashingFleet, EVENTS, TestGateway, call, wait_until};
use tokio::time::sleep;

/// Maximum number of processes that may end under one request: three until it is quarantined, and
/// three more for copies that were already in flight. This is the most that operators accept.
const MAX_CRASHES: usize = 6;

/// Number of times that the caller sends the request.
const SUBMISSIONS: usize = 12;

/// Hosts of the fleet.
const HOSTS: usize = 8;

/// Time between two requests of the caller, in which gateways receive each other's updates.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(60);

/// A kind of request.
struct CallCase {
    /// Path prefix; the last path segment decides what the request does to engines.
    route: &'static str,
}

const CALLS: &[CallCase] = &[
    CallCase { route: "/stream/" },
    CallCase { route: "/safe/" },
    CallCase { route: "/once/" },
];

/// Starts gateways that follow the fleet's feed and waits until they serve.
async fn start_gateways(fleet: &CrashingFleet, count: usize) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let name = format!("gateway-{number}");
        gateways.push(TestGateway::start(&name, &fleet.feed).await.ready().await);
    }
    gateways
}

/// Sends the same request repeatedly, each time to the next gateway.
async fn send_repeatedly(gateways: &[TestGateway], path: &str, first_id: usize) {
    for number in 0..SUBMISSIONS {
        let gateway = &gateways[number % gateways.len()];
        let response = call(gateway.address(), path, &format!("{}", first_id + number)).await;
        assert_ne!(response.status(), 200, "{}", response.text);
        sleep(SUBMISSION_INTERVAL).await;
    }
}

/// Guards against a request that crashes more than three engines plus its copies in flight.
///
/// Three gateways receive each other's updates. The first one may send the request to a second
/// engine. The caller then repeats the request at the next gateway, which has no evidence of its
/// own.
#[tokio::test]
async fn a_request_that_crashes_engines_is_quarantined() {
    for case in CALLS {
        let fleet = CrashingFleet::start(HOSTS).await;
        let gateways = start_gateways(&fleet, 3).await;
        let path = format!("{}{CRASHING}", case.route);
        send_repeatedly(&gateways, &path, 100).await;
        let crashes = fleet.crashes();
        assert!(
            (3..=MAX_CRASHES).contains(&crashes),
            "{}: {crashes} crashes",
            case.route
        );
    }
}

/// Guards against a crashing request that is not quarantined by gateways that lose each other's
/// messages but reach the store.
#[tokio::test]
async fn a_crashing_request_is_quarantined_without_peer_contact() {
    let fleet = CrashingFleet::start(HOSTS).await;
    fleet.feed.drop_peer_messages();
    let gateways = start_gateways(&fleet, 3).await;
    send_repeatedly(&gateways, &format!("/stream/{CRASHING}"), 100).await;
    let crashes = fleet.crashes();
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
}

/// Guards against evidence that is lost when all gateways restart.
///
/// The gateways end after the quarantine and start again under the same names. The caller repeats
/// the request at the new ones.
#[tokio::test]
async fn crash_evidence_survives_a_restart_of_all_gateways() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let path = format!("/stream/{CRASHING}");
    let gateways = start_gateways(&fleet, 2).await;
    send_repeatedly(&gateways, &path, 100).await;
    drop(gateways);
    let before = fleet.crashes();
    let gateways = start_gateways(&fleet, 2).await;
    // The crashed engines serve again, so the request would be sent if the evidence were lost.
    wait_until(|| fleet.serving() == HOSTS).await;
    send_repeatedly(&gateways, &path, 200).await;
    let crashes = fleet.crashes();
    assert!(
        crashes <= MAX_CRASHES,
        "{before} crashes before, {crashes} after"
    );
}

/// Returns whether the response reports a quarantine, which has the result code 2014.
fn is_quarantined(text: &str) -> bool {
    text.contains("2014")
}

/// Guards against a quarantined request that is not refused at once with "not run" and a retry
/// delay.
#[tokio::test]
async fn a_request_in_quarantine_is_refused_as_not_run() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 2).await;
    let path = format!("/once/{CRASHING}");
    send_repeatedly(&gateways, &path, 100).await;
    for gateway in &gateways {
        let response = call(gateway.address(), &path, "1").await;
        assert_eq!(response.status(), 503, "{}", response.text);
        assert!(is_quarantined(&response.text), "{}", response.text);
        assert!(response.has_header("retry-after"), "{}", response.text);
    }
}

/// Guards against requests that are quarantined because they shared an engine with a crashing one.
///
/// Each caller streams repeatedly while the crashing request is sent. A stream that is cut off is
/// resumed at another engine. If that engine crashes too, the stream breaks and the caller repeats
/// the request.
#[tokio::test]
async fn callers_that_shared_crashed_engines_are_served() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 3).await;
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..12 {
        let gateway = gateways[number % gateways.len()].address();
        let path = format!("/stream/innocent-{number}");
        callers.spawn(async move {
            let mut last = call(gateway, &path, &format!("{}", 300 + number)).await;
            for round in 1..10 {
                assert!(!is_quarantined(&last.text), "{path}: {}", last.text);
                last = call(gateway, &path, &format!("{}", 300 + number + 20 * round)).await;
            }
            last
        });
    }
    send_repeatedly(&gateways, &format!("/stream/{CRASHING}"), 100).await;
    while let Some(response) = callers.join_next().await {
        let response = response.expect("no caller panics");
        assert!(response.is_complete(), "{}", response.text);
        assert_eq!(response.event_ids().len(), EVENTS as usize);
    }
}

/// Guards against a popular request that is quarantined after power cuts.
///
/// The request was served before. Then all engines lose power, three times, while they run it. If
/// these ends counted as evidence, the request would be refused for minutes.
#[tokio::test]
async fn a_popular_request_is_served_after_power_cuts() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 2).await;
    let first = call(gateways[0].address(), "/stream/popular", "1").await;
    assert!(first.is_complete(), "{}", first.text);
    for cut in 0..3 {
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..16 {
            let gateway = gateways[number % gateways.len()].address();
            let id = format!("{}", 100 + 16 * cut + number);
            callers.spawn(async move { call(gateway, "/stream/popular", &id).await });
        }
        sleep(SUBMISSION_INTERVAL).await;
        fleet.stop_all_processes();
        callers.join_all().await;
        wait_until(|| fleet.serving() == HOSTS).await;
    }
    for gateway in &gateways {
        let mut response = call(gateway.address(), "/stream/popular", "2").await;
        while !response.is_complete() {
            assert!(!is_quarantined(&response.text), "{}", response.text);
            response = call(gateway.address(), "/stream/popular", "3").await;
        }
    }
}

/// Guards against further crashes by copies of a request that wait on engines when it is
/// quarantined.
///
/// The same request is on five engines. Three of them crash at the same moment, and the other two
/// have it in their queues for longer. The gateways close these connections, and the engines drop
/// the request.
#[tokio::test]
async fn queued_copies_are_cancelled_on_quarantine() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 2).await;
    let last_run_time = SUBMISSION_INTERVAL * 6;
    let late = Duration::from_secs(20);
    let times = [
        last_run_time,
        last_run_time - SUBMISSION_INTERVAL,
        last_run_time - SUBMISSION_INTERVAL * 2,
    ];
    fleet.set_run_times(times.into_iter().chain([late; 5]));
    let path = format!("/once/{CRASHING}");
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..5 {
        let gateway = gateways[number % gateways.len()].address();
        let path = path.clone();
        callers.spawn(async move { call(gateway, &path, &format!("{}", 100 + number)).await });
        // In this time, the gateways receive each other's placements and choose other engines.
        sleep(SUBMISSION_INTERVAL).await;
    }
    for response in callers.join_all().await {
        assert_ne!(response.status(), 200, "{}", response.text);
    }
    assert_eq!(fleet.crashes(), 3);
}

/// Guards against a quarantine that ends when all gateways restart under the same names.
#[tokio::test]
async fn a_quarantine_survives_a_restart_of_all_gateways() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let gateways = start_gateways(&fleet, 2).await;
    let path = format!("/once/{CRASHING}");
    send_repeatedly(&gateways, &path, 100).await;
    drop(gateways);
    let before = fleet.crashes();
    let gateways = start_gateways(&fleet, 2).await;
    for gateway in &gateways {
        let response = call(gateway.address(), &path, "1").await;
        assert!(is_quarantined(&response.text), "{}", response.text);
    }
    assert_eq!(fleet.crashes(), before);
}
