//! Tests of the operators' interface over loopback.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use lovagedock::prelude::ResultCode;
use lovagedock_daemon::{
    AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute, AdminServer, AdminSettings,
    DaemonContext, MetricsHandle, PlainConsent, ShutdownSignal, TransportSettings,
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

#[derive(Default)]
struct SampleHandler {
    ready: AtomicBool,
    drains: AtomicU32,
}

#[async_trait]
impl AdminHandler for SampleHandler {
    fn ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }

    fn dump(&self) -> Value {
        json!({ "queue": 3 })
    }

    fn routes(&self) -> &'static [AdminRoute] {
        &[
            AdminRoute {
                method: AdminMethod::Get,
                path: "/explain/",
            },
            AdminRoute {
                method: AdminMethod::Post,
                path: "/drain",
            },
        ]
    }

    async fn call(&self, call: AdminCall) -> AdminReply {
        match call.path {
            "/explain/" if call.argument == "7" => AdminReply::Json(json!({ "request": "7" })),
            "/drain" => {
                self.drains.fetch_add(1, Ordering::SeqCst);
                AdminReply::Json(json!({ "body": call.body.len() }))
            }
            _ => AdminReply::Problem {
                code: ResultCode::UnknownService,
                detail: format!("no request {}", call.argument),
            },
        }
    }
}

struct CallCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    token: Option<&'static str>,
    body: usize,
    status: u16,
    contains: &'static str,
}

impl CallCase {
    fn get(name: &'static str, path: &'static str, status: u16, contains: &'static str) -> Self {
        Self {
            name,
            method: Method::GET,
            path,
            token: None,
            body: 0,
            status,
            contains,
        }
    }

    fn drain(name: &'static str, token: Option<&'static str>, status: u16) -> Self {
        Self {
            name,
            method: Method::POST,
            path: "/drain",
            token,
            body: 5,
            status,
            contains: "",
        }
    }
}

async fn start(token: Option<&str>) -> (AdminServer, Arc<SampleHandler>) {
    let handler = Arc::new(SampleHandler::default());
    let settings = AdminSettings {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        operator_token: token.map(str::to_owned),
        transport: TransportSettings::PlainTcp(PlainConsent::Demo),
    };
    let context = DaemonContext::new(Logger::root(Discard, o!()));
    let server = AdminServer::start("sample", &settings, handler.clone(), &context)
        .await
        .unwrap();
    (server, handler)
}

async fn call(address: SocketAddr, case: &CallCase) -> (u16, String) {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(case.method.clone())
        .uri(format!("http://{address}{}", case.path));
    if let Some(token) = case.token {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    let body = Full::new(Bytes::from(vec![b'x'; case.body]));
    let response = client.request(request.body(body).unwrap()).await.unwrap();
    let status = response.status().as_u16();
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(bytes.to_vec()).unwrap())
}

async fn check(address: SocketAddr, cases: &[CallCase]) {
    for case in cases {
        let (status, body) = call(address, case).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        assert!(body.contains(case.contains), "{}: {body}", case.name);
    }
}

#[tokio::test]
async fn every_daemon_serves_the_common_paths() {
    let (server, handler) = start(None).await;
    metrics::counter!("sample_total").increment(2);
    let before = [
        CallCase::get("health", "/healthz", 200, "true"),
        CallCase::get("not ready", "/readyz", 503, "false"),
        CallCase::get("metrics", "/metrics", 200, "sample_total 2"),
        CallCase::get("dump", "/dump", 200, "\"state\":{\"queue\":3}"),
        CallCase::get("dump has a version", "/dump", 200, "\"dump_version\":1"),
        CallCase::get("explain", "/explain/7", 200, "\"request\":\"7\""),
        CallCase::get("explain unknown", "/explain/8", 404, "\"code\":1004"),
        CallCase::get("explain nothing", "/explain/", 404, "\"code\":1004"),
        CallCase::get("unknown path", "/nothing", 404, "\"code\":1004"),
        CallCase::get("wrong method", "/drain", 404, "\"code\":1004"),
    ];
    check(server.address(), &before).await;
    handler.ready.store(true, Ordering::SeqCst);
    let after = [CallCase::get("ready", "/readyz", 200, "true")];
    check(server.address(), &after).await;
}

// A call without a token, or with the wrong one, requests a drain. It must be refused before it
// reaches the daemon. Otherwise anyone on the network could stop the fleet.
#[tokio::test]
async fn writes_need_the_token_when_one_is_set() {
    let (server, handler) = start(Some("open-sesame")).await;
    let refused = [
        CallCase::drain("no token", None, 401),
        CallCase::drain("wrong token", Some("open-sesam"), 401),
        CallCase::drain("empty token", Some(""), 401),
    ];
    check(server.address(), &refused).await;
    assert_eq!(handler.drains.load(Ordering::SeqCst), 0);
    let accepted = [CallCase::drain("right token", Some("open-sesame"), 200)];
    check(server.address(), &accepted).await;
    assert_eq!(handler.drains.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn writes_from_loopback_need_no_token_when_none_is_set() {
    let (server, handler) = start(None).await;
    check(server.address(), &[CallCase::drain("loopback", None, 200)]).await;
    assert_eq!(handler.drains.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_large_body_is_refused_with_its_code() {
    let (server, handler) = start(None).await;
    let mut case = CallCase::drain("two megabytes", None, 413);
    case.body = 2 * 1024 * 1024;
    case.contains = "\"code\":1005";
    check(server.address(), &[case]).await;
    assert_eq!(handler.drains.load(Ordering::SeqCst), 0);
}

// A POST without a body has no length either (`curl -X POST`).
#[tokio::test]
async fn a_write_without_a_body_or_a_length_is_accepted() {
    let (server, handler) = start(None).await;
    let mut case = CallCase::drain("no body", None, 200);
    case.body = 0;
    case.contains = "\"body\":0";
    check(server.address(), &[case]).await;
    assert_eq!(handler.drains.load(Ordering::SeqCst), 1);
}

#[test]
fn daemons_that_share_a_process_share_the_recorder() {
    let first = MetricsHandle::install();
    let second = MetricsHandle::install();
    metrics::counter!("shared_total").increment(1);
    assert!(first.render().contains("shared_total 1"));
    assert!(second.render().contains("shared_total 1"));
}

#[tokio::test]
async fn the_shutdown_signal_reaches_earlier_and_later_waiters() {
    let shutdown = ShutdownSignal::new();
    let waiting = tokio::spawn({
        let shutdown = shutdown.clone();
        async move { shutdown.wait().await }
    });
    assert!(!shutdown.is_triggered());
    shutdown.clone().trigger();
    waiting.await.unwrap();
    shutdown.wait().await;
    assert!(shutdown.is_triggered());
}
