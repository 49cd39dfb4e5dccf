//! Endpoints that send rate limit, leaving and backoff notices in their responses, and fleets of
//! gateways that call them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use lovagedock_daemon::DaemonContext;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::sleep,
};

use super::{
    LogLines, TestFeed, TestGateway, any_port, call, config, endpoint::read_request, entry,
    settings,
};

/// Simulated processing time of a request.
const RUN_TIME: Duration = Duration::from_millis(10);

/// Status and headers of an endpoint's responses.
#[derive(Clone, Debug)]
struct NoticeResponse {
    status: &'static str,
    /// Additional header lines, each terminated by CRLF.
    header_lines: String,
}

/// An endpoint that sends the configured response to every request.
#[derive(Clone)]
pub(crate) struct NoticeEndpoint {
    pub(crate) address: SocketAddr,
    response: Arc<Mutex<NoticeResponse>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl NoticeEndpoint {
    /// Starts an endpoint that responds with status 200 and no notices.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind(any_port()).await;
        let listener = listener.expect("a free port is available");
        let endpoint = Self {
            address: listener
                .local_addr()
                .expect("the listener has a local address"),
            response: Arc::new(Mutex::new(NoticeResponse {
                status: "200 OK",
                header_lines: String::new(),
            })),
            arrivals: Arc::default(),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = serving.clone();
                tokio::spawn(async move { endpoint.serve(stream).await });
            }
        });
        endpoint
    }

    /// Responds to subsequent requests with status 200 and these header lines.
    pub(crate) fn serve_with(&self, header_lines: &str) {
        self.set_response("200 OK", header_lines);
    }

    /// Rejects subsequent requests with status 503 and these header lines.
    pub(crate) fn reject_with(&self, header_lines: &str) {
        self.set_response("503 Busy", &format!("x-not-run: 1\r\n{header_lines}"));
    }

    /// Returns the number of requests that arrived in `from..to`.
    pub(crate) fn arrivals_between(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals
            .iter()
            .filter(|at| (from..to).contains(*at))
            .count()
    }

    /// Returns the largest number of arrivals in any window of length `span` that starts with an
    /// arrival at or after `since`.
    pub(crate) fn max_arrivals_in(&self, span: Duration, since: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        let starts = arrivals.iter().filter(|start| **start >= since);
        let counts = starts.map(|start| {
            let within = arrivals
                .iter()
                .filter(|at| *at >= start && **at - *start < span);
            within.count()
        });
        counts.max().unwrap_or(0)
    }

    /// Returns when the first request arrived.
    pub(crate) fn first_arrival(&self) -> Option<Instant> {
        let arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals.first().copied()
    }

    fn set_response(&self, status: &'static str, header_lines: &str) {
        let mut response = self.response.lock().expect("the mutex is not poisoned");
        *response = NoticeResponse {
            status,
            header_lines: header_lines.to_owned(),
        };
    }

    fn record_arrival(&self) -> NoticeResponse {
        let mut arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals.push(Instant::now());
        let response = self.response.lock().expect("the mutex is not poisoned");
        response.clone()
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let request = read_request(&mut stream).await?;
        let NoticeResponse {
            status,
            header_lines,
        } = self.record_arrival();
        sleep(RUN_TIME).await;
        let mut fields = request.lines();
        let id = fields.find_map(|line| line.strip_prefix("x-request: "))?;
        let text = format!(
            "HTTP/1.1 {status}\r\nx-request: {id}\r\nx-seal: s\r\n{header_lines}content-length: 5\r\n\r\nwhole"
        );
        stream.write_all(text.as_bytes()).await.ok()
    }
}

/// Gateways that log to `lines`, and the endpoints that they route to.
pub(crate) struct NoticeFleet {
    pub(crate) gateways: Vec<TestGateway>,
    pub(crate) endpoints: Vec<NoticeEndpoint>,
    pub(crate) lines: LogLines,
    callers: JoinSet<()>,
}

impl NoticeFleet {
    /// Starts a fleet whose endpoints respond with status 200 and no notices.
    pub(crate) async fn start(gateways: usize, endpoints: usize) -> Self {
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
            callers: JoinSet::new(),
        };
        for number in 0..gateways {
            let name = format!("gateway-{number}");
            let context = DaemonContext::new(fleet.lines.logger());
            let gateway = TestGateway::start_with(settings(&name), &feed, context).await;
            fleet.gateways.push(gateway.ready().await);
        }
        fleet
    }

    /// Starts callers, spread over the gateways, that send requests to `route` until the fleet is
    /// dropped, with a pause after each request.
    pub(crate) fn start_callers(&mut self, callers: usize, route: &'static str, pause: Duration) {
        for number in 0..callers {
            let gateway = self.gateways[number % self.gateways.len()].address();
            self.callers.spawn(async move {
                for round in 0.. {
                    call(
                        gateway,
                        &format!("{route}x"),
                        &format!("{}", 1000 * number + round),
                    )
                    .await;
                    sleep(pause).await;
                }
            });
        }
    }
}
