//! Endpoints that send leaving and backoff notices in their answers.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{any_port, endpoint::read_request};

/// Simulated processing time of a request.
const RUN_TIME: Duration = Duration::from_millis(10);

/// Status and headers of an endpoint's answers.
#[derive(Clone, Debug)]
struct NoticeAnswer {
    status: &'static str,
    /// Additional header lines, each terminated by CRLF.
    header_lines: String,
}

/// An endpoint that sends the configured answer to every request.
#[derive(Clone)]
pub(crate) struct NoticeEndpoint {
    pub(crate) address: SocketAddr,
    answer: Arc<Mutex<NoticeAnswer>>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl NoticeEndpoint {
    /// Starts an endpoint that answers with status 200 and no notices.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind(any_port()).await;
        let listener = listener.expect("a free port is available");
        let endpoint = Self {
            address: listener
                .local_addr()
                .expect("the listener has a local address"),
            answer: Arc::new(Mutex::new(NoticeAnswer {
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

    /// Answers subsequent requests with status 200 and these header lines.
    pub(crate) fn serve_with(&self, header_lines: &str) {
        self.set_answer("200 OK", header_lines);
    }

    /// Rejects subsequent requests with status 503 and these header lines.
    pub(crate) fn reject_with(&self, header_lines: &str) {
        self.set_answer("503 Busy", &format!("x-not-run: 1\r\n{header_lines}"));
    }

    /// Returns the number of requests that arrived in `from..to`.
    pub(crate) fn arrivals_between(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals
            .iter()
            .filter(|at| (from..to).contains(*at))
            .count()
    }

    /// Returns when the first request arrived.
    pub(crate) fn first_arrival(&self) -> Option<Instant> {
        let arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals.first().copied()
    }

    fn set_answer(&self, status: &'static str, header_lines: &str) {
        let mut answer = self.answer.lock().expect("the mutex is not poisoned");
        *answer = NoticeAnswer {
            status,
            header_lines: header_lines.to_owned(),
        };
    }

    fn record_arrival(&self) -> NoticeAnswer {
        let mut arrivals = self.arrivals.lock().expect("the mutex is not poisoned");
        arrivals.push(Instant::now());
        let answer = self.answer.lock().expect("the mutex is not poisoned");
        answer.clone()
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let request = read_request(&mut stream).await?;
        let NoticeAnswer {
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
