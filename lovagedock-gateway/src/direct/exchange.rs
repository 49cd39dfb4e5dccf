//! Sends one request to one endpoint, on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use super::request_body::OutgoingBody;

/// Time limit for opening a connection. A live endpoint in another failure domain responds within 5
/// ms. A lost packet is retransmitted after a second, and by then another endpoint has responded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which unacknowledged data ends the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first TCP keepalive probe, and the time between probes; both in whole
/// seconds.
///
/// Probes detect a host that loses power and returns with another process under the same address.
/// That process accepts new connections, and it rejects the old one only when it is probed. Without
/// probes a caller would wait for the former process until the deadline. If the host does not
/// respond to probes, the connection ends after [`TCP_USER_TIMEOUT`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint's response and its connection.
///
/// Dropping it closes the connection, and the engine then stops its work.
pub(crate) struct EndpointResponse {
    /// Status, headers and the body, which is still being received.
    pub(crate) message: Response<Incoming>,
    connection: ConnectionTask,
}

impl EndpointResponse {
    /// Returns the response and its connection, which must be kept while the body is read.
    pub(crate) fn into_parts(self) -> (Response<Incoming>, ConnectionTask) {
        (self.message, self.connection)
    }
}

/// A connection to an endpoint that has not been used yet.
///
/// Each request gets its own connection. A late or duplicate response, or bytes after its end, then
/// cannot be attributed to another request. No request is lost on a connection that the endpoint
/// closes at the same moment, which would be indistinguishable from a request that ran. The cost is
/// one round trip, up to 3 ms.
pub(crate) struct EndpointConnection {
    sender: http1::SendRequest<OutgoingBody>,
    task: ConnectionTask,
}

/// Why no response was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExchangeError {
    /// Cause, for the log.
    pub(crate) detail: String,
}

/// Task that drives a connection. Dropping it closes the connection.
pub(crate) struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EndpointConnection {
    /// Connects to an endpoint.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, ExchangeError> {
        Self::open_with_limit(address, None).await
    }

    /// Connects to an endpoint. `max_read_bytes` limits the head of the response and each read of
    /// its body, in bytes.
    pub(crate) async fn open_with_limit(
        address: SocketAddr,
        max_read_bytes: Option<usize>,
    ) -> Result<Self, ExchangeError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::new(error)),
            Err(_) => return Err(ExchangeError::new("connection attempt timed out")),
        };
        // Failures are ignored: without these options, requests still work but are slower.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
        let _ = socket.set_tcp_keepalive(&probes.with_interval(KEEPALIVE_INTERVAL));
        let mut builder = http1::Builder::new();
        if let Some(max_read_bytes) = max_read_bytes {
            builder.max_buf_size(max_read_bytes);
        }
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(ExchangeError::new)?;
        let task = tokio::spawn(async move {
            // The request gets this error through its response or its body.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: ConnectionTask(task),
        })
    }

    /// Sends the request and waits for the head of the response, or until `cancelled` completes.
    pub(crate) async fn send(
        mut self,
        request: Request<OutgoingBody>,
        cancelled: impl Future<Output = ()>,
    ) -> Result<EndpointResponse, ExchangeError> {
        let response = self.sender.send_request(request);
        tokio::select! {
            biased;
            response = response => match response {
                Ok(message) => Ok(EndpointResponse {
                    message,
                    connection: self.task,
                }),
                Err(error) => Err(ExchangeError::new(error)),
            },
            () = cancelled => Err(ExchangeError::new("abandoned while waiting for the response")),
        }
    }
}

impl ExchangeError {
    fn new(detail: impl ToString) -> Self {
        Self {
            detail: detail.to_string(),
        }
    }
}
