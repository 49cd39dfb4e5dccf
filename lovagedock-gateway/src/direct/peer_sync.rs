//! Hands the configuration and the endpoints from gateway to gateway.

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
    state::{EndpointsSnapshot, GatewayState},
};

/// What is handed on; the path is `/FLEET/PROTOCOL/NAME`, so that a gateway of another fleet, or of a
/// version that writes it in another way, has nothing there.
const TRAFFIC: &str = "traffic";
const ENDPOINTS: &str = "endpoints";

/// Time for a peer's answer; one in another failure domain takes a few milliseconds.
const PULL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which a peer that was connected to must ask.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer of a peer, in bytes: a configuration with 25,000 organisations has about 4 MB.
const MAX_PULL_BYTES: usize = 16 << 20;

/// Serves peers until it is dropped.
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
                debug!(log, "peer's connection ended"; "error" => %error);
            }
        });
    }
}

fn respond(state: &GatewayState, path: &str) -> Response<Full<Bytes>> {
    let bytes = match path.strip_prefix(&path_for(state, "")) {
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

/// Takes a newer configuration from a peer.
pub(crate) async fn pull_traffic(state: &GatewayState, peer: SocketAddr) {
    let Some(bytes) = pull(state, peer, TRAFFIC).await else {
        return;
    };
    match postcard::from_bytes::<TrafficConfig>(&bytes) {
        Ok(config) => {
            state.apply_config(Arc::new(config), "peer");
        }
        Err(error) => warn!(state.log, "a peer's configuration cannot be read";
            "peer" => %peer, "error" => %error),
    }
}

/// Takes newer endpoints from a peer.
pub(crate) async fn pull_endpoints(state: &GatewayState, peer: SocketAddr) {
    let Some(bytes) = pull(state, peer, ENDPOINTS).await else {
        return;
    };
    match postcard::from_bytes::<EndpointsSnapshot>(&bytes) {
        Ok(snapshot) => state.apply_peer_endpoints(snapshot),
        Err(error) => warn!(state.log, "a peer's endpoints cannot be read";
            "peer" => %peer, "error" => %error),
    }
}

fn path_for(state: &GatewayState, name: &str) -> String {
    format!("/{}/{PROTOCOL_VERSION}/{name}", state.fleet_tag)
}

async fn pull(state: &GatewayState, peer: SocketAddr, name: &'static str) -> Option<Bytes> {
    let mut request = Request::new(Full::<Bytes>::default());
    *request.uri_mut() = path_for(state, name).parse().ok()?;
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
