//! Engines that become silent while they have a request, over real sockets.

mod direct_support;

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use direct_support::{
    SERVICE, TestFeed, TestGateway, config, endpoint_scripts as script, entry, open_call_with,
    read_response, wait_until,
};
use lovagedock::{EngineProfile, ServiceProfile, TrafficConfig};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::sleep,
};

const ENGINES: usize = 16;

/// Prompt that exceeds the memory of one engine.
const LARGE_PROMPT: &str = "x-prompt: 1500\r\n";

/// What the engines do with requests, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EngineBehaviour {
    /// Rejects the request as not run.
    Refuse,
    /// The process ends: its port refuses connections, and the open connection stays silent.
    EndSilently,
    /// The connection stays silent, and the process accepts others.
    StaySilent,
    /// Sends the complete response.
    Serve,
}

/// Requests and commands that all engines received.
#[derive(Default)]
struct EngineLog {
    behaviours: Mutex<Vec<EngineBehaviour>>,
    requests: Mutex<Vec<SocketAddr>>,
    /// Memory commands, with the number of requests that arrived before.
    commands: Mutex<Vec<(usize, String)>>,
}

impl EngineLog {
    fn new(behaviours: &[EngineBehaviour]) -> Arc<Self> {
        let behaviours = behaviours.iter().rev().copied().collect();
        Arc::new(Self {
            behaviours: Mutex::new(behaviours),
            ..Self::default()
        })
    }

    fn requests(&self) -> Vec<SocketAddr> {
        self.requests
            .lock()
            .expect("the mutex is not poisoned")
            .clone()
    }

    fn record_command(&self, command: String) {
        let before = self.requests().len();
        let mut commands = self.commands.lock().expect("the mutex is not poisoned");
        commands.push((before, command));
    }

    /// Returns the number of reserve commands that arrived after exactly `requests` requests.
    fn reservations_after(&self, requests: usize) -> usize {
        let commands = self.commands.lock().expect("the mutex is not poisoned");
        let after = commands.iter().filter(|(before, _)| *before == requests);
        after
            .filter(|(_, command)| command.contains("Reserve"))
            .count()
    }
}

/// Starts an engine that handles requests by the log's list of behaviours.
async fn start_engine(log: Arc<EngineLog>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener
        .local_addr()
        .expect("the listener has a local address");
    let ended = Arc::new(Notify::new());
    tokio::spawn(async move {
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted,
                () = ended.notified() => return,
            };
            let Ok((stream, _)) = stream else { return };
            let (log, ended) = (Arc::clone(&log), Arc::clone(&ended));
            tokio::spawn(async move { serve(stream, address, &log, &ended).await });
        }
    });
    address
}

async fn serve(
    mut stream: TcpStream,
    address: SocketAddr,
    log: &EngineLog,
    ended: &Notify,
) -> Option<()> {
    let request = read_message(&mut stream).await?;
    if request.contains("/order") {
        log.record_command(request);
        let text = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        return stream.write_all(text.as_bytes()).await.ok();
    }
    log.requests
        .lock()
        .expect("the mutex is not poisoned")
        .push(address);
    let behaviour = log
        .behaviours
        .lock()
        .expect("the mutex is not poisoned")
        .pop();
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("x-request: "));
    let text = match behaviour {
        Some(EngineBehaviour::Refuse) => {
            "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Some(EngineBehaviour::EndSilently) => {
            ended.notify_one();
            std::future::pending().await
        }
        Some(EngineBehaviour::StaySilent) | None => std::future::pending().await,
        Some(EngineBehaviour::Serve) => script::events(1..4, true),
    };
    let text = text.replace("REQUEST", id.unwrap_or_default());
    stream.write_all(text.as_bytes()).await.ok()
}

async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let length = stream
            .read(&mut piece)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        bytes.extend_from_slice(&piece[..length]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let mut lines = head.lines();
        let expected = lines.find_map(|line| line.strip_prefix("content-length: "));
        let expected: usize = expected.and_then(|number| number.parse().ok()).unwrap_or(0);
        if body.len() >= expected {
            return Some(text);
        }
    }
}

/// A configuration whose engines have memory for a thousand tokens each.
fn small_engines() -> TrafficConfig {
    config(1).with_service(ServiceProfile {
        id: SERVICE.into(),
        cold: None,
        max_connections: 100,
        engine: Some(EngineProfile {
            slots: 4,
            memory_tokens: 1000,
            steps_per_pass: 10,
            step_ms: 1.0,
            step_ms_per_writer: 0.0,
            step_ms_per_1k_context: 0.0,
            read_tokens_per_ms: 10.0,
            read_ms_per_1m_pairs: 0.0,
        }),
    })
}

async fn start_fleet(behaviours: &[EngineBehaviour]) -> (Arc<EngineLog>, TestGateway) {
    let log = EngineLog::new(behaviours);
    let mut entries = Vec::new();
    for index in 0..ENGINES {
        let address = start_engine(Arc::clone(&log)).await;
        entries.push(entry(&format!("i-{index}"), address));
    }
    let feed = TestFeed::new(small_engines(), entries);
    let gateway = TestGateway::start("gateway", &feed).await.ready().await;
    (log, gateway)
}

/// Guards against a large prompt that fails because its engine ended without closing the
/// connection, with no attempt left.
///
/// The first engine rejects the request as not run. The second one accepts it and ends, and the
/// connection stays open and silent. A third engine must serve the caller in time, and the memory
/// of the helpers must not be kept for the process that is gone.
#[tokio::test]
async fn a_request_is_retried_when_its_engine_ends_silently() {
    let behaviours = [
        EngineBehaviour::Refuse,
        EngineBehaviour::EndSilently,
        EngineBehaviour::Serve,
    ];
    let (log, gateway) = start_fleet(&behaviours).await;
    let stream = open_call_with(gateway.address(), "/stream/x", "1", "secret", LARGE_PROMPT).await;
    let response = read_response(stream).await;
    assert_eq!(response.status(), 200, "{}", response.text);
    assert!(response.is_complete(), "{}", response.text);
    assert_eq!(log.requests().len(), 3);
    // The reservations are those of the third attempt; none was renewed for the second one after
    // its engine had ended.
    assert_eq!(log.reservations_after(2), log.reservations_after(0));
}

/// Guards against open connections to silent engines without keepalive probes.
///
/// An engine's host loses power and returns with another process under the same address. The old
/// connection stays silent forever, while new ones are accepted. Only a probe makes the kernel of
/// that host report that the old connection is gone.
#[tokio::test]
async fn silent_connections_are_probed() {
    let (log, gateway) = start_fleet(&[EngineBehaviour::StaySilent]).await;
    let stream = open_call_with(gateway.address(), "/stream/x", "1", "secret", LARGE_PROMPT).await;
    wait_until(|| log.requests().len() == 1).await;
    let port = log.requests()[0].port();
    // The keepalive timer starts once the request is acknowledged, shortly after it was read.
    for _ in 0..200 {
        if has_keepalive(port) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    drop(stream);
    panic!("no probes to port {port}");
}

/// Returns whether a keepalive timer is active on a connection to a local port.
fn has_keepalive(port: u16) -> bool {
    const KEEPALIVE_TIMER: &str = "02:";
    let remote = format!(":{port:04X}");
    let table = fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
    table.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|to| to.ends_with(&remote))
            && fields
                .get(5)
                .is_some_and(|timer| timer.starts_with(KEEPALIVE_TIMER))
    })
}
