//! Endpoints that advertise a request rate limit, over real sockets.

mod direct_support;

use std::time::{Duration, Instant};

use direct_support::{NoticeFleet, call, wait_until};
use tokio::{task::JoinSet, time::sleep};

/// Returns the header line that advertises `limit`, or an empty string for `None`.
fn limit_line(limit: Option<&str>) -> String {
    limit.map_or(String::new(), |limit| format!("x-limit: {limit}\r\n"))
}

/// Guards against rate limit changes that are missing from the log.
#[tokio::test]
async fn rate_limit_changes_are_logged() {
    let fleet = NoticeFleet::start(1, 1).await;
    let gateway = fleet.gateways[0].address();
    let lines = &fleet.lines;
    for (id, limit) in [Some("40"), Some("40"), Some("x"), Some("20"), None]
        .iter()
        .enumerate()
    {
        fleet.endpoints[0].serve_with(&limit_line(*limit));
        let response = call(gateway, "/safe/x", &format!("{id}")).await;
        assert_eq!(response.status(), 200, "{}", response.text);
    }
    wait_until(|| lines.with_message("endpoint rate limit changed").len() == 3).await;
    let rates = lines.with_message("endpoint rate limit changed");
    let rates: Vec<_> = rates
        .iter()
        .map(|line| &line["requests_per_second"])
        .collect();
    assert_eq!(
        rates,
        [40.0, 20.0]
            .map(|rate| rate.into())
            .iter()
            .chain([&serde_json::Value::Null])
            .collect::<Vec<_>>()
    );
    let malformed = lines.with_message("malformed endpoint rate limit ignored");
    assert_eq!(malformed.len(), 1);
}

/// Time from setting a limit until it is enforced.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for which the limit is checked.
const CHECK_TIME: Duration = Duration::from_secs(9);

/// Length of the window in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Returns the number of requests allowed in [`SPAN`] at a limit of `rate` per second.
fn max_requests(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64() + 5.0) as usize
}

struct RateLimitCase {
    advertised: &'static str,
    rate: f64,
}

const LIMIT_CASES: &[RateLimitCase] = &[
    RateLimitCase {
        advertised: "1",
        rate: 1.0,
    },
    RateLimitCase {
        advertised: "2.1",
        rate: 2.1,
    },
];

/// Guards against queueing requests that no endpoint can accept before their deadline, and against
/// endpoints that stay throttled after their limit has ended.
#[tokio::test]
async fn requests_over_the_limit_are_refused_with_retry_after() {
    let fleet = NoticeFleet::start(1, 1).await;
    let gateway = fleet.gateways[0].address();
    let endpoint = &fleet.endpoints[0];
    endpoint.serve_with(&limit_line(Some("0.5")));
    let first = call(gateway, "/safe/x", "1").await;
    assert_eq!(first.status(), 200, "{}", first.text);
    let sent_at = Instant::now();
    let refused = call(gateway, "/once/x", "2").await;
    assert_eq!(refused.status(), 503, "{}", refused.text);
    assert!(
        sent_at.elapsed() < Duration::from_millis(500),
        "the request is refused without waiting"
    );
    let retry_after = refused.header("retry-after");
    let retry_after: f64 = retry_after
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0);
    assert!((1.0..=5.0).contains(&retry_after), "{}", refused.text);
    endpoint.serve_with(&limit_line(None));
    sleep(Duration::from_secs_f64(retry_after + 0.1)).await;
    for id in 3..20 {
        let response = call(gateway, "/once/x", &format!("{id}")).await;
        assert_eq!(response.status(), 200, "{}", response.text);
    }
}

/// Guards against gateways that together exceed an endpoint's limit.
#[tokio::test]
async fn gateways_jointly_respect_an_endpoints_limit() {
    let mut runs = JoinSet::new();
    for case in LIMIT_CASES {
        runs.spawn(async move {
            let mut fleet = NoticeFleet::start(3, 4).await;
            fleet.start_callers(24, "/safe/", Duration::from_millis(100));
            let endpoint = fleet.endpoints[0].clone();
            endpoint.serve_with(&limit_line(Some(case.advertised)));
            sleep(SETTLE_TIME).await;
            let settled = Instant::now();
            sleep(CHECK_TIME).await;
            let max = endpoint.max_arrivals_in(SPAN, settled);
            let allowed = max_requests(case.rate);
            assert!(max <= allowed, "{}: {max} of {allowed}", case.advertised);
            // Guards against a limit that is left mostly unused.
            let min = (CHECK_TIME.as_secs_f64() * case.rate / 2.0) as usize;
            let arrived = endpoint.arrivals_between(settled, Instant::now());
            assert!(arrived >= min, "{}: {arrived} of {min}", case.advertised);
        });
    }
    while let Some(run) = runs.join_next().await {
        run.expect("the limit is kept");
    }
}
