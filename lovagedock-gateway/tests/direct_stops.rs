//! Stops of a gateway while callers still send requests.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, LogLines, ScriptedEndpoint, TestFeed, TestGateway, config,
    endpoint_scripts as script, engine_config, entry, open_call, open_call_with, open_upload,
    read_response, stop_settings, wait_until,
};
use futures::future::join_all;
use lovagedock::TrafficConfig;
use lovagedock_daemon::DaemonContext;
use tokio::time::sleep;

/// Guards against a response that is cut by a stop and missing from the log.
#[tokio::test]
async fn a_response_cut_by_a_stop_is_logged() {
    let held = script::slow_events(Duration::ZERO, 1..3, Duration::from_secs(60));
    let endpoint = ScriptedEndpoint::start([held]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let lines = LogLines::default();
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, context).await;
    let gateway = gateway.ready().await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    wait_until(|| endpoint.requests().len() == 1).await;
    gateway.daemon.shutdown.trigger();
    let response = read_response(stream).await;
    gateway.gateway.wait().await.expect("the gateway stops");
    assert!(!response.is_complete(), "{}", response.text);
    let cut = lines.with_message("cut by the stop");
    assert_eq!(cut.len(), 1, "{cut:?}");
    assert_eq!(cut[0]["request"], "1");
    assert_eq!(cut[0]["stage"], "answering");
    assert_eq!(cut[0]["endpoint"], "i-0@1");
    assert_eq!(cut[0]["events"], 1);
}

