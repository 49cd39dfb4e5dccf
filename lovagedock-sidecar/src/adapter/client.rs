//! HTTP client for an endpoint, with one connection per call. Waits are limited by the idle
//! timeout, except for responses that arrive only when all work is done.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1,
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use super::{error::EngineError, registry::AdapterOptions};

const MAX_BODY_BYTES: usize = 64 << 20;
const MAX_DETAIL_CHARS: usize = 300;

/// A response; its connection is closed when it is dropped.
pub(crate) struct EngineResponse {
    pub(crate) inner: Response<Incoming>,
    pub(crate) connection: AbortOnDropHandle<()>,
}

/// HTTP client for one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    options: AdapterOptions,
}

impl EngineClient {
    pub(crate) fn new(options: &AdapterOptions) -> Self {
        Self {
            options: options.clone(),
        }
    }

    /// Sends a request and waits for the head of the response without a time limit of its own.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<EngineResponse, EngineError> {
        let host = self.options.address.to_string();
        if let Ok(host) = host.parse() {
            request.headers_mut().insert(HOST, host);
        }
        let stream = self.connect().await?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream))
                .await
                .map_err(|error| EngineError::Unreachable {
                    detail: error.to_string(),
                })?;
        let task = tokio::spawn(async move {
            // A broken connection is reported by the request that uses it.
            let _ = connection.await;
        });
        let connection = AbortOnDropHandle::new(task);
        let inner = sender
            .send_request(request)
            .await
            .map_err(EngineError::lost)?;
        Ok(EngineResponse { inner, connection })
    }

    /// Sends a request. If the head takes longer than the idle timeout, the request counts as lost.
    pub(crate) async fn send_within_idle_timeout(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<EngineResponse, EngineError> {
        self.within_idle_timeout(self.send(request)).await?
    }

    /// Makes a call with a JSON body and a JSON response; each wait is limited by the idle timeout.
    pub(crate) async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<T, EngineError> {
        let bytes = self.call_bytes(method, path, json_bytes(body)?).await?;
        serde_json::from_slice(&bytes).map_err(EngineError::failed)
    }

    /// Makes a GET call with a JSON response; each wait is limited by the idle timeout.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let bytes = self.call_bytes(Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&bytes).map_err(EngineError::failed)
    }

    /// Makes a call and returns the body of the response; each wait is limited by the idle timeout.
    pub(crate) async fn call_bytes(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, EngineError> {
        let response = self
            .send_within_idle_timeout(json_request(method, path, body)?)
            .await?;
        let response = check_status(response, self).await?;
        self.within_idle_timeout(read_all(response)).await?
    }

    /// Waits for a future for at most the idle timeout.
    ///
    /// A connection can stop delivering data without an error, and the wait would never end. A
    /// working engine never pauses for longer than this timeout.
    pub(crate) async fn within_idle_timeout<F: Future>(
        &self,
        future: F,
    ) -> Result<F::Output, EngineError> {
        timeout(self.options.idle_timeout, future)
            .await
            .map_err(|_| self.idle_timeout_error())
    }

    pub(crate) fn idle_timeout(&self) -> Duration {
        self.options.idle_timeout
    }

    fn idle_timeout_error(&self) -> EngineError {
        let limit = self.idle_timeout();
        EngineError::lost(format!("the endpoint sent nothing for {limit:?}"))
    }

    async fn connect(&self) -> Result<TcpStream, EngineError> {
        let connecting = TcpStream::connect(self.options.address);
        let stream = match timeout(self.options.connect_timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                return Err(EngineError::Unreachable {
                    detail: error.to_string(),
                });
            }
            Err(_) => {
                return Err(EngineError::Unreachable {
                    detail: "the connection attempt timed out".to_owned(),
                });
            }
        };
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}

/// Creates a request with a JSON body.
pub(crate) fn json_request(
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, EngineError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(bad_request)
}

/// Serialises a body. An error means that nothing was sent.
pub(crate) fn json_bytes<B: Serialize>(body: &B) -> Result<Bytes, EngineError> {
    serde_json::to_vec(body)
        .map(Bytes::from)
        .map_err(bad_request)
}

pub(crate) fn bad_request(error: impl ToString) -> EngineError {
    EngineError::Refused {
        status: StatusCode::BAD_REQUEST.as_u16(),
        detail: error.to_string(),
    }
}

/// Converts a response with an error status into an error.
///
/// Engines return 4xx and 503 before they start any work. Any other error status may come from work
/// that had started.
pub(crate) async fn check_status(
    response: EngineResponse,
    client: &EngineClient,
) -> Result<EngineResponse, EngineError> {
    let status = response.inner.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = client.within_idle_timeout(read_all(response)).await??;
    let detail: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_DETAIL_CHARS)
        .collect();
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(EngineError::Refused {
            status: status.as_u16(),
            detail,
        });
    }
    Err(EngineError::failed(detail))
}

/// Reads a whole body; fails if it exceeds the size limit.
pub(crate) async fn read_all(response: EngineResponse) -> Result<Bytes, EngineError> {
    let _connection = response.connection;
    let body = Limited::new(response.inner.into_body(), MAX_BODY_BYTES);
    let collected = body.collect().await.map_err(EngineError::lost)?;
    Ok(collected.to_bytes())
}
