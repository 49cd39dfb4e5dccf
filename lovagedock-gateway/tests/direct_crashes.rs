//! Requests that end the processes that run them, over real sockets.
//!
//! Engines of a fleet ended in waves, 160 in 70 seconds, on all hosts. Callers with a request that ends
//! every engine that runs it had asked for it again and again, at any gateway. A gateway took each lost
//! connection for the engine's fault, sent the request to the next one and told the caller 502, and the
//! next gateway began anew. All who had shared an engine with it were cut off, and those whose answers
//! went on elsewhere met it there again. What settled it were lines of one length over 18 engines:
//!
//! ```text
//! 41.119 edge-b-2 "attempt ended" end=Lost events=0 prompt=12039 endpoint=i-b913fd8987 next=EndpointLost
//! 41.420 edge-b-1 "attempt ended" end=Lost events=0 prompt=12039 endpoint=i-be9672960d next=Place
//! 41.420 edge-a-2 "attempt ended" end=Broken events=1 endpoint=i-be9672960d next=Place
//! 41.458 edge-b-1 "attempt ended" end=Lost events=0 prompt=12039 endpoint=i-11412dded3 next=EndpointLost
//! ```

mod direct_support;

use std::time::Duration;

use direct_support::{CRASHING, CrashingFleet, EVENTS, TestGateway, call, wait_until};
use tokio::time::sleep;

/// Processes that may end under one request: three until it is known for what it is, and three more
/// for what was on its way meanwhile. It is the most that operators accept.
const MAX_CRASHES: usize = 6;

/// Times that a caller brings it.
const SUBMISSIONS: usize = 12;

/// Hosts of the fleet.
const HOSTS: usize = 8;

/// Time between two visits of the caller, in which gateways hear of each other.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(60);

/// A kind of call.
struct CallCase {
    /// Where it is sent to; the last part names what it does to engines.
    route: &'static str,
}

const CALLS: &[CallCase] = &[
    CallCase { route: "/stream/" },
    CallCase { route: "/safe/" },
    CallCase { route: "/once/" },
];

/// Starts gateways that read the fleet's feed and waits until they serve.
async fn start_gateways(fleet: &CrashingFleet, count: usize) -> Vec<TestGateway> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let name = format!("gateway-{number}");
        gateways.push(TestGateway::start(&name, &fleet.feed).await.ready().await);
    }
    gateways
}

/// A caller brings the same request again and again, each time to the next gateway.
async fn send_repeatedly(gateways: &[TestGateway], path: &str, first_id: usize) {
    for number in 0..SUBMISSIONS {
        let gateway = &gateways[number % gateways.len()];
        let response = call(gateway.address(), path, &format!("{}", first_id + number)).await;
        assert_ne!(response.status(), 200, "{}", response.text);
        sleep(SUBMISSION_INTERVAL).await;
    }
}

/// A request that ended three engines ends no more of them, whichever gateway it is brought to.
///
/// Three gateways hear each other. The caller asks the first one; it may send the request to a second
/// engine. Then he asks the next gateway, which has seen nothing of it itself.
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

/// The same where gateways lose what they tell each other, but reach the store.
#[tokio::test]
async fn a_crashing_request_is_quarantined_without_peer_contact() {
    let fleet = CrashingFleet::start(HOSTS).await;
    fleet.feed.drop_peer_messages();
    let gateways = start_gateways(&fleet, 3).await;
    send_repeatedly(&gateways, &format!("/stream/{CRASHING}"), 100).await;
    let crashes = fleet.crashes();
    assert!((3..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
}

/// All gateways end at once after the request is known, and are started again under their names. What
/// they knew is gone with them; the caller comes back to the new ones.
#[tokio::test]
async fn crash_evidence_survives_a_restart_of_all_gateways() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let path = format!("/stream/{CRASHING}");
    let gateways = start_gateways(&fleet, 2).await;
    send_repeatedly(&gateways, &path, 100).await;
    drop(gateways);
    let before = fleet.crashes();
    let gateways = start_gateways(&fleet, 2).await;
    // The engines that ended serve again, so that it would be sent if it were not known.
    wait_until(|| fleet.serving() == HOSTS).await;
    send_repeatedly(&gateways, &path, 200).await;
    let crashes = fleet.crashes();
    assert!(
        crashes <= MAX_CRASHES,
        "{before} crashes before, {crashes} after"
    );
}

/// Whether an answer says that the request is in quarantine.
fn is_quarantined(text: &str) -> bool {
    text.contains("2014")
}

/// The caller is told at once that the request did not run, and when it may be tried again.
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

/// Callers whose answers were on engines that ended are served, then and afterwards.
///
/// Each of them streams again and again while the request that ends engines comes. An answer that was
/// cut off goes on elsewhere; where that engine ends as well it breaks, and the caller asks again.
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

/// A request that many ask is served after engines ended under it for another reason.
///
/// It was served before. Then the power of all engines is cut, three times, with the request on all of
/// them. Held against the request, nobody who asks the same would be served for minutes.
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

/// An engine that has not begun to run the request is spared when the request is found out.
///
/// The same request is on five engines. Three of them end at the same moment; the other two have it in
/// their queues for longer. Their connections are closed, and they drop it.
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
        // Gateways hear of each other's placements meanwhile and choose other engines.
        sleep(SUBMISSION_INTERVAL).await;
    }
    for response in callers.join_all().await {
        assert_ne!(response.status(), 200, "{}", response.text);
    }
    assert_eq!(fleet.crashes(), 3);
}

/// What is in quarantine stays there when all gateways end and others start under their names.
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
