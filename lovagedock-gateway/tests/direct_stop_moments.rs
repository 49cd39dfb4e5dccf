//! What callers see at the moments of a stop: as it is asked for, as the notice ends, and at its end.

mod direct_support;

use std::time::Duration;

use direct_support::{
    ScriptedEndpoint, TestFeed, TestGateway, config, daemon, endpoint_scripts as script, entry,
    open_call, read_answer, stop_settings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Builder,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Kept connections of a test.
const KEPT: usize = 64;

/// Opens a connection and has one answer on it.
async fn open_kept(gateway: &TestGateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address()).await;
    let mut stream = stream.expect("the gateway listens");
    let head = "GET /none/x HTTP/1.1\r\nhost: fleet.example\r\nx-request: 1\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("it reads");
    let mut piece = [0; 4096];
    let length = stream.read(&mut piece).await.expect("it answers");
    assert!(length > 0);
    stream
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut piece = [0; 64];
    let read = timeout(Duration::from_millis(1), stream.read(&mut piece)).await;
    read.is_ok_and(|read| read.is_err() || read.is_ok_and(|length| length == 0))
}

/// Guards against kept connections that a stop closes before their callers can know of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn kept_connections_stay_through_the_notice() {
    let endpoint = ScriptedEndpoint::start([]).await;
    let feed = TestFeed::new(config(1), vec![entry("i-0", endpoint.address)]);
    let gateway = TestGateway::start_with(stop_settings(8.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let mut kept = Vec::new();
    for _ in 0..KEPT {
        kept.push(open_kept(&gateway).await);
    }
    sleep(Duration::from_millis(100)).await;
    gateway.daemon.shutdown.trigger();
    sleep(Duration::from_millis(500)).await;
    let mut closed = 0;
    for stream in &mut kept {
        closed += usize::from(is_closed(stream).await);
    }
    assert_eq!(closed, 0, "of {KEPT}");
}

/// Callers of a test that a silent endpoint keeps waiting.
const WAITING: usize = 300;

/// Asks a gateway to stop and keeps its process from running as the time of its requests ends.
async fn stop_late(feed: TestFeed, callers: &tokio::runtime::Handle) -> Vec<JoinHandle<u16>> {
    let gateway = TestGateway::start_with(stop_settings(1.0), &feed, daemon()).await;
    let gateway = gateway.ready().await;
    let address = gateway.address();
    let mut calls = Vec::new();
    for number in 0..WAITING {
        let id = number.to_string();
        let stream =
            callers.spawn(async move { open_call(address, "/once/x", &id, "secret").await });
        let stream = stream.await.expect("it is sent");
        calls.push(callers.spawn(async { read_answer(stream).await.status() }));
    }
    sleep(Duration::from_millis(300)).await;
    gateway.daemon.shutdown.trigger();
    sleep(Duration::from_millis(600)).await;
    std::thread::sleep(Duration::from_millis(300));
    gateway.gateway.wait().await.expect("the gateway stops");
    calls
}

/// Guards against callers without an answer when a process does not run as its stop ends.
#[test]
fn a_process_that_is_late_at_the_end_of_its_stop_still_answers() {
    let outer = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let outer = outer.expect("a runtime starts");
    let silent = std::iter::repeat_n(
        script::slow_answer(Duration::from_secs(60), "whole"),
        WAITING,
    );
    let endpoint = outer.block_on(ScriptedEndpoint::start(silent));
    let mut entry = entry("i-0", endpoint.address);
    entry.slots = WAITING as u32;
    let feed = TestFeed::new(config(1), vec![entry]);
    let process = Builder::new_current_thread().enable_all().build();
    let process = process.expect("a runtime starts");
    let calls = process.block_on(stop_late(feed, outer.handle()));
    // Ends what is left, as the end of a process does.
    drop(process);
    let wait = |call: JoinHandle<u16>| outer.block_on(call).expect("the caller ends");
    let statuses: Vec<u16> = calls.into_iter().map(wait).collect();
    let is_told = |status: &u16| matches!(status, 502 | 503);
    assert!(statuses.iter().all(is_told), "{statuses:?}");
}
