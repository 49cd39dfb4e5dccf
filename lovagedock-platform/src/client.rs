//! HTTP client for a platform's store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use parking_lot::Mutex;
use tokio::time::timeout;

const MAX_IDLE_CONNECTIONS: usize = 8;

/// Idle time before the first TCP keepalive probe, and interval between probes. A watch waits for
/// seconds without receiving a byte; a dead connection would hide every change until the wait ends.
/// A connection ends after three unanswered probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which a connection with unacknowledged sent bytes is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends calls to a store over HTTP; shared by the clients of the different platform APIs.
pub struct StoreClient {
    timeouts: StoreTimeouts,
    client: Mutex<HttpClient>,
}

/// Timeouts of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// Time limit for opening a connection.
    pub connect: Duration,
    /// Time limit from sending the call to its complete response; a watch gets this in addition to
    /// its wait.
    pub call: Duration,
    /// Time for which an unused connection is kept.
    pub idle: Duration,
}

impl Default for StoreTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            call: Duration::from_secs(2),
            idle: Duration::from_secs(15),
        }
    }
}

/// A complete response of a store.
#[derive(Clone, Debug)]
pub struct StoreResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// HTTP body.
    pub body: Bytes,
}

/// Reason why no complete response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be opened, so the call was not sent.
    NotSent,
    /// The call may have reached the store.
    MayHaveReached,
}

impl StoreClient {
    /// Creates a client without open connections.
    pub fn new(timeouts: StoreTimeouts) -> Self {
        Self {
            timeouts,
            client: Mutex::new(new_client(timeouts)),
        }
    }

    /// Sends a call that the store may delay for up to `wait`; the response has at most `limit`
    /// bytes.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: usize,
        wait: Duration,
    ) -> Result<StoreResponse, CallFailure> {
        let client = self.client.lock().clone();
        match timeout(
            self.timeouts.call + wait,
            send_and_collect(&client, request, limit),
        )
        .await
        {
            Ok(result) => result,
            Err(_) => {
                // A dead connection appears open, and other connections to the same host may be
                // dead too: every call on them would run into its timeout. New connections work, so
                // the whole connection pool is replaced.
                *self.client.lock() = new_client(self.timeouts);
                Err(CallFailure::MayHaveReached)
            }
        }
    }
}

fn new_client(timeouts: StoreTimeouts) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(timeouts.idle)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

async fn send_and_collect(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    limit: usize,
) -> Result<StoreResponse, CallFailure> {
    let response = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            CallFailure::NotSent
        } else {
            CallFailure::MayHaveReached
        }
    })?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|_| CallFailure::MayHaveReached)?
        .to_bytes();
    Ok(StoreResponse {
        status: head.status,
        headers: head.headers,
        body,
    })
}
