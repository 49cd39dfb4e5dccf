//! Endpoints that advertise a request rate limit, over real sockets.

mod direct_support;

use direct_support::{
    LogLines, RateLimitedEndpoint, TestFeed, TestGateway, call, config, entry, settings, until,
};
use lovagedock_daemon::DaemonContext;

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
