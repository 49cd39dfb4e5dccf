//! HTTP routes of the stand-in service.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64;

use super::running::{ServiceEntry, ServiceRun, ServiceState};

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

type ServiceResponse = Response<Full<Bytes>>;

#[derive(Debug, Serialize)]
struct LoadReport {
    running: usize,
    waiting: usize,
}

pub(crate) async fn serve(state: Arc<ServiceState>, listener: TcpListener) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                match accepted {
                    Ok((stream, _)) => {
                        tokio::spawn(serve_connection(state.clone(), stream));
                    }
                    // The process is out of file descriptors. An immediate retry would only spin.
                    Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
                }
            }
            () = state.killed() => return,
        }
    }
}

async fn serve_connection(state: Arc<ServiceState>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let shared = state.clone();
    let service = service_fn(move |request| {
        let state = shared.clone();
        async move { Ok::<_, Infallible>(route(&state, request).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = state.killed() => {}
        _ = connection => {}
    }
}

async fn route(state: &ServiceState, request: Request<Incoming>) -> ServiceResponse {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => json_response(&LoadReport {
            running: state.running(),
            waiting: 0,
        }),
        (&Method::GET, "/journal") => json_response(&state.journal.runs()),
        _ => run(state, request).await,
    }
}

async fn run(state: &ServiceState, request: Request<Incoming>) -> ServiceResponse {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return response_with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let header = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let run = ServiceRun {
        request_id: header(REQUEST_ID_HEADER).unwrap_or_default(),
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        body_digest: format!("{:016x}", xxh3_64(&body.to_bytes())),
    };
    let index = state.journal.record_start(ServiceEntry {
        run: run.clone(),
        key: header(IDEMPOTENCY_KEY_HEADER),
        started_at: state.started.elapsed(),
        ended_at: None,
    });
    state.running.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(state.options.service_time).await;
    state.running.fetch_sub(1, Ordering::Relaxed);
    state.journal.record_end(index, state.started.elapsed());
    json_response(&run)
}

fn json_response<T: Serialize>(value: &T) -> ServiceResponse {
    let text = serde_json::to_vec(value).unwrap_or_default();
    response_with_body(StatusCode::OK, Bytes::from(text))
}

fn response_with_body(status: StatusCode, body: Bytes) -> ServiceResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