/// Guards against a missing log line for the admission of a request while stopping.
#[tokio::test]
async fn admission_while_stopping_is_logged_with_its_inputs() {
    let endpoint = ScriptedEndpoint::start([script::sealed("200 OK", "whole")]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let lines = LogLines::default();
    let context = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(stop_settings(8.0), &feed, context).await;
    let gateway = gateway.ready().await;
    gateway.daemon.shutdown.trigger();
    wait_until(|| !gateway.gateway.is_ready()).await;
    let stream = open_call(gateway.address(), "/safe/x", "1", "secret").await;
    let response = read_response(stream).await;
    assert_eq!(response.status(), 200, "{}", response.text);
    let decisions = lines.with_message("request while stopping");
    assert_eq!(decisions.len(), 1, "{decisions:?}");
    assert_eq!(decisions[0]["outcome"], "taken");
    assert!(
        decisions[0]["left_ms"]
            .as_u64()
            .is_some_and(|left| left > 0)
    );
}

/// Grace period of the late stops below. All requests have ended 3.7 s after the stop signal.
const LATE_GRACE_S: f64 = 4.0;

/// Time from the stop signal to the late requests.
const LATE_ARRIVAL: Duration = Duration::from_millis(2_900);

/// A request that arrives late in a stop, and the behaviour of the endpoints.
struct LateCase {
    name: &'static str,
    path: &'static str,
    config: TrafficConfig,
    endpoints: usize,
    /// Scripts in the order in which requests arrive at any endpoint.
    scripts: Vec<EndpointScript>,
    slots: u32,
    /// Number of requests that arrive just before the late one.
    before: usize,
}

impl LateCase {
    fn new(name: &'static str, scripts: Vec<EndpointScript>) -> Self {
        Self {
            name,
            path: "/stream/x",
            config: engine_config(),
            endpoints: 1,
            scripts,
            slots: 4,
            before: 0,
        }
    }

    fn with_endpoints(mut self, endpoints: usize) -> Self {
        self.endpoints = endpoints;
        self
    }

    fn with_non_streaming_path(mut self, path: &'static str) -> Self {
        self.path = path;
        self.config = config(1);
        self
    }

    /// Sends requests first that occupy all slots of the endpoints.
    fn with_preceding_requests(mut self, before: usize, slots: u32) -> Self {
        self.before = before;
        self.slots = slots;
        self
    }

    /// Runs the case. Returns a description of the failure if the late response was cut.
    async fn run(self) -> Option<String> {
        let pool = ScriptedEndpoint::start_pool(self.endpoints, self.scripts).await;
        let entries = pool.iter().enumerate().map(|(number, endpoint)| {
            let mut entry = entry(&format!("i-{number}"), endpoint.address);
            entry.slots = self.slots;
            entry
        });
        let entries = entries.collect();
        let feed = TestFeed::new(self.config, entries);
        let mut settings = stop_settings(LATE_GRACE_S);
        settings.fleet = Some(format!("{}-{}", std::process::id(), self.name));
        let context = direct_support::daemon();
        let gateway = TestGateway::start_with(settings, &feed, context).await;
        let gateway = gateway.ready().await;
        // Without a running request, the process would end before the late one arrives.
        let upload = open_upload(gateway.address()).await;
        gateway.daemon.shutdown.trigger();
        wait_until(|| !gateway.gateway.is_ready()).await;
        sleep(LATE_ARRIVAL).await;
        let header_lines = "x-prompt: 1000\r\nx-answer-hint: 70\r\nx-answer-limit: 322\r\n";
        let address = gateway.address();
        for number in 0..self.before {
            let id = format!("b{number}");
            let stream = open_call_with(address, "/stream/b", &id, "secret", header_lines).await;
            tokio::spawn(read_response(stream));
            sleep(Duration::from_millis(20)).await;
        }
        let stream = open_call_with(address, self.path, "late", "secret", header_lines).await;
        let response = read_response(stream).await;
        drop(upload);
        gateway.gateway.wait().await.expect("the gateway stops");
        let is_complete = match response.status() {
            0 => false,
            200 => response.is_complete() || response.text.ends_with("whole"),
            _ => true,
        };
        (!is_complete).then(|| format!("{}: {:?}", self.name, response.text))
    }
}

/// Guards against a request that is admitted late in a stop, because it should end in time, and
/// then cut.
#[tokio::test]
async fn requests_admitted_late_in_a_stop_are_not_cut() {
    let ms = Duration::from_millis;
    let pass = ms(60);
    let cases = vec![
        LateCase::new(
            "slow passes of a full engine",
            vec![script::slow_events(ms(140), 1..8, ms(140))],
        ),
        LateCase::new(
            "an engine that prefills other prompts first",
            vec![script::slow_events(ms(600), 1..8, pass)],
        ),
        LateCase::new(
            "a second attempt",
            vec![
                EndpointScript::Write(script::events(1..3, false)),
                script::slow_events(ms(600), 3..8, pass),
            ],
        )
        .with_endpoints(2),
        LateCase::new(
            "a wait for a slot",
            vec![
                script::slow_events(ms(300), 1..3, pass),
                script::slow_events(ms(300), 1..8, pass),
            ],
        )
        .with_preceding_requests(1, 1),
        LateCase::new(
            "a silent engine",
            vec![script::slow_events(ms(60_000), 1..8, pass)],
        ),
        LateCase::new(
            "a slow non-streaming request",
            vec![script::slow_response(ms(1_500), "whole")],
        )
        .with_non_streaming_path("/once/x"),
    ];
    let cut = join_all(cases.into_iter().map(LateCase::run)).await;
    let cut: Vec<String> = cut.into_iter().flatten().collect();
    assert!(cut.is_empty(), "{cut:#?}");
}

/// A request that has no response when the stop of its gateway ends.
struct UnansweredCase {
    name: &'static str,
    path: &'static str,
    scripts: Vec<EndpointScript>,
}

/// Guards against a stop that leaves a caller not knowing whether its request may have run.
#[tokio::test]
async fn unanswered_requests_report_whether_they_ran() {
    let long = Duration::from_secs(60);
    let silent = || script::slow_response(long, "whole");
    let cases = vec![
        UnansweredCase {
            name: "an idempotent request at a silent endpoint",
            path: "/safe/x",
            scripts: vec![silent(), silent()],
        },
        UnansweredCase {
            name: "a non-idempotent request at a silent endpoint",
            path: "/once/x",
            scripts: vec![silent()],
        },
        UnansweredCase {
            name: "a stream before its first event",
            path: "/stream/x",
            scripts: vec![script::slow_events(long, 1..3, long)],
        },
    ];
    for case in cases {
        let endpoint = ScriptedEndpoint::start(case.scripts).await;
        let mut entry = entry("i-0", endpoint.address);
        entry.slots = 1;
        let feed = TestFeed::new(config(1), vec![entry]);
        let context = direct_support::daemon();
        let gateway = TestGateway::start_with(stop_settings(1.0), &feed, context).await;
        let gateway = gateway.ready().await;
        let address = gateway.address();
        let sent = open_call(address, case.path, "sent", "secret").await;
        wait_until(|| endpoint.requests().len() == 1).await;
        gateway.daemon.shutdown.trigger();
        // The only slot is taken, so this request waits until the stop ends.
        let waiting = open_call(address, case.path, "waiting", "secret").await;
        let (sent, waiting) = tokio::join!(read_response(sent), read_response(waiting));
        gateway.gateway.wait().await.expect("the gateway stops");
        assert_eq!(sent.status(), 502, "{}: {}", case.name, sent.text);
        assert!(sent.text.contains("\"ran\":\"unknown\""), "{}", sent.text);
        assert_eq!(waiting.status(), 503, "{}: {}", case.name, waiting.text);
        assert!(waiting.text.contains("\"ran\":\"no\""), "{}", waiting.text);
        assert!(waiting.has_header("retry-after"), "{}", waiting.text);
    }
}
