//! Requests that end the processes that run them, over real sockets.
//!
//! Engines of a fleet ended in waves, 160 in 75 seconds, on all hosts. Callers with a request that ends
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

use direct_support::{CRASHING, CrashingFleet, TestGateway, call, until};
use tokio::time::sleep;

/// Processes that may end under one request: three until it is known for what it is, and three more
/// for what was on its way meanwhile. It is the most that operators accept.
const MOST_ENDS: usize = 6;

/// Times that a caller brings it.
const TIMES: usize = 12;

/// Hosts of the fleet.
const HOSTS: usize = 8;

/// Time between two visits of the caller, in which gateways hear of each other.
const VISIT_TIME: Duration = Duration::from_millis(60);

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
async fn bring_again(gateways: &[TestGateway], path: &str, first_id: usize) {
    for number in 0..TIMES {
        let gateway = &gateways[number % gateways.len()];
        let answer = call(gateway.address(), path, &format!("{}", first_id + number)).await;
        assert_ne!(answer.status(), 200, "{}", answer.text);
        sleep(VISIT_TIME).await;
    }
}

/// A request that ended three engines ends no more of them, whichever gateway it is brought to.
///
/// Three gateways hear each other. The caller asks the first one; it may send the request to a second
/// engine. Then he asks the next gateway, which has seen nothing of it itself.
#[tokio::test]
async fn a_request_that_ends_engines_is_stopped() {
    for case in CALLS {
        let fleet = CrashingFleet::start(HOSTS).await;
        let gateways = start_gateways(&fleet, 3).await;
        let path = format!("{}{CRASHING}", case.route);
        bring_again(&gateways, &path, 100).await;
        let ends = fleet.ends();
        assert!(
            (3..=MOST_ENDS).contains(&ends),
            "{}: {ends} ends",
            case.route
        );
    }
}

/// The same where gateways lose what they tell each other, but reach the store.
#[tokio::test]
async fn a_request_that_ends_engines_is_stopped_by_gateways_that_hear_nobody() {
    let fleet = CrashingFleet::start(HOSTS).await;
    fleet.feed.hide_addresses();
    let gateways = start_gateways(&fleet, 3).await;
    bring_again(&gateways, &format!("/stream/{CRASHING}"), 100).await;
    let ends = fleet.ends();
    assert!((3..=MOST_ENDS).contains(&ends), "{ends} ends");
}

/// All gateways end at once after the request is known, and are started again under their names. What
/// they knew is gone with them; the caller comes back to the new ones.
#[tokio::test]
async fn a_request_that_ends_engines_is_known_after_a_restart() {
    let fleet = CrashingFleet::start(HOSTS).await;
    let path = format!("/stream/{CRASHING}");
    let gateways = start_gateways(&fleet, 2).await;
    bring_again(&gateways, &path, 100).await;
    drop(gateways);
    let before = fleet.ends();
    let gateways = start_gateways(&fleet, 2).await;
    // The engines that ended serve again, so that it would be sent if it were not known.
    until(|| fleet.serving() == HOSTS).await;
    bring_again(&gateways, &path, 200).await;
    let ends = fleet.ends();
    assert!(ends <= MOST_ENDS, "{before} ends before, {ends} after");
}
