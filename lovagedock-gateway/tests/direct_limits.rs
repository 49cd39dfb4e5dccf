//! Endpoints that advertise a request rate limit, over real sockets.

mod direct_support;

use std::time::{Duration, Instant};

use direct_support::{
    LogLines, RateLimitedEndpoint, TestFeed, TestGateway, call, config, entry, settings, until,
};
use lovagedock_daemon::DaemonContext;
use tokio::{task::JoinSet, time::sleep};

/// Guards against rate limit changes that are missing from the log.
#[tokio::test]
async fn rate_limit_changes_are_logged() {
    let endpoint = RateLimitedEndpoint::start().await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let lines = LogLines::default();
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(settings("gateway"), &feed, context).await;
    let gateway = gateway.ready().await;
    for (id, limit) in [Some("40"), Some("40"), Some("x"), Some("20"), None]
        .iter()
        .enumerate()
    {
        endpoint.set_limit(*limit);
        let answer = call(gateway.address(), "/safe/x", &format!("{id}")).await;
        assert_eq!(answer.status(), 200, "{}", answer.text);
    }
    until(|| lines.with_message("endpoint rate limit changed").len() == 3).await;
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

/// Gateways and the endpoints that they share.
struct LimitedFleet {
    gateways: Vec<TestGateway>,
    endpoints: Vec<RateLimitedEndpoint>,
    callers: JoinSet<()>,
}

impl LimitedFleet {
    async fn start(gateways: usize, endpoints: usize) -> Self {
        let feed = TestFeed::new(config(1), Vec::new());
        let mut started = Vec::new();
        for _ in 0..endpoints {
            started.push(RateLimitedEndpoint::start().await);
        }
        let entries = started.iter().enumerate();
        let entries =
            entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
        feed.set_endpoints(entries.collect());
        let mut fleet = Self {
            gateways: Vec::new(),
            endpoints: started,
            callers: JoinSet::new(),
        };
        for number in 0..gateways {
            let name = format!("gateway-{number}");
            let gateway = TestGateway::start(&name, &feed).await.ready().await;
            fleet.gateways.push(gateway);
        }
        fleet
    }

    /// Starts callers, spread over the gateways, that send requests in a loop with a pause after each.
    fn start_callers(&mut self, callers: usize, pause: Duration) {
        for number in 0..callers {
            let gateway = self.gateways[number % self.gateways.len()].address();
            self.callers.spawn(async move {
                for round in 0.. {
                    call(gateway, "/safe/x", &format!("{}", 1000 * number + round)).await;
                    sleep(pause).await;
                }
            });
        }
    }
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

/// Guards against queueing requests that no endpoint can accept before their deadline, and against endpoints
/// that stay throttled after their limit has ended.
#[tokio::test]
async fn requests_over_the_limit_are_refused_with_retry_after() {
    let fleet = LimitedFleet::start(1, 1).await;
    let gateway = fleet.gateways[0].address();
    let endpoint = &fleet.endpoints[0];
    endpoint.set_limit(Some("0.5"));
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
    endpoint.set_limit(None);
    sleep(Duration::from_secs_f64(retry_after + 0.1)).await;
    for id in 3..20 {
        let answer = call(gateway, "/once/x", &format!("{id}")).await;
        assert_eq!(answer.status(), 200, "{}", answer.text);
    }
}

/// Guards against gateways that together exceed an endpoint's limit.
#[tokio::test]
async fn gateways_together_keep_an_endpoints_limit() {
    let mut runs = JoinSet::new();
    for case in LIMIT_CASES {
        runs.spawn(async move {
            let mut fleet = LimitedFleet::start(3, 4).await;
            fleet.start_callers(24, Duration::from_millis(100));
            let endpoint = fleet.endpoints[0].clone();
            endpoint.set_limit(Some(case.advertised));
            sleep(SETTLE_TIME).await;
            let settled = Instant::now();
            sleep(CHECK_TIME).await;
            let max = endpoint.max_arrivals_in(SPAN, settled);
            let allowed = max_requests(case.rate);
            assert!(max <= allowed, "{}: {max} of {allowed}", case.advertised);
            // Guards against a limit that is left mostly unused.
            let min = (CHECK_TIME.as_secs_f64() * case.rate / 2.0) as usize;
            let arrived = endpoint.arrivals_since(settled);
            assert!(arrived >= min, "{}: {arrived} of {min}", case.advertised);
        });
    }
    while let Some(run) = runs.join_next().await {
        run.expect("the limit is kept");
    }
}
