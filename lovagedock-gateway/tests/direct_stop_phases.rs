//! What callers see in the phases of a stop: at its start, at the end of the notice, and at its
//! end.

mod direct_support;

use std::time::Duration;

use direct_support::{
    EndpointScript, ScriptedEndpoint, TestFeed, TestGateway, config, config_with_objective, daemon,
    endpoint_scripts as script, entry, open_call, open_upload, read_response, stop_settings,
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Builder,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Number of keep-alive connections in a test.
const IDLE_CONNECTIONS: usize = 64;

/// Opens a connection and receives one response on it.
async fn open_idle(gateway: &TestGateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address()).await;
    let mut stream = stream.expect("the gateway listens");
    let head = "GET /none/x HTTP/1.1\r\nhost: fleet.example\r\nx-request: 1\r\n\r\n";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the gateway reads");
    let mut piece = [0; 4096];
    let length = stream.read(&mut piece).await.expect("the gateway responds");
    assert!(length > 0);
    stream
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut piece = [0; 64];
    let read = timeout(Duration::from_millis(1), stream.read(&mut piece)).await;
    read.is_ok_and(|read| read.is_err() || read.is_ok_and(|length| length == 0))
}

/// Guards against keep-alive connections that a stop closes before their callers can know of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections_stay_open_during_the_notice() {
    let endpoint = ScriptedEndpoint::start([]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start_with(stop_settings(8.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.push(open_idle(&gateway).await);
    }
    sleep(Duration::from_millis(100)).await;
    gateway.daemon.shutdown.trigger();
    sleep(Duration::from_millis(2_300)).await;
    assert_eq!(count_closed(&mut idle).await, 0, "during the notice");
    gateway.gateway.wait().await.expect("the gateway stops");
    assert_eq!(
        count_closed(&mut idle).await,
        IDLE_CONNECTIONS,
        "after the stop"
    );
}

async fn count_closed(idle: &mut [TcpStream]) -> usize {
    let mut closed = 0;
    for stream in idle {
        closed += usize::from(is_closed(stream).await);
    }
    closed
}

/// Guards against a caller that gets no response because its body is still incomplete when the stop
/// ends.
#[tokio::test]
async fn an_incomplete_upload_is_answered_when_the_stop_ends() {
    let endpoint = ScriptedEndpoint::start([]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let upload = open_upload(gateway.address()).await;
    sleep(Duration::from_millis(100)).await;
    gateway.daemon.shutdown.trigger();
    let response = read_response(upload).await;
    gateway.gateway.wait().await.expect("the gateway stops");
    assert_eq!(response.status(), 503, "{}", response.text);
    assert!(
        response.text.contains("\"ran\":\"no\""),
        "{}",
        response.text
    );
}

/// Number of callers that wait for a silent endpoint in a test.
const WAITING_CALLERS: usize = 300;

/// Asks a gateway to stop and blocks its process when the time for its requests ends.
async fn stop_with_stalled_process(
    feed: TestFeed,
    callers: &tokio::runtime::Handle,
) -> Vec<JoinHandle<u16>> {
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let address = gateway.address();
    let mut calls = Vec::new();
    for number in 0..WAITING_CALLERS {
        let id = number.to_string();
        let stream =
            callers.spawn(async move { open_call(address, "/once/x", &id, "secret").await });
        let stream = stream.await.expect("the request is sent");
        calls.push(callers.spawn(async { read_response(stream).await.status() }));
    }
    sleep(Duration::from_millis(300)).await;
    gateway.daemon.shutdown.trigger();
    sleep(Duration::from_millis(600)).await;
    std::thread::sleep(Duration::from_millis(300));
    gateway.gateway.wait().await.expect("the gateway stops");
    calls
}

/// Guards against callers without a response when a process is stalled at the end of its stop.
#[test]
fn a_process_stalled_at_the_end_of_its_stop_still_answers() {
    let caller_runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let caller_runtime = caller_runtime.expect("a runtime starts");
    let silent = std::iter::repeat_n(
        script::slow_response(Duration::from_secs(60), "whole"),
        WAITING_CALLERS,
    );
    let endpoint = caller_runtime.block_on(ScriptedEndpoint::start(silent));
    let mut entry = entry("i-0", endpoint.address);
    entry.slots = WAITING_CALLERS as u32;
    let feed = TestFeed::new(config(1), vec![entry]);
    let gateway_runtime = Builder::new_current_thread().enable_all().build();
    let gateway_runtime = gateway_runtime.expect("a runtime starts");
    let calls = gateway_runtime.block_on(stop_with_stalled_process(feed, caller_runtime.handle()));
    // Aborts the remaining tasks, as the end of a process does.
    drop(gateway_runtime);
    let wait = |call: JoinHandle<u16>| caller_runtime.block_on(call).expect("the caller ends");
    let statuses: Vec<u16> = calls.into_iter().map(wait).collect();
    let is_answered = |status: &u16| matches!(status, 502 | 503);
    assert!(statuses.iter().all(is_answered), "{statuses:?}");
}

/// Guards against a queued request that is sent as the stop ends, runs, and is lost.
#[tokio::test]
async fn a_request_that_cannot_end_before_the_stop_is_not_sent() {
    let endpoint = ScriptedEndpoint::start([
        script::slow_response(Duration::from_millis(600), "whole"),
        script::slow_response(Duration::from_millis(500), "whole"),
    ])
    .await;
    let mut entry = entry("i-0", endpoint.address);
    entry.slots = 1;
    let feed = TestFeed::new(config(1), vec![entry]);
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let address = gateway.address();
    let first = open_call(address, "/once/x", "first", "secret").await;
    wait_until(|| endpoint.requests().len() == 1).await;
    gateway.daemon.shutdown.trigger();
    let second = open_call(address, "/once/x", "second", "secret").await;
    let second = read_response(second).await;
    drop(first);
    gateway.gateway.wait().await.expect("the gateway stops");
    assert_eq!(second.status(), 503, "{}", second.text);
    assert_eq!(endpoint.requests().len(), 1);
}

/// A non-streaming request during a stop.
struct NonStreamingCase {
    name: &'static str,
    /// Time from the start of the stop to the request.
    after: Duration,
    deadline_ms: u64,
    script: EndpointScript,
    status: u16,
}

/// Guards against non-streaming requests that are refused although they would end in time, or that
/// outlast the stop.
#[tokio::test]
async fn non_streaming_requests_are_admitted_if_they_end_before_the_stop() {
    let ms = Duration::from_millis;
    let cases = [
        NonStreamingCase {
            name: "during the notice, with a long deadline",
            after: ms(100),
            deadline_ms: 15_000,
            script: script::sealed("200 OK", "whole"),
            status: 200,
        },
        NonStreamingCase {
            name: "after the notice, with a short deadline",
            after: ms(2_900),
            deadline_ms: 500,
            script: script::sealed("200 OK", "whole"),
            status: 200,
        },
        NonStreamingCase {
            name: "after the notice, at a silent endpoint",
            after: ms(2_900),
            deadline_ms: 500,
            script: script::slow_response(ms(60_000), "whole"),
            status: 504,
        },
        NonStreamingCase {
            name: "after the notice, with a deadline beyond the stop",
            after: ms(2_900),
            deadline_ms: 15_000,
            script: script::sealed("200 OK", "whole"),
            status: 503,
        },
    ];
    let runs = cases.into_iter().map(NonStreamingCase::run);
    futures::future::join_all(runs).await;
}

impl NonStreamingCase {
    async fn run(self) {
        let endpoint = ScriptedEndpoint::start([self.script]).await;
        // The objective is longer than the stop, but it does not determine how long a request
        // takes.
        let config = config_with_objective(1, Duration::from_secs(20));
        let feed = TestFeed::new(config, vec![entry("i-0", endpoint.address)]);
        let mut settings = stop_settings(4.0);
        settings.fleet = Some(format!("{}-{}", std::process::id(), self.name));
        let gateway = TestGateway::start_with(settings, &feed, daemon()).await;
        let gateway = gateway.ready().await;
        let upload = open_upload(gateway.address()).await;
        gateway.daemon.shutdown.trigger();
        wait_until(|| !gateway.gateway.is_ready()).await;
        sleep(self.after).await;
        let stream = TcpStream::connect(gateway.address()).await;
        let mut stream = stream.expect("the gateway listens");
        let head = format!(
            "POST /safe/x HTTP/1.1\r\nhost: fleet.example\r\nx-request: 1\r\nx-key: secret\r\n\
             x-deadline-ms: {}\r\ncontent-length: 4\r\n\r\nbody",
            self.deadline_ms
        );
        stream
            .write_all(head.as_bytes())
            .await
            .expect("the gateway reads");
        let response = read_response(stream).await;
        assert_eq!(
            response.status(),
            self.status,
            "{}: {}",
            self.name,
            response.text
        );
        drop(upload);
        gateway.gateway.wait().await.expect("the gateway stops");
    }
}
