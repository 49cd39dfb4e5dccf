//! Failure domains that operators drain and restore, over real sockets.

mod direct_support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use direct_support::{
    EndpointScript, LogLines, NoticeEndpoint, ScriptedEndpoint, TestFeed, TestGateway, any_port,
    call, config, endpoint_scripts as script, engine_config, entry, open_call, open_call_with,
    read_response, settings, wait_until,
};
use lovagedock::{DirectEndpoint, DomainId};
use lovagedock_daemon::DaemonContext;
use lovagedock_platform::GatewayEntry;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Log message about a domain whose state changed.
const CHANGED: &str = "failure domain drained or restored";

fn entry_in(domain: &str, id: &str, address: std::net::SocketAddr) -> DirectEndpoint {
    DirectEndpoint {
        domain: DomainId::from(domain),
        ..entry(id, address)
    }
}

async fn start_logged(name: &str, feed: &TestFeed, lines: &LogLines) -> TestGateway {
    let context = DaemonContext::new(lines.logger());
    TestGateway::start_with(settings(name), feed, context).await
}

/// Guards against new requests to the endpoints of a drained domain, and against a domain that gets
/// none after it was restored.
#[tokio::test]
async fn a_drained_domain_gets_no_new_requests_until_it_is_restored() {
    let (a, b) = (NoticeEndpoint::start().await, NoticeEndpoint::start().await);
    let entries = vec![
        entry_in("a", "i-0", a.address),
        entry_in("b", "i-1", b.address),
    ];
    let feed = TestFeed::new(config(1), entries);
    let lines = LogLines::default();
    let mut gateways = Vec::new();
    for number in 0..3 {
        let name = format!("gateway-{number}");
        gateways.push(start_logged(&name, &feed, &lines).await.ready().await);
    }
    let mut callers = JoinSet::new();
    for number in 0..6 {
        let gateway = gateways[number % 3].address();
        callers.spawn(async move {
            for round in 0.. {
                call(gateway, "/safe/x", &format!("{}", 1000 * number + round)).await;
                sleep(Duration::from_millis(10)).await;
            }
        });
    }
    let changes = |count: usize| {
        let lines = lines.clone();
        async move { wait_until(|| lines.with_message(CHANGED).len() == count).await }
    };
    wait_until(|| a.first_arrival().is_some()).await;
    feed.set_drained(&["a"]);
    changes(3).await;
    sleep(Duration::from_millis(50)).await;
    let drained_at = Instant::now();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(a.arrivals_between(drained_at, Instant::now()), 0);
    assert!(b.arrivals_between(drained_at, Instant::now()) > 0);
    feed.set_drained(&[]);
    changes(6).await;
    let restored_at = Instant::now();
    wait_until(|| a.arrivals_between(restored_at, Instant::now()) > 0).await;
}

/// Guards against requests that wait for endpoints in drained domains although there are no others.
#[tokio::test]
async fn requests_are_refused_at_once_if_all_domains_are_drained() {
    let endpoint = NoticeEndpoint::start().await;
    let feed = TestFeed::new(config(1), vec![entry_in("a", "i-0", endpoint.address)]);
    feed.set_drained(&["a"]);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    for route in ["/safe/x", "/once/x", "/stream/x"] {
        let sent_at = Instant::now();
        let response = call(gateway.address(), route, "1").await;
        assert_eq!(response.status(), 503, "{}", response.text);
        assert!(response.has_header("retry-after"), "{}", response.text);
        assert!(sent_at.elapsed() < Duration::from_millis(300), "{route}");
    }
    assert_eq!(endpoint.first_arrival(), None);
}

/// Guards against answers that are cut because their domain was drained.
#[tokio::test]
async fn what_runs_in_a_drained_domain_is_delivered() {
    let events = script::events(1..6, true);
    let endpoint = ScriptedEndpoint::start(vec![EndpointScript::WriteSlowly {
        after: Duration::from_millis(300),
        pieces: vec![events],
        pause: Duration::from_millis(300),
    }])
    .await;
    let feed = TestFeed::new(config(1), vec![entry_in("a", "i-0", endpoint.address)]);
    let lines = LogLines::default();
    let gateway = start_logged("gateway", &feed, &lines).await.ready().await;
    let stream = open_call(gateway.address(), "/stream/x", "1", "secret").await;
    wait_until(|| endpoint.requests().len() == 1).await;
    feed.set_drained(&["a"]);
    wait_until(|| lines.with_message(CHANGED).len() == 1).await;
    let response = read_response(stream).await;
    assert!(response.is_complete(), "{}", response.text);
}

