//! Calls over HTTP to a platform's store.

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

/// Idle time after which the kernel asks whether the other side is there, and between questions.
/// A watch waits for seconds without a byte; a connection that went silent meanwhile would hide
/// every change until its end. Three questions without an answer end it.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 2;

/// Time after which sent bytes that nobody acknowledged end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends calls to a store; every client of a store uses it.
pub struct StoreClient {
    timeouts: StoreTimeouts,
    client: Mutex<HttpClient>,
}

/// How long a call may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTimeouts {
    /// To open a connection.
    pub connect: Duration,
    /// From the call to its whole answer; a watch gets this on top of its wait.
    pub call: Duration,
    /// How long an unused connection is kept.
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

/// A whole answer of a store.
#[derive(Clone, Debug)]
pub struct StoreResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why no whole answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection could be opened, so the call was never sent.
    NotSent,
    /// The call may have reached the store.
    MayHaveReached,
}

impl StoreClient {
    /// A client without connections.
    pub fn new(timeouts: StoreTimeouts) -> Self {
        Self {
            timeouts,
            client: Mutex::new(new_client(timeouts)),
        }
    }

    /// Sends a call that the store may hold for `wait`; the answer has `limit` bytes at most.
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
                // A connection that went silent looks alive, and others to the same host may be
                // as dead: every call would wait out its time. New connections work, so the pool
                // is left behind with all that is in it.
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
