//! Transfers the configuration and the endpoints between gateways.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::HOST, server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use lovagedock::TrafficConfig;
use slog::{Logger, debug, warn};
use tokio::{
    net::TcpListener,
    time::{sleep, timeout},
};

use super::{
    caller_server::ACCEPT_RETRY_DELAY,
    exchange::EndpointConnection,
    peer_message::PROTOCOL_VERSION,
    request_body::RequestBody,
    state::{EndpointsSnapshot, GatewayState},
};

/// Names of the transferred objects. The path is `/FLEET/PROTOCOL/NAME`, so that a gateway of
/// another fleet, or with another protocol version, finds nothing.
const TRAFFIC: &str = "traffic";
const ENDPOINTS: &str = "endpoints";

/// Time limit for a peer's response. A peer in another failure domain responds within a few
/// milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for a connected peer to send its request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a peer's response, in bytes. A configuration with 25,000 organisations has about
/// 4 MB.
const MAX_PULL_BYTES: usize = 16 << 20;

/// Serves requests of peers until it is dropped.
pub(crate) async fn serve_peers(listener: TcpListener, state: Arc<GatewayState>, log: Logger) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(log, "cannot accept a peer"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let state = Arc::clone(&state);
        let log = log.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = respond(&state, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(REQUEST_HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                debug!(log, "peer connection failed"; "error" => %error);
            }
        });
    }
}

fn respond(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let bytes = match path.strip_prefix(&snapshot_path(state, "")) {
        Some(TRAFFIC) => state.config().map(|config| postcard::to_stdvec(&*config)),
        Some(ENDPOINTS) => Some(postcard::to_stdvec(&state.endpoints_snapshot())),
        _ => None,
    };
    let (status, body) = match bytes {
        Some(Ok(bytes)) => (StatusCode::OK, Bytes::from(bytes)),
        Some(Err(_)) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        None => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Requests a newer configuration from a peer and applies it.
pub(crate) async fn pull_traffic(state: &GatewayState, peer: SocketAddr) {
    let Some(bytes) = pull_snapshot(state, peer, TRAFFIC).await else {
        return;
    };
    match postcard::from_bytes::<TrafficConfig>(&bytes) {
        Ok(config) => {
            state.apply_config(Arc::new(config), "peer");
        }
        Err(error) => warn!(state.log, "cannot decode a peer's configuration";
            "peer" => %peer, "error" => %error),
    }
}

/// Requests newer endpoints from a peer and applies them.
pub(crate) async fn pull_endpoints(state: &GatewayState, peer: SocketAddr) {
    let Some(bytes) = pull_snapshot(state, peer, ENDPOINTS).await else {
        return;
    };
    match postcard::from_bytes::<EndpointsSnapshot>(&bytes) {
        Ok(snapshot) => state.apply_peer_endpoints(snapshot),
        Err(error) => warn!(state.log, "cannot decode a peer's endpoints";
            "peer" => %peer, "error" => %error),
    }
}

fn snapshot_path(state: &GatewayState, name: &str) -> String {
    format!("/{}/{PROTOCOL_VERSION}/{name}", state.fleet_tag)
}

async fn pull_snapshot(
    state: &GatewayState,
    peer: SocketAddr,
    name: &'static str,
) -> Option<Bytes> {
    let mut request = Request::new(RequestBody::empty().to_outgoing());
    *request.uri_mut() = snapshot_path(state, name).parse().ok()?;
    let host = peer.to_string().parse().ok()?;
    request.headers_mut().insert(HOST, host);
    let connection = EndpointConnection::open(peer).await.ok()?;
    let response = connection.send(request, sleep(PULL_TIMEOUT)).await.ok()?;
    if response.message.status() != StatusCode::OK {
        return None;
    }
    let (response, _connection) = response.into_parts();
    let body = Limited::new(response.into_body(), MAX_PULL_BYTES).collect();
    let body = timeout(PULL_TIMEOUT, body).await.ok()?.ok()?;
    Some(body.to_bytes())
}