/// Guards against a repeat of a rejected request that goes to a domain drained meanwhile.
#[tokio::test]
async fn a_repeat_does_not_go_to_a_drained_domain() {
    let rejecting = ScriptedEndpoint::start(vec![EndpointScript::WriteSlowly {
        after: Duration::from_millis(500),
        pieces: vec![
            "HTTP/1.1 503 Busy\r\nx-request: REQUEST\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                .to_owned(),
        ],
        pause: Duration::ZERO,
    }])
    .await;
    let other = NoticeEndpoint::start().await;
    let entries = vec![
        entry_in("a", "i-0", rejecting.address),
        entry_in("b", "i-1", other.address),
    ];
    let feed = TestFeed::new(config(1), entries);
    let lines = LogLines::default();
    let gateway = start_logged("gateway", &feed, &lines).await.ready().await;
    let stream = open_call(gateway.address(), "/safe/x", "1", "secret").await;
    wait_until(|| rejecting.requests().len() == 1).await;
    feed.set_drained(&["b"]);
    wait_until(|| lines.with_message(CHANGED).len() == 1).await;
    let response = read_response(stream).await;
    assert_eq!(response.status(), 503, "{}", response.text);
    assert_eq!(other.first_arrival(), None);
}

/// Guards against a gateway that cannot reach the store, or has just started, and sends requests to
/// a drained domain.
#[tokio::test]
async fn peers_pass_on_drained_domains() {
    let endpoint = NoticeEndpoint::start().await;
    let feed = TestFeed::new(config(1), vec![entry_in("a", "i-0", endpoint.address)]);
    feed.set_drained(&["a"]);
    let _first = TestGateway::start("first", &feed).await.ready().await;
    let lines = LogLines::default();
    let second = start_logged("second", &TestFeed::down(), &lines).await;
    assert!(!second.gateway.is_ready());
    feed.add_gateway(GatewayEntry {
        name: "second".into(),
        address: second.gateway.peers_address(),
        domain: "a".into(),
        capacity: 1_000,
    });
    let _third = TestGateway::start("third", &feed).await;
    let second = second.ready().await;
    let response = call(second.address(), "/safe/x", "1").await;
    assert_eq!(response.status(), 503, "{}", response.text);
    feed.set_drained(&[]);
    wait_until(|| lines.with_message(CHANGED).len() == 2).await;
    let response = call(second.address(), "/safe/x", "2").await;
    assert_eq!(response.status(), 200, "{}", response.text);
}

/// First lines of the requests that arrived at engines.
type RequestLines = Arc<Mutex<Vec<String>>>;

/// Starts an engine that grants reservations only once `granted` is set.
async fn start_granting(lines: RequestLines, granted: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await;
    let listener = listener.expect("a free port is available");
    let address = listener.local_addr();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (lines, mut granted) = (Arc::clone(&lines), granted.clone());
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                let length = stream.read(&mut bytes).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&bytes[..length]);
                if let Some(line) = text.lines().next() {
                    let mut lines = lines.lock().expect("the mutex is not poisoned");
                    lines.push(line.to_owned());
                }
                let _ = granted.wait_for(|is_granted| *is_granted).await;
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                let _ = stream.write_all(response).await;
            });
        }
    });
    address.expect("the listener has a local address")
}

/// Guards against a request that is written to an engine whose domain was drained after the request was
/// placed. The search leaves the domain out, but the gateway was waiting for a helper's memory then.
#[tokio::test]
async fn a_request_that_was_placed_before_a_drain_is_not_sent() {
    let (grant, granted) = watch::channel(false);
    let requests = RequestLines::default();
    let mut entries = Vec::new();
    for index in 0..3 {
        let address = start_granting(Arc::clone(&requests), granted.clone()).await;
        // With this many slots, only the first engine is reserved for short prompts.
        entries.push(DirectEndpoint {
            slots: 16,
            ..entry_in("a", &format!("i-{index}"), address)
        });
    }
    let feed = TestFeed::new(engine_config(), entries);
    let lines = LogLines::default();
    let gateway = start_logged("gateway", &feed, &lines).await.ready().await;
    // The response does not fit into the memory of one engine.
    let header = "x-prompt: 40000\r\nx-answer-limit: 500000\r\n";
    let stream = open_call_with(gateway.address(), "/stream/x", "1", "secret", header).await;
    let with_path = |path: &str| {
        let requests = requests.lock().expect("the mutex is not poisoned");
        requests.iter().filter(|line| line.contains(path)).count()
    };
    wait_until(|| with_path("/order") == 1).await;
    feed.set_drained(&["a"]);
    wait_until(|| lines.with_message(CHANGED).len() == 1).await;
    grant.send_replace(true);
    let response = read_response(stream).await;
    assert_eq!(response.status(), 503, "{}", response.text);
    assert_eq!(with_path("/stream/x"), 0);
}
