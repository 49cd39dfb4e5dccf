//! Endpoints whose answers announce that they are leaving or ask for backoff, over real sockets.

mod direct_support;

use direct_support::{
    LogLines, NoticeEndpoint, TestFeed, TestGateway, call, config, entry, settings, until,
};
use lovagedock_daemon::DaemonContext;

/// Header line of an answer from an endpoint that is leaving.
const LEAVING: &str = "x-leaving: 1\r\n";

/// Gateways that log to `lines`, and the endpoints that they route to.
struct NoticeFleet {
    gateways: Vec<TestGateway>,
    endpoints: Vec<NoticeEndpoint>,
    lines: LogLines,
}

impl NoticeFleet {
    async fn start(gateways: usize, endpoints: usize) -> Self {
        let feed = TestFeed::new(config(1), Vec::new());
        let mut started = Vec::new();
        for _ in 0..endpoints {
            started.push(NoticeEndpoint::start().await);
        }
        let entries = started.iter().enumerate();
        let entries =
            entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
        feed.set_endpoints(entries.collect());
        let mut fleet = Self {
            gateways: Vec::new(),
            endpoints: started,
            lines: LogLines::default(),
        };
        for number in 0..gateways {
            let name = format!("gateway-{number}");
            let context = DaemonContext::new(fleet.lines.logger());
            let gateway = TestGateway::start_with(settings(&name), &feed, context).await;
            fleet.gateways.push(gateway.ready().await);
        }
        fleet
    }
}

/// Guards against leaving and backoff notices that are missing from the log.
#[tokio::test]
async fn notices_of_endpoints_are_logged() {
    let fleet = NoticeFleet::start(1, 2).await;
    let gateway = fleet.gateways[0].address();
    fleet.endpoints[0].reject_with("x-retry-after: 0.3\r\n");
    fleet.endpoints[1].serve_with(LEAVING);
    for id in 0..6 {
        call(gateway, "/safe/x", &format!("{id}")).await;
    }
    let count = |message| fleet.lines.with_message(message).len();
    until(|| count("endpoint backoff ended") > 0).await;
    assert!(count("endpoint asked for backoff") > 0);
    assert!(count("endpoint is leaving") > 0);
    fleet.endpoints[0].reject_with("x-retry-after: -3\r\n");
    for id in 6..12 {
        call(gateway, "/safe/x", &format!("{id}")).await;
    }
    assert_eq!(count("malformed endpoint backoff ignored"), 1);
}
