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

/// Time from the first statement of a limit until it has to be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for which a limit is kept in a test.
const LIMITED_TIME: Duration = Duration::from_secs(9);

/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Requests that may come in [`SPAN`] under a limit of `rate` a second.
fn most_requests(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64() + 5.0) as usize
}

/// Gateways, and endpoints of which the first is the one with a limit.
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

    /// Starts callers that ask each gateway again and again with a pause.
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
    stated: &'static str,
    rate: f64,
}

const LIMITS: &[RateLimitCase] = &[
    RateLimitCase {
        stated: "1",
        rate: 1.0,
    },
    RateLimitCase {
        stated: "2.1",
        rate: 2.1,
    },
];

/// Guards against gateways that send an endpoint more requests together than it has said it takes.
#[tokio::test]
async fn gateways_together_keep_an_endpoints_limit() {
    let mut runs = JoinSet::new();
    for case in LIMITS {
        runs.spawn(async move {
            let mut fleet = LimitedFleet::start(3, 4).await;
            fleet.start_callers(24, Duration::from_millis(100));
            let endpoint = fleet.endpoints[0].clone();
            endpoint.set_limit(Some(case.stated));
            sleep(SETTLE_TIME).await;
            let settled = Instant::now();
            sleep(LIMITED_TIME).await;
            let most = endpoint.max_arrivals_in(SPAN, settled);
            let allowed = most_requests(case.rate);
            assert!(most <= allowed, "{}: {most} of {allowed}", case.stated);
            // The limit is used, not only kept.
            let least = (LIMITED_TIME.as_secs_f64() * case.rate / 2.0) as usize;
            let came = endpoint.arrivals_since(settled);
            assert!(came >= least, "{}: {came} of {least}", case.stated);
        });
    }
    while let Some(run) = runs.join_next().await {
        run.expect("the limit is kept");
    }
}
