//! Reports to the balancer whether the gateway accepts connections.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use slog::{Logger, debug, warn};
use tokio::{net::TcpListener, time::sleep};

use super::{caller_server::ACCEPT_RETRY_DELAY, state::GatewayState};

/// Serves health checks until it is dropped.
pub(crate) async fn serve_health_checks(
    listener: TcpListener,
    state: Arc<GatewayState>,
    log: Logger,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "cannot accept a health check"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = Arc::clone(&state);
        let log = log.clone();
        tokio::spawn(async move {
            let service = service_fn(|_: hyper::Request<Incoming>| {
                let ready = state.is_ready();
                async move { Ok::<_, Infallible>(respond(ready)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "health check connection failed"; "error" => %error);
            }
        });
    }
}

fn respond(ready: bool) -> Response<Empty<Bytes>> {
    let mut response = Response::new(Empty::new());
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Binds the listener for health checks.
pub(crate) async fn bind_health_checks(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
