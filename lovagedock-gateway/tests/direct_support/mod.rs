//! A gateway between callers and scripted endpoints, over real sockets in one process.

#![allow(dead_code, unused_imports)] // Each test file uses a part of it.

mod caller;
mod crashing;
mod dialect;
mod endpoint;
pub(crate) mod endpoint_scripts;
mod feed;
mod log_lines;
mod notices;
mod prefilling;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lovagedock::{
    DirectEndpoint, EndpointProcess, EndpointState, EngineProfile, RouteMode, RouteRule,
    RouteTarget, ServiceProfile, TrafficConfig,
};
use lovagedock_daemon::{AdminSettings, DaemonContext, PlainConsent, TransportSettings};
use lovagedock_gateway::{DirectGateway, DirectSettings, FleetBounds};
use slog::{Discard, Logger, o};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

pub(crate) use caller::{
    call, call_with_parts, open_call, open_call_with, open_upload, read_response,
};
pub(crate) use crashing::{CRASHING, CRASHING_PART, CrashingFleet, EVENTS};
pub(crate) use dialect::TestDialect;
pub(crate) use endpoint::{EndpointScript, ScriptedEndpoint};
pub(crate) use feed::TestFeed;
pub(crate) use log_lines::LogLines;
pub(crate) use notices::{NoticeEndpoint, NoticeFleet};
pub(crate) use prefilling::PrefillingEngines;

/// Name of the service behind all routes.
pub(crate) const SERVICE: &str = "service";

/// Returns the loopback address with any free port.
pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns a fleet name for each test. Ports are reused, also by tests that run concurrently.
fn test_fleet() -> String {
    let test = std::thread::current().name().map(str::to_owned);
    format!("{}-{}", std::process::id(), test.unwrap_or_default())
}

/// Returns the settings of a gateway on free ports.
pub(crate) fn settings(name: &str) -> DirectSettings {
    DirectSettings {
        name: name.into(),
        fleet: Some(test_fleet()),
        failure_domain: "a".into(),
        host_cores: 1.0,
        host_memory_mb: 256.0,
        host_descriptors: 4096,
        max_direct_gateways: lovagedock::MAX_DIRECT_GATEWAYS,
        bootstrap: false,
        callers: any_port(),
        health: any_port(),
        peers: any_port(),
        admin: AdminSettings {
            address: any_port(),
            operator_token: None,
            transport: TransportSettings::PlainTcp(PlainConsent::Demo),
        },
        store: any_port(),
        bounds: FleetBounds {
            retry_ratio: 0.2,
            retry_slack: 100.0,
            retry_window_s: 10.0,
            stop_grace_s: 8.0,
            cold_overshoot: None,
            cold_slack: 0.0,
        },
        overload: Default::default(),
        log: Default::default(),
    }
}

/// Returns the settings of a gateway that is killed `grace_s` seconds after it was asked to stop.
pub(crate) fn stop_settings(grace_s: f64) -> DirectSettings {
    let mut settings = settings("gateway");
    settings.bounds.stop_grace_s = grace_s;
    settings
}

/// Returns a new daemon context that logs nothing.
pub(crate) fn daemon() -> DaemonContext {
    DaemonContext::new(Logger::root(Discard, o!()))
}

/// A running gateway.
pub(crate) struct TestGateway {
    pub(crate) gateway: DirectGateway,
    pub(crate) daemon: DaemonContext,
}

impl TestGateway {
    /// Starts a gateway that follows `feed`.
    pub(crate) async fn start(name: &str, feed: &TestFeed) -> Self {
        Self::start_with(settings(name), feed, daemon()).await
    }

    /// Starts a gateway with its own settings.
    pub(crate) async fn start_with(
        settings: DirectSettings,
        feed: &TestFeed,
        daemon: DaemonContext,
    ) -> Self {
        let gateway = DirectGateway::start(
            settings,
            Arc::new(TestDialect),
            Arc::new(feed.clone()),
            daemon.clone(),
        );
        Self {
            gateway: gateway.await.expect("the gateway starts"),
            daemon,
        }
    }

    /// Waits until the gateway accepts callers.
    pub(crate) async fn ready(self) -> Self {
        wait_until(|| self.gateway.is_ready()).await;
        self
    }

    /// Sends a request of an operator, and returns the status and the document.
    pub(crate) async fn operate(
        &self,
        method: &str,
        path: &str,
        token: &str,
    ) -> (u16, serde_json::Value) {
        let mut stream = TcpStream::connect(self.gateway.admin_address())
            .await
            .expect("the gateway listens");
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer {token}\r\n\
             connection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let sent = stream.write_all(request.as_bytes()).await;
        sent.expect("the gateway reads");
        let response = read_response(stream).await;
        let body = response.text.split("\r\n\r\n").nth(1);
        let document = serde_json::from_str(body.unwrap_or_default());
        (response.status(), document.expect("a JSON document"))
    }

    /// Returns the address for callers.
    pub(crate) fn address(&self) -> SocketAddr {
        self.gateway.callers_address()
    }
}

/// Waits until the condition holds.
pub(crate) async fn wait_until(holds: impl Fn() -> bool) {
    while !holds() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a configuration with a route for each mode, below the path of its name.
pub(crate) fn config(version: u64) -> TrafficConfig {
    config_with_objective(version, Duration::from_secs(2))
}

/// Returns the same configuration with another objective for all routes.
pub(crate) fn config_with_objective(version: u64, objective: Duration) -> TrafficConfig {
    let route = |path: &str, mode: RouteMode, attempts: u32| RouteRule {
        name: path.trim_matches('/').to_owned(),
        host: "fleet.example".to_owned(),
        path_prefix: path.to_owned(),
        mode,
        timeout: Duration::from_secs(20),
        objective,
        gap_objective: mode.is_stream().then_some(Duration::from_secs(1)),
        priority: 1,
        targets: vec![RouteTarget {
            service: SERVICE.into(),
            weight: 1,
        }],
        attempts,
        public: false,
    };
    TrafficConfig::new(version)
        .with_route(route("/safe/", RouteMode::Idempotent, 2))
        .with_route(route("/once/", RouteMode::NonIdempotent, 1))
        .with_route(route("/stream/", RouteMode::Stream { resumable: true }, 2))
        .with_service(ServiceProfile {
            id: SERVICE.into(),
            max_connections: 100,
            engine: None,
            cold: None,
        })
        .with_key("secret", "org".into(), None)
}

/// An engine that decodes 46 tokens in a pass of 46 ms when it is idle, and prefills fast.
const ENGINE: EngineProfile = EngineProfile {
    slots: 4,
    memory_tokens: 400_000,
    steps_per_pass: 46,
    step_ms: 1.0,
    step_ms_per_writer: 0.005,
    step_ms_per_1k_context: 0.0025,
    read_tokens_per_ms: 250.0,
    read_ms_per_1m_pairs: 0.1,
};

/// A configuration whose service has these engines.
pub(crate) fn engine_config() -> TrafficConfig {
    config(1).with_service(ServiceProfile {
        id: SERVICE.into(),
        max_connections: 100,
        engine: Some(ENGINE),
        cold: None,
    })
}

/// Returns the entry of an endpoint.
pub(crate) fn entry(id: &str, address: SocketAddr) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new(id, 1),
        service: SERVICE.into(),
        address,
        domain: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}
