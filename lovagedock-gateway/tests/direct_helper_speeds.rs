//! Slow helpers, and endpoints that report in a response that they are cold, over real sockets.

mod direct_support;

use std::time::{Duration, Instant};

use direct_support::{
    LogLines, NoticeEndpoint, PrefillingEngines, SERVICE, TestFeed, TestGateway, call, config,
    engine_config, entry, open_call_with, read_response, settings,
};
use lovagedock::{ColdProfile, ServiceProfile};
use lovagedock_daemon::DaemonContext;

async fn start(name: &str, is_on: bool, feed: &TestFeed, lines: &LogLines) -> TestGateway {
    let mut settings = settings(name);
    settings.bounds.cold_overshoot = Some(1.5);
    settings.overload.helper_speeds = is_on;
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(settings, feed, context).await;
    gateway.ready().await
}

/// Guards against an engine that crashes because a gateway that was told that it is cold waits for the
/// store, and against a gateway without the setting that decides otherwise than before.
#[tokio::test]
async fn a_cold_notice_limits_an_endpoint_at_once() {
    for (is_on, arrivals) in [(true, 1..=8), (false, 40..=40)] {
        let (cold, other) = (NoticeEndpoint::start().await, NoticeEndpoint::start().await);
        cold.serve_with("x-cold-ms: 3000\r\n");
        let service = ServiceProfile {
            id: SERVICE.into(),
            max_connections: 100,
            engine: None,
            cold: Some(ColdProfile {
                duration: Duration::from_secs(3),
                requests_per_second: 4.0,
            }),
        };
        let entries = vec![entry("i-0", cold.address), entry("i-1", other.address)];
        let feed = TestFeed::new(config(1).with_service(service), entries);
        let lines = LogLines::default();
        let gateway = start("gateway", is_on, &feed, &lines).await;
        let since = Instant::now();
        for request in 0..40 {
            let response = call(gateway.address(), "/safe/x", &request.to_string()).await;
            assert_eq!(response.status(), 200, "{}", response.text);
        }
        let arrived = cold.arrivals_between(since, Instant::now());
        assert!(arrivals.contains(&arrived), "{is_on}: {arrived}");
        let notices = lines.with_message("endpoint is cold").len();
        assert_eq!(notices, usize::from(is_on));
    }
}

/// Guards against a slow engine that is not found because it only helps, or only by the gateway that
/// measured it, and against a gateway without the setting that decides otherwise than before.
#[tokio::test]
async fn gateways_tell_each_other_of_a_slow_helper() {
    for is_on in [true, false] {
        let engines = PrefillingEngines::start(12).await;
        let feed = TestFeed::new(engine_config(), engines.entries());
        let lines = [LogLines::default(), LogLines::default()];
        let first = start("first", is_on, &feed, &lines[0]).await;
        let second = start("second", is_on, &feed, &lines[1]).await;
        let prompt = async |gateway: &TestGateway, id: usize| {
            let gateway = gateway.address();
            let header = "x-prompt: 80000\r\n";
            let stream =
                open_call_with(gateway, "/stream/x", &id.to_string(), "secret", header).await;
            let response = read_response(stream).await;
            assert!(response.is_complete(), "{}", response.text);
        };
        let is_found = || {
            let found = lines
                .iter()
                .map(|lines| lines.with_message("helper is slow"));
            let mut found =
                found.map(|lines| lines.iter().any(|line| line["endpoint"] == "i-11@1"));
            found.all(|is_found| is_found)
        };
        let mut sent = 0;
        while sent < 30 && !is_found() {
            prompt(&first, sent).await;
            sent += 1;
        }
        let (_, before) = engines.slow_share();
        assert_eq!(is_found(), is_on, "{sent} sent, {before} slow");
        assert!(before > 0, "no team of {sent} had the slow engine");
        if is_on {
            for id in 100..105 {
                prompt(&second, id).await;
            }
            assert_eq!(engines.slow_share().1, before);
        }
    }
}
