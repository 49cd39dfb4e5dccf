//! Shares of organisations in an overloaded service, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    LogLines, ScriptedEndpoint, TestFeed, TestGateway, config_with_objective, endpoint_scripts,
    entry, open_call, read_response, settings,
};
use lovagedock_daemon::DaemonContext;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time for which a request occupies a slot. Two endpoints with four slots serve 20 per second.
const REQUEST_TIME: Duration = Duration::from_millis(400);

/// Requests wait for up to two fifths of it, which is about the time of a request: with less, the
/// randomness of arrivals alone would cause refusals at eight slots.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Time after which requests are counted, and for which they are.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const COUNT_TIME: Duration = Duration::from_secs(16);

/// Requests per second of each of three small organisations. They leave 8 per second to the large
/// one, which sends ten times as many.
const SMALL_RATE: f64 = 4.0;
const LARGE_RATE: f64 = 80.0;

const REASON: &str = "its organisation exceeds its share";

#[derive(Clone, Copy, Debug)]
struct ShareCase {
    has_shares: bool,
    /// Gateways to which the large organisation sends; the others send to all.
    large_gateways: usize,
    /// Parts of the small organisations' requests that are served.
    min_served: f64,
    max_served: f64,
}

#[rustfmt::skip] // One line for each case.
const CASES: &[ShareCase] = &[
    ShareCase { has_shares: true, large_gateways: 2, min_served: 0.75, max_served: 1.0 },
    ShareCase { has_shares: true, large_gateways: 1, min_served: 0.75, max_served: 1.0 },
    ShareCase { has_shares: false, large_gateways: 2, min_served: 0.0, max_served: 0.5 },
];

/// Sends requests of one organisation at a constant rate, each to the next one of the gateways.
/// Returns how many were counted and how many of these were served.
async fn send_at_rate(gateways: Vec<TestAddress>, key: &'static str, rate: f64) -> (usize, usize) {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    for number in 0.. {
        let at = Duration::from_secs_f64(f64::from(number) / rate);
        if at >= SETTLE_TIME + COUNT_TIME {
            break;
        }
        sleep_until(started + at).await;
        let gateway = gateways[number as usize % gateways.len()];
        calls.spawn(async move {
            let id = format!("{key}-{number}");
            let stream = open_call(gateway, "/safe/x", &id, key).await;
            let status = read_response(stream).await.status();
            (at >= SETTLE_TIME).then_some(status == 200)
        });
    }
    let counted: Vec<bool> = calls.join_all().await.into_iter().flatten().collect();
    let served = counted.iter().filter(|is_served| **is_served).count();
    (counted.len(), served)
}

type TestAddress = std::net::SocketAddr;

async fn run_case(case: ShareCase) {
    let script = endpoint_scripts::slow_response(REQUEST_TIME, "whole");
    let endpoints = ScriptedEndpoint::start_pool(2, vec![script; 1_000]).await;
    let mut config = config_with_objective(1, OBJECTIVE);
    for key in ["large", "small-a", "small-b", "small-c"] {
        config = config.with_key(key, key.into(), None);
    }
    let entries = endpoints.iter().enumerate();
    let entries = entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
    let feed = TestFeed::new(config, entries.collect());
    let lines = LogLines::default();
    let mut gateways = Vec::new();
    for name in ["gateway-0", "gateway-1"] {
        let mut settings = settings(name);
        settings.overload.organisation_shares = case.has_shares;
        let context = DaemonContext::new(lines.logger());
        let gateway = TestGateway::start_with(settings, &feed, context).await;
        gateways.push(gateway.ready().await);
    }
    sleep(Duration::from_millis(300)).await;
    let addresses: Vec<TestAddress> = gateways.iter().map(TestGateway::address).collect();
    let large = addresses[..case.large_gateways].to_vec();
    let (large, a, b, c) = tokio::join!(
        send_at_rate(large, "large", LARGE_RATE),
        send_at_rate(addresses.clone(), "small-a", SMALL_RATE),
        send_at_rate(addresses.clone(), "small-b", SMALL_RATE),
        send_at_rate(addresses.clone(), "small-c", SMALL_RATE),
    );
    let (sent, served) = (a.0 + b.0 + c.0, a.1 + b.1 + c.1);
    let part = served as f64 / sent as f64;
    let expected = case.min_served..=case.max_served;
    assert!(
        expected.contains(&part),
        "{case:?}: {served} of {sent}, large {large:?}"
    );
    assert!(
        large.1 > 0,
        "{case:?}: the large organisation gets its share"
    );
    let refused = lines.with_message("refused");
    let by_share: Vec<_> = refused
        .iter()
        .filter(|line| line["reason"] == REASON)
        .collect();
    assert_eq!(!by_share.is_empty(), case.has_shares, "{case:?}");
    let is_explained = |line: &&serde_json::Value| {
        line["organisation"].is_string() && line["demand"].as_f64() > line["fair_rate"].as_f64()
    };
    assert!(by_share.iter().all(is_explained), "{case:?}: {by_share:?}");
}

/// Guards against an organisation that takes the capacity of others by sending ten times its share,
/// through one or all gateways, and against shares that are enforced without their setting.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn an_organisation_at_ten_times_its_share_leaves_the_others_theirs() {
    let runs: JoinSet<()> = CASES.iter().map(|case| run_case(*case)).collect();
    runs.join_all().await;
}
