//! Endpoints whose responses announce that they are leaving or ask for backoff, over real sockets.

mod direct_support;

use std::time::{Duration, Instant};

use direct_support::{NoticeFleet, call, wait_until};
use tokio::{task::JoinSet, time::sleep};

/// Header line of a response from an endpoint that is leaving.
const LEAVING: &str = "x-leaving: 1\r\n";

/// Pause of a caller after each request.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// Guards against leaving and backoff notices that are missing from the log.
#[tokio::test]
async fn notices_of_endpoints_are_logged() {
    let fleet = NoticeFleet::start(1, 3).await;
    let gateway = fleet.gateways[0].address();
    fleet.endpoints[0].reject_with("x-retry-after: 0.3\r\n");
    fleet.endpoints[1].serve_with(LEAVING);
    for id in 0..6 {
        call(gateway, "/safe/x", &format!("{id}")).await;
    }
    let count = |message| fleet.lines.with_message(message).len();
    wait_until(|| count("endpoint backoff ended") > 0).await;
    assert!(count("endpoint asked for backoff") > 0);
    assert!(count("endpoint is leaving") > 0);
    fleet.endpoints[0].reject_with("x-retry-after: -3\r\n");
    for id in 6..12 {
        call(gateway, "/safe/x", &format!("{id}")).await;
    }
    assert_eq!(count("malformed endpoint backoff ignored"), 1);
}

/// Time after a leaving notice from which an endpoint may get no new request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Guards against new requests to an endpoint that announces in its responses that it is leaving,
/// while discovery still lists it as ready.
#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_requests() {
    let mut fleet = NoticeFleet::start(3, 3).await;
    fleet.start_callers(12, "/safe/", CALL_PAUSE);
    sleep(Duration::from_millis(300)).await;
    let leaving = fleet.endpoints[0].clone();
    leaving.serve_with(LEAVING);
    sleep(DRAIN_TIME).await;
    let drained = Instant::now();
    sleep(Duration::from_secs(2)).await;
    let late = leaving.arrivals_between(drained, Instant::now());
    assert_eq!(late, 0, "{late} requests after the notice");
    let others = fleet.endpoints[1].arrivals_between(drained, Instant::now());
    assert!(others > 0, "the other endpoints serve");
}

/// Guards against requests to a leaving endpoint from gateways that have not received a response
/// from it.
#[tokio::test]
async fn peers_learn_of_a_leaving_endpoint() {
    let fleet = NoticeFleet::start(2, 1).await;
    let leaving = &fleet.endpoints[0];
    leaving.serve_with(LEAVING);
    let response = call(fleet.gateways[0].address(), "/safe/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    wait_until(|| fleet.lines.with_message("endpoint is leaving").len() == 2).await;
    let notified_at = Instant::now();
    let response = call(fleet.gateways[1].address(), "/safe/x", "2").await;
    assert_eq!(response.status(), 503, "{}", response.text);
    assert_eq!(leaving.arrivals_between(notified_at, Instant::now()), 0);
}

struct BackoffCase {
    route: &'static str,
}

const BACKOFF_CASES: &[BackoffCase] = &[
    BackoffCase { route: "/safe/" },
    BackoffCase { route: "/once/" },
    BackoffCase { route: "/stream/" },
];

/// Backoff that the endpoint asks for.
const BACKOFF_TIME: Duration = Duration::from_secs(3);

/// Start of the backoff in which requests are not counted.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);

/// Requests that may arrive in the rest of the backoff.
const MAX_BACKOFF_REQUESTS: usize = 2;

/// Guards against an endpoint that gets requests in the backoff that it asked for, or none after
/// the backoff.
#[tokio::test]
async fn an_endpoint_in_backoff_gets_no_requests() {
    let mut runs = JoinSet::new();
    for case in BACKOFF_CASES {
        runs.spawn(async move {
            let mut fleet = NoticeFleet::start(1, 2).await;
            let endpoint = fleet.endpoints[0].clone();
            endpoint.reject_with(&format!("x-retry-after: {}\r\n", BACKOFF_TIME.as_secs()));
            fleet.start_callers(6, case.route, CALL_PAUSE);
            wait_until(|| endpoint.first_arrival().is_some()).await;
            let asked_at = endpoint.first_arrival().expect("a request arrived");
            sleep(BACKOFF_TIME).await;
            endpoint.serve_with("");
            let end = asked_at + BACKOFF_TIME;
            let during_backoff = endpoint.arrivals_between(asked_at + BACKOFF_GRACE, end);
            assert!(
                during_backoff <= MAX_BACKOFF_REQUESTS,
                "{}: {during_backoff} requests in the backoff",
                case.route
            );
            sleep(Duration::from_secs(1)).await;
            let after_backoff = endpoint.arrivals_between(end, Instant::now());
            assert!(
                after_backoff > 0,
                "{}: no request after the backoff",
                case.route
            );
        });
    }
    while let Some(run) = runs.join_next().await {
        run.expect("the backoff is kept");
    }
}

/// Guards against requests that wait for a backoff that ends after their waiting time.
#[tokio::test]
async fn requests_in_a_backoff_of_all_endpoints_are_refused_with_retry_after() {
    let fleet = NoticeFleet::start(1, 1).await;
    let gateway = fleet.gateways[0].address();
    fleet.endpoints[0].reject_with("x-retry-after: 3\r\n");
    let first = call(gateway, "/safe/x", "1").await;
    assert_eq!(first.status(), 503, "{}", first.text);
    let sent_at = Instant::now();
    let refused = call(gateway, "/safe/x", "2").await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    assert!(
        sent_at.elapsed() < Duration::from_millis(500),
        "the request is refused without waiting"
    );
    let retry_after = refused.header("retry-after");
    let retry_after: f64 = retry_after
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    assert!((2.0..=5.0).contains(&retry_after), "{}", refused.text);
}
