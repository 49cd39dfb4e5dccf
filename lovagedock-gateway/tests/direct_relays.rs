//! Gateways that send to each other through relays, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    LogLines, NoticeEndpoint, TestFeed, TestGateway, call, config, entry, settings, wait_until,
};
use lovagedock_daemon::DaemonContext;
use lovagedock_gateway::DirectSettings;
use tokio::time::timeout;

/// Failure domain, name and cores of each gateway. The largest of a domain are its relays.
const GATEWAYS: &[(&str, &str, f64)] = &[
    ("a", "a1", 1.0),
    ("a", "a2", 0.5),
    ("a", "a3", 0.1),
    ("a", "a4", 0.1),
    ("b", "b1", 1.0),
    ("b", "b2", 0.5),
    ("b", "b3", 0.1),
    ("b", "b4", 0.1),
];

/// Time until a change has reached all gateways.
const CHANGE_TIME: Duration = Duration::from_secs(5);

fn relayed_settings(domain: &str, name: &str, cores: f64) -> DirectSettings {
    DirectSettings {
        failure_domain: domain.into(),
        host_cores: cores,
        max_direct_gateways: 1,
        ..settings(name)
    }
}

struct RelayedFleet {
    feed: TestFeed,
    gateways: Vec<TestGateway>,
    lines: LogLines,
}

impl RelayedFleet {
    async fn start(endpoint: &NoticeEndpoint) -> Self {
        let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
        let lines = LogLines::default();
        let mut gateways = Vec::new();
        for (domain, name, cores) in GATEWAYS {
            let settings = relayed_settings(domain, name, *cores);
            let context = DaemonContext::new(lines.logger());
            gateways.push(TestGateway::start_with(settings, &feed, context).await);
        }
        for gateway in &gateways {
            wait_until(|| gateway.gateway.is_ready()).await;
        }
        Self {
            feed,
            gateways,
            lines,
        }
    }

    async fn wait_for_lines(&self, message: &'static str, count: usize) {
        let all = wait_until(|| self.lines.with_message(message).len() >= count);
        timeout(CHANGE_TIME, all).await.unwrap_or_else(|_| {
            panic!(
                "{} of {count} lines: {message}",
                self.lines.with_message(message).len()
            )
        });
    }
}

/// Guards against news of one gateway, or changes of the store, that do not reach the gateways of
/// other domains through the relays.
#[tokio::test]
async fn news_reach_all_gateways_through_relays() {
    let endpoint = NoticeEndpoint::start().await;
    let fleet = RelayedFleet::start(&endpoint).await;
    let all = GATEWAYS.len();
    fleet.feed.set_drained(&["x"]);
    fleet
        .wait_for_lines("failure domain drained or restored", all)
        .await;
    fleet.feed.set_config(config(2));
    fleet
        .wait_for_lines("configuration in force", 2 * all)
        .await;
    endpoint.serve_with("x-leaving: 1\r\n");
    let response = call(fleet.gateways[3].address(), "/safe/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    fleet.wait_for_lines("endpoint is leaving", all).await;
}

/// Guards against gateways that hear nothing more when the relay of their domain has ended.
#[tokio::test]
async fn another_relay_takes_over() {
    let endpoint = NoticeEndpoint::start().await;
    let mut fleet = RelayedFleet::start(&endpoint).await;
    let relay = fleet.gateways.remove(0);
    drop(relay);
    let left = fleet.gateways.len();
    fleet.feed.set_drained(&["x"]);
    fleet
        .wait_for_lines("failure domain drained or restored", left)
        .await;
    endpoint.serve_with("x-leaving: 1\r\n");
    let last = fleet.gateways.last().expect("gateways are left");
    let response = call(last.address(), "/safe/x", "1").await;
    assert_eq!(response.status(), 200, "{}", response.text);
    fleet.wait_for_lines("endpoint is leaving", left).await;
}
