//! Client for the operators' HTTP interface of lovagedock processes.

use std::{fmt, io, net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use lovagedock_daemon::Transport;
use serde_json::Value;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Calls the operators' interface of processes.
#[async_trait]
pub trait ProcessClient: Send + Sync {
    /// Makes one call and returns the JSON document of the response.
    async fn call(
        &self,
        address: SocketAddr,
        method: ProcessMethod,
        path: &str,
    ) -> Result<Value, ProcessError>;
}

/// Whether a call reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessMethod {
    /// Reads.
    Get,
    /// Writes; carries the operators' token.
    Post,
}

/// Why a call to a process returned no document.
#[derive(Clone, Debug, PartialEq)]
pub enum ProcessError {
    /// No connection was established; the call was not made.
    Unreachable(String),
    /// The connection broke or the call timed out; the call may have been executed.
    NoAnswer(String),
    /// The process refused the call with a problem document.
    Refused(Value),
}

impl fmt::Display for ProcessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "unreachable: {reason}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(problem) => {
                let part = |name: &str| problem[name].as_str().unwrap_or_default().to_owned();
                let code = problem["code"].as_u64().unwrap_or_default();
                write!(
                    f,
                    "refused with {code}, {}: {}",
                    part("title"),
                    part("detail")
                )
            }
        }
    }
}

/// Calls processes over HTTP, with one connection per call.
pub struct HttpProcessClient {
    transport: Transport,
    token: Option<String>,
}

impl HttpProcessClient {
    /// Creates a client that connects over `transport` and sends `token` with writes.
    pub fn new(transport: Transport, token: Option<String>) -> Self {
        Self { transport, token }
    }

    fn request(
        &self,
        address: SocketAddr,
        method: ProcessMethod,
        path: &str,
    ) -> Result<Request<Empty<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .uri(path)
            .header(header::HOST, address.to_string());
        request = match method {
            ProcessMethod::Get => request.method(Method::GET),
            // A POST without a body sends a length of 0, as some servers require a length.
            ProcessMethod::Post => request
                .method(Method::POST)
                .header(header::CONTENT_LENGTH, 0),
        };
        if let (ProcessMethod::Post, Some(token)) = (method, &self.token) {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        request.body(Empty::new())
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Empty<Bytes>>,
    ) -> Result<Value, ProcessError> {
        let stream = self.transport.connect(address).await;
        let stream = stream.map_err(|error| ProcessError::Unreachable(error.to_string()))?;
        let opened = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = opened.map_err(no_answer)?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(no_answer)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await;
            let body = body.map_err(|error| no_answer(io::Error::other(error)))?;
            let document = serde_json::from_slice(&body.to_bytes()).map_err(no_answer)?;
            match status {
                StatusCode::OK => Ok(document),
                _ => Err(ProcessError::Refused(document)),
            }
        };
        let mut exchange = std::pin::pin!(exchange);
        tokio::select! {
            result = &mut exchange => result,
            // The connection may end together with the response, which is then already buffered.
            _ = connection => exchange.await,
        }
    }
}

#[async_trait]
impl ProcessClient for HttpProcessClient {
    async fn call(
        &self,
        address: SocketAddr,
        method: ProcessMethod,
        path: &str,
    ) -> Result<Value, ProcessError> {
        let request = self.request(address, method, path);
        let request = request.map_err(|error| ProcessError::Unreachable(error.to_string()))?;
        match timeout(CALL_TIMEOUT, self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(ProcessError::NoAnswer("timeout".to_owned())),
        }
    }
}

fn no_answer(error: impl fmt::Display) -> ProcessError {
    ProcessError::NoAnswer(error.to_string())
}
