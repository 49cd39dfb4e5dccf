//! One request to one endpoint, on a connection of its own.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

/// Time to open a connection. A live endpoint in another failure domain answers within 5 ms; a
/// lost packet is sent again after a second, and by then another endpoint has answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Time after which sent bytes that nobody acknowledged end the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which an endpoint's host is asked whether the connection's other end is there, and the
/// time between questions; both in whole seconds.
///
/// The failure that they answer: a host loses power and comes back with another process under the same
/// address. It takes new connections; only of the old one it says that it knows nothing of it, when it is
/// asked. Without that a caller waits for the process that is gone until the deadline. A host that gives
/// no answer ends the connection after [`UNACKNOWLEDGED_TIME`].
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An endpoint's answer and the connection that it comes on.
///
/// Dropping it closes the connection, and the engine stops the work.
pub(crate) struct EndpointResponse {
    /// Status, headers and the body as it comes.
    pub(crate) message: Response<Incoming>,
    connection: ConnectionTask,
}

impl EndpointResponse {
    /// The answer, and the connection that has to be kept while its body is read.
    pub(crate) fn into_parts(self) -> (Response<Incoming>, ConnectionTask) {
        (self.message, self.connection)
    }
}

/// A connection to an endpoint over which nothing was sent yet.
///
/// Each request gets its own. An answer that comes late, twice or with bytes after its end then
/// belongs to no other request, and no request is lost on a connection that the endpoint closes in
/// the same moment, which could not be told from one that ran. It costs a round trip, up to 3 ms.
pub(crate) struct EndpointConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ExchangeError {
    /// What went wrong, for the log.
    pub(crate) detail: String,
}

/// The task that moves a connection's bytes; dropping it closes the connection.
pub(crate) struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl EndpointConnection {
    /// Connects.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, ExchangeError> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::new(error)),
            Err(_) => return Err(ExchangeError::new("no connection in time")),
        };
        // Neither is needed for the request to succeed; without them it is only slower.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
        let _ = socket.set_tcp_keepalive(&probes.with_interval(KEEPALIVE_INTERVAL));
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(ExchangeError::new)?;
        let task = tokio::spawn(async move {
            // The error reaches the request through its answer or its body.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: ConnectionTask(task),
        })
    }

    /// Sends the request and waits for the head of the answer, or until `given_up` ends.
    pub(crate) async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        given_up: impl Future<Output = ()>,
    ) -> Result<EndpointResponse, ExchangeError> {
        let response = self.sender.send_request(request);
        tokio::select! {
            biased;
            response = response => match response {
                Ok(message) => Ok(EndpointResponse { message,
                    connection: self.task,
                }),
                Err(error) => Err(ExchangeError::new(error)),
            },
            () = given_up => Err(ExchangeError::new("no answer in time")),
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
