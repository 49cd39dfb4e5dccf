//! An endpoint that follows a script for each connection.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// What an endpoint does with a connection after it has read the request.
#[derive(Clone, Debug)]
pub(crate) enum EndpointScript {
    /// Writes this text and closes. `REQUEST` in it is replaced by the request's id.
    Write(String),
    /// Writes this text and resets the connection a moment later.
    WriteAndReset(String),
    /// Writes this text and then waits until the other side closes.
    WriteAndHold(String),
    /// Waits, writes these pieces with a pause after each, and closes.
    WriteSlowly {
        after: Duration,
        pieces: Vec<String>,
        pause: Duration,
    },
    /// Resets the connection.
    Reset,
}

/// An endpoint on a free port.
#[derive(Clone)]
pub(crate) struct ScriptedEndpoint {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<EndpointLog>>,
}

#[derive(Default)]
struct EndpointLog {
    scripts: VecDeque<EndpointScript>,
    requests: Vec<String>,
    closed: usize,
}

impl ScriptedEndpoint {
    /// Starts an endpoint that uses one script for each connection. After the last script it resets
    /// connections.
    pub(crate) async fn start(scripts: impl IntoIterator<Item = EndpointScript>) -> Self {
        let mut pool = Self::start_pool(1, scripts).await;
        pool.remove(0)
    }

    /// Starts `count` endpoints that use the scripts in the order in which requests arrive at any
    /// of them.
    pub(crate) async fn start_pool(
        count: usize,
        scripts: impl IntoIterator<Item = EndpointScript>,
    ) -> Vec<Self> {
        let state = Arc::new(Mutex::new(EndpointLog {
            scripts: scripts.into_iter().collect(),
            ..EndpointLog::default()
        }));
        let mut pool = Vec::new();
        for _ in 0..count {
            pool.push(Self::listen(Arc::clone(&state)).await);
        }
        pool
    }

    async fn listen(state: Arc<Mutex<EndpointLog>>) -> Self {
        let listener = TcpListener::bind(super::any_port())
            .await
            .expect("a port is free");
        let address = listener
            .local_addr()
            .expect("the listener has a local address");
        let endpoint = Self { address, state };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = serving.clone();
                tokio::spawn(async move { endpoint.serve(stream).await });
            }
        });
        endpoint
    }

    /// Returns the received requests as text.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.state
            .lock()
            .expect("the mutex is not poisoned")
            .requests
            .clone()
    }

    /// Returns the number of held connections that the other side closed.
    pub(crate) fn closed(&self) -> usize {
        self.state.lock().expect("the mutex is not poisoned").closed
    }

    async fn serve(&self, mut stream: TcpStream) {
        let Some(request) = read_request(&mut stream).await else {
            return;
        };
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("x-request: "));
        let id = id.unwrap_or_default().to_owned();
        let script = {
            let mut state = self.state.lock().expect("the mutex is not poisoned");
            state.requests.push(request);
            state.scripts.pop_front().unwrap_or(EndpointScript::Reset)
        };
        let (text, hold) = match script {
            EndpointScript::Write(text) => (text, false),
            EndpointScript::WriteAndHold(text) => (text, true),
            EndpointScript::WriteSlowly {
                after,
                pieces,
                pause,
            } => {
                sleep(after).await;
                for piece in pieces {
                    let piece = piece.replace("REQUEST", &id);
                    if stream.write_all(piece.as_bytes()).await.is_err() {
                        return;
                    }
                    sleep(pause).await;
                }
                return;
            }
            EndpointScript::WriteAndReset(text) => {
                let text = text.replace("REQUEST", &id);
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    // A reset discards what the other side has not read.
                    sleep(RESET_DELAY).await;
                }
                reset(stream);
                return;
            }
            EndpointScript::Reset => {
                reset(stream);
                return;
            }
        };
        let text = text.replace("REQUEST", &id);
        if stream.write_all(text.as_bytes()).await.is_err() || !hold {
            return;
        }
        let mut rest = [0; 64];
        while stream.read(&mut rest).await.is_ok_and(|length| length > 0) {}
        self.state.lock().expect("the mutex is not poisoned").closed += 1;
    }
}

/// Time in which the other side reads what was written before a reset.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// Closes a connection with a linger time of zero, which sends a reset.
fn reset(stream: TcpStream) {
    let socket = socket2::SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the linger time can be set");
}

/// Reads a request with the body that the test callers send. Returns `None` for a connection
/// without one.
pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let length = stream.read(&mut piece).await.ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&piece[..length]);
        let text = String::from_utf8_lossy(&bytes);
        if text.ends_with("\r\n\r\nbody") {
            return Some(text.into_owned());
        }
    }
}
