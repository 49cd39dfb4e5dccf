//! Memory of a gateway whose callers do not read, over real sockets.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, LogLines, ScriptedEndpoint, TestFeed, TestGateway, call, config,
    endpoint_scripts, entry, open_call, read_response, settings,
};
use endpoint_scripts::{events, sealed, slow_events};
use futures::future::join_all;
use lovagedock_daemon::DaemonContext;
use tokio::time::{Instant, sleep};

/// Callers that do not read. Without a limit they would hold more than 10 MB together.
const STALLED: usize = 6;
/// Number of events with 60 kB, more than the buffers of the kernel hold.
const EVENTS: u32 = 160;
const EVENT_BYTES: usize = 60_000;
/// Time of the prompt caller's stream, longer than that until slow callers are disconnected.
const PROMPT_EVENTS: u32 = 75;

struct MemoryCase {
    limit_mb: Option<f64>,
    /// Callers that are disconnected.
    disconnected: std::ops::RangeInclusive<usize>,
}

#[rustfmt::skip]
const CASES: [MemoryCase; 2] = [
    MemoryCase { limit_mb: Some(2.0), disconnected: 1..=STALLED },
    MemoryCase { limit_mb: None, disconnected: 0..=0 },
];

fn long_events(end: &str) -> String {
    let data = "x".repeat(EVENT_BYTES);
    let mut text = events(0..0, false);
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: {data}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
    }
    text + end
}

/// Checks the memory for a while.
async fn watch_memory(gateway: &TestGateway, case: &MemoryCase, until: Instant) -> usize {
    let mut most = 0;
    while Instant::now() < until {
        let used = gateway.gateway.output_memory_bytes();
        assert_eq!(used.is_some(), case.limit_mb.is_some());
        most = most.max(used.unwrap_or(0));
        sleep(Duration::from_millis(10)).await;
    }
    most
}

async fn play(case: &MemoryCase) {
    let tick = Duration::from_millis(100);
    let whole = EndpointScript::Write(long_events("0\r\n\r\n"));
    let mut scripts = vec![
        slow_events(Duration::ZERO, 1..PROMPT_EVENTS, tick),
        EndpointScript::WriteAndReset(long_events("")),
    ];
    scripts.extend((0..STALLED).map(|_| whole.clone()));
    // After the reset the stream continues at another engine, which repeats it.
    scripts.extend([whole, sealed("200 OK", "whole")]);
    let endpoints = ScriptedEndpoint::start_pool(4, scripts).await;
    let entries = endpoints.iter().enumerate();
    let entries = entries.map(|(index, endpoint)| entry(&format!("i-{index}"), endpoint.address));
    let feed = TestFeed::new(config(1), entries.collect());
    let lines = LogLines::default();
    let mut settings = settings("gateway");
    settings.overload.output_memory_mb = case.limit_mb;
    let daemon = DaemonContext::new(lines.logger());
    let gateway = TestGateway::start_with(settings, &feed, daemon).await;
    let gateway = gateway.ready().await;
    let address = gateway.address();
    let started_at = Instant::now();
    let prompt = tokio::spawn(async move { call(address, "/stream/p", "1").await });
    sleep(tick).await;
    let late = open_call(address, "/stream/r", "2", "secret").await;
    sleep(tick).await;
    let ids: Vec<String> = (0..STALLED).map(|index| format!("1{index}")).collect();
    let stalled = ids
        .iter()
        .map(|id| open_call(address, "/stream/s", id, "secret"));
    let stalled = join_all(stalled).await;
    let most = watch_memory(&gateway, case, started_at + tick * 20).await;
    let reading = tokio::spawn(read_response(late));
    let most = most.max(watch_memory(&gateway, case, started_at + tick * 80).await);
    let limit = case.limit_mb.unwrap_or(0.0) * 1e6;
    assert!(most as f64 <= limit, "{most} used of {limit}");
    assert!(
        most as f64 >= limit * 0.9,
        "{most} used: the case is too easy"
    );

    let late = reading.await.expect("it is read");
    assert!(
        late.is_complete(),
        "the late caller: {:?}",
        late.event_ids()
    );
    assert_eq!(late.event_ids().len(), EVENTS as usize);
    let prompt = prompt.await.expect("it is read");
    assert!(prompt.is_complete(), "the prompt caller: {}", prompt.text);
    let next = call(address, "/safe/x", "3").await;
    assert_eq!(next.status(), 200, "{}", next.text);
    let responses = join_all(stalled.into_iter().map(read_response)).await;
    let cut = responses.iter().filter(|response| !response.is_complete());
    let cut = cut.count();
    assert!(case.disconnected.contains(&cut), "{cut} disconnected");
    assert_eq!(lines.with_message("slow caller disconnected").len(), cut);
    let used = gateway.gateway.output_memory_bytes();
    assert_eq!(used, case.limit_mb.map(|_| 0), "all have ended");
}

/// Guards against a gateway that is killed for its memory because callers do not read, against
/// callers that suffer beside them, and against limits that act without the setting.
#[tokio::test]
async fn memory_for_slow_callers_is_limited() {
    for case in &CASES {
        play(case).await;
    }
}
