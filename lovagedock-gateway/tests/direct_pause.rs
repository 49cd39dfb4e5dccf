//! Engines that pause in the middle of a response, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    SERVICE, ScriptedEndpoint, TestFeed, TestGateway, config, daemon, endpoint_scripts as script,
    entry, open_call, read_response, settings,
};
use futures::future::join_all;
use lovagedock::{RouteMatch, RouteMode, ServiceProfile, TrafficConfig};

/// A route whose responses no other engine can resume.
struct PauseCase {
    name: &'static str,
    resumable: bool,
    attempts: u32,
}

impl PauseCase {
    fn config(&self) -> TrafficConfig {
        let base = config(1);
        let RouteMatch::Found(route) = base.route("fleet.example", "/stream/x") else {
            panic!("the configuration has no stream route");
        };
        let mut route = route.clone();
        route.mode = RouteMode::Stream {
            resumable: self.resumable,
        };
        route.attempts = self.attempts;
        TrafficConfig::new(1)
            .with_route(route)
            .with_service(ServiceProfile {
                id: SERVICE.into(),
                max_connections: 100,
                engine: None,
                cold: None,
            })
            .with_key("secret", "org".into(), None)
    }

    async fn run(self) {
        let pause = Duration::from_secs(5);
        let events = script::slow_events(Duration::ZERO, 1..3, pause);
        let endpoint = ScriptedEndpoint::start([events]).await;
        let feed = TestFeed::new(self.config(), vec![entry("i-0", endpoint.address)]);
        let mut settings = settings("gateway");
        settings.fleet = Some(format!("{}-{}", std::process::id(), self.name));
        let gateway = TestGateway::start_with(settings, &feed, daemon()).await;
        let gateway = gateway.ready().await;
        let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
        let response = read_response(stream).await;
        assert!(response.is_complete(), "{}: {}", self.name, response.text);
        assert_eq!(response.event_ids(), ["1", "2"], "{}", self.name);
    }
}

/// Guards against a response that is cut because its engine, which is alive, pauses for seconds.
#[tokio::test]
async fn a_pause_does_not_cut_a_stream_that_cannot_resume() {
    let cases = [
        PauseCase {
            name: "not resumable",
            resumable: false,
            attempts: 1,
        },
        PauseCase {
            name: "no attempt left",
            resumable: true,
            attempts: 1,
        },
    ];
    join_all(cases.into_iter().map(PauseCase::run)).await;
}
