//! What callers see at the moments of a stop: as it is asked for, as the notice ends, and at its end.

mod direct_support;

use std::time::Duration;

use direct_support::{
    ScriptedEndpoint, TestFeed, TestGateway, config, daemon, entry, stop_settings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
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
