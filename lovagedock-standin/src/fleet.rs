//! Complete fleet in one process: stand-ins for the platform and the endpoints, and the real
//! daemons on loopback ports.

use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use futures::future::join_all;
use lovagedock::{EndpointSpec, FleetConfig, GatewaySpec, OrderCheck, PoolKind, prelude::*};
use lovagedock_daemon::{
    AdminSettings, DaemonContext, LogSettings, PlainConsent, TransportSettings,
};
use lovagedock_gateway::{
    CallerLimits, Gateway, GatewaySettings, LinkSettings, ListenerSettings, OrderSettings,
    PlatformSettings,
};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, ConfigStore, HttpObjectStore, canonical_json,
};
use lovagedock_sidecar::{EngineSettings, SessionSettings, Sidecar, SidecarSettings};
use lovagedock_wire::FleetName;
use slog::Logger;
use tokio::time::{sleep, timeout};

use crate::{
    PlatformOptions, PlatformStandin, RunningPlatform,
    engine::{EngineOptions, EngineStandin, ReportStyle, RunningEngine, WeightLoadGauge},
    service::{RunningService, ServiceOptions, ServiceStandin},
};

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Maximum number of polls until the fleet is ready.
const READY_POLLS: usize = 600;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time limit for all gateways, and then for all sidecars, to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A fleet could not start or apply its configuration.
#[derive(Debug)]
pub struct FleetError;

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the fleet could not start or apply its configuration")
    }
}

impl std::error::Error for FleetError {}

/// Configuration and options of a fleet.
#[derive(Clone)]
pub struct FleetPlan {
    /// Configuration. Its addresses are replaced by free loopback ports.
    pub config: FleetConfig,
    /// Name of the fleet. Each plan has its own, so that a fleet never works for another one that
    /// got one of its former ports.
    pub name: FleetName,
    /// Model time per unit of real time.
    pub time_scale: f64,
    /// Duration of a call at a plain service.
    pub service_time: Duration,
    /// Interval between heartbeats of gateways.
    pub heartbeat: Duration,
    /// Time without a response after which a gateway closes a session.
    pub silence_timeout: Duration,
    /// Time limit for a stopping sidecar to complete its requests. Zero aborts them immediately,
    /// like a killed process.
    pub drain_timeout: Duration,
    /// Maximum number of concurrent requests per endpoint; 0 selects the sidecar's default.
    pub concurrency: usize,
    /// Limits that gateways apply to callers.
    pub limits: CallerLimits,
    /// Duration of a pool's lease.
    pub lease_duration: Duration,
    /// Counts the concurrent loads of all engines.
    pub weights: WeightLoadGauge,
    /// Logger of the daemons.
    pub log: Logger,
}

impl FleetPlan {
    /// Creates a plan with a time scale of 1 and default options.
    pub fn new(config: FleetConfig, log: Logger) -> Self {
        Self {
            config,
            name: unique_fleet_name(),
            time_scale: 1.0,
            service_time: Duration::from_millis(5),
            heartbeat: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(2),
            drain_timeout: Duration::from_secs(60),
            concurrency: 0,
            limits: CallerLimits::default(),
            lease_duration: Duration::from_secs(30),
            weights: WeightLoadGauge::default(),
            log,
        }
    }

    /// Sets the model time per unit of real time.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Sets the limits that gateways apply to callers.
    pub fn with_limits(mut self, limits: CallerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the duration of a pool's lease.
    pub fn with_lease(mut self, lease_duration: Duration) -> Self {
        self.lease_duration = lease_duration;
        self
    }

    /// Sets the heartbeat interval and the silence timeout of sessions.
    pub fn with_heartbeat(mut self, heartbeat: Duration, silence_timeout: Duration) -> Self {
        self.heartbeat = heartbeat;
        self.silence_timeout = silence_timeout;
        self
    }

    /// Sets the duration of a call at a plain service.
    pub fn with_service_time(mut self, service_time: Duration) -> Self {
        self.service_time = service_time;
        self
    }

    /// Sets the time limit for a stopping sidecar to complete its requests.
    pub fn with_drain(mut self, drain_timeout: Duration) -> Self {
        self.drain_timeout = drain_timeout;
        self
    }

    /// Sets the maximum number of concurrent requests per endpoint.
    pub fn with_concurrency(mut self, concurrency: usize) -> Self {
        self.concurrency = concurrency;
        self
    }

    /// Starts a gateway with the platform's base URL and the peers from which it can fetch a
    /// configuration.
    pub async fn start_gateway(
        &self,
        spec: &GatewaySpec,
        platform: String,
        seed_peers: Vec<SocketAddr>,
    ) -> Result<RunningGateway, Report<FleetError>> {
        let mut settings = gateway_settings(self, spec, platform);
        settings.seed_peers = seed_peers;
        let daemon = DaemonContext::new(self.log.clone());
        let gateway = Gateway::start(settings, daemon.clone())
            .await
            .change_context(FleetError)?;
        Ok(RunningGateway {
            id: spec.id.clone(),
            gateway,
            daemon,
        })
    }
}

/// Stand-in of an endpoint.
#[derive(Clone, Debug)]
pub enum EndpointStandin {
    /// Stand-in of a model engine.
    Engine(RunningEngine),
    /// Stand-in of a plain service.
    Service(RunningService),
}

impl EndpointStandin {
    /// Address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Service(service) => service.address,
        }
    }
}

/// Running endpoint with its sidecar.
pub struct RunningEndpoint {
    /// Id in the configuration.
    pub id: EndpointId,
    /// Host in the configuration.
    pub host: HostId,
    /// Stand-in of the endpoint.
    pub standin: EndpointStandin,
    /// The sidecar; `None` after it has been stopped.
    pub sidecar: Option<Sidecar>,
    /// Context that stops the sidecar.
    pub daemon: DaemonContext,
    /// Settings of the sidecar, with the address that it was assigned.
    pub settings: SidecarSettings,
}

/// Running gateway.
pub struct RunningGateway {
    /// Id in the configuration.
    pub id: GatewayId,
    /// The gateway.
    pub gateway: Gateway,
    /// Context that stops the gateway.
    pub daemon: DaemonContext,
}

/// Running fleet.
pub struct LocalFleet {
    /// Stand-in of the platform.
    pub platform: RunningPlatform,
    /// Endpoints in the order of the configuration.
    pub endpoints: Vec<RunningEndpoint>,
    /// Gateways in the order of the configuration.
    pub gateways: Vec<RunningGateway>,
    /// Configuration with the addresses that the daemons were assigned.
    pub config: FleetConfig,
}

impl LocalFleet {
    /// Starts the stand-ins and the daemons, applies the configuration and waits until every
    /// gateway is connected to every endpoint.
    pub async fn start(plan: FleetPlan) -> Result<Self, Report<FleetError>> {
        let hosts = plan.config.pools.iter().flat_map(|pool| &pool.endpoints);
        let platform = PlatformStandin::start(PlatformOptions {
            hosts: hosts.map(|spec| spec.host.to_string()).collect(),
            ..PlatformOptions::default()
        })
        .await
        .change_context(FleetError)?;
        let mut config = plan.config.clone();
        let mut endpoints = Vec::new();
        for pool in &mut config.pools {
            for spec in &mut pool.endpoints {
                let endpoint = start_endpoint(&plan, &pool.kind, spec, endpoints.len()).await?;
                spec.sidecar = endpoint.settings.gateways.address;
                endpoints.push(endpoint);
            }
        }
        let mut gateways = Vec::new();
        for spec in &mut config.gateways {
            let gateway = plan.start_gateway(spec, platform.url(), Vec::new()).await?;
            spec.peer_address = gateway.gateway.peers_address();
            gateways.push(gateway);
        }
        let fleet = Self {
            platform,
            endpoints,
            gateways,
            config,
        };
        fleet.apply(0).await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Applies the fleet's configuration if the store has the expected generation.
    pub async fn apply(&self, expected: Generation) -> Result<Generation, Report<FleetError>> {
        let store = ConfigStore::new(std::sync::Arc::new(HttpObjectStore::new(
            &self.platform.url(),
        )));
        let text = canonical_json(&self.config).change_context(FleetError)?;
        let request = ApplyRequest::new(text, expected, "demo", format!("demo-{expected}"));
        match store.apply(&request).await {
            ApplyOutcome::Accepted { generation } => Ok(generation),
            other => Err(Report::new(FleetError).attach(format!("apply: {other:?}"))),
        }
    }

    /// Stops the daemons, gateways first, and waits for a limited time until they have stopped.
    pub async fn stop(self) {
        for entry in &self.gateways {
            entry.daemon.shutdown.trigger();
        }
        let gateways = self.gateways.into_iter().map(|entry| entry.gateway.wait());
        // Nothing waits for requests that are aborted here, so a timeout is ignored.
        let _ended = timeout(STOP_TIMEOUT, join_all(gateways)).await;
        for entry in &self.endpoints {
            entry.daemon.shutdown.trigger();
        }
        let sidecars = self.endpoints.into_iter().filter_map(|entry| entry.sidecar);
        let _ended = timeout(STOP_TIMEOUT, join_all(sidecars.map(Sidecar::wait))).await;
    }

    /// Waits until every gateway is connected to every endpoint.
    pub async fn wait_until_ready(&self) -> Result<(), Report<FleetError>> {
        for _ in 0..READY_POLLS {
            if self
                .gateways
                .iter()
                .all(|entry| entry.gateway.is_connected())
            {
                return Ok(());
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        Err(Report::new(FleetError).attach("a gateway did not connect to all endpoints in time"))
    }
}

async fn start_endpoint(
    plan: &FleetPlan,
    kind: &PoolKind,
    spec: &EndpointSpec,
    index: usize,
) -> Result<RunningEndpoint, Report<FleetError>> {
    let (standin, adapter) = match kind {
        PoolKind::Engines { model } => {
            let style = match index % 2 {
                0 => ReportStyle::JsonReport,
                _ => ReportStyle::PrometheusReport,
            };
            let engine = start_engine(plan, model, spec, style).await?;
            (EndpointStandin::Engine(engine), adapter_name(style))
        }
        PoolKind::Plain {} => {
            let options = ServiceOptions {
                service_time: plan.service_time,
            };
            let service = ServiceStandin::start(options).await;
            let service = service.change_context(FleetError)?;
            (EndpointStandin::Service(service), "plain")
        }
    };
    let mut settings = sidecar_settings(plan, spec, standin.address(), adapter);
    let daemon = DaemonContext::new(plan.log.clone());
    let sidecar = Sidecar::start(settings.clone(), daemon.clone())
        .await
        .change_context(FleetError)?;
    settings.gateways.address = sidecar.gateways_address();
    Ok(RunningEndpoint {
        id: spec.id.clone(),
        host: spec.host.clone(),
        standin,
        sidecar: Some(sidecar),
        daemon,
        settings,
    })
}

async fn start_engine(
    plan: &FleetPlan,
    model: &ModelId,
    spec: &EndpointSpec,
    report_style: ReportStyle,
) -> Result<RunningEngine, Report<FleetError>> {
    let options = EngineOptions {
        model: model.to_string(),
        time_scale: plan.time_scale,
        memory_tokens: spec.memory_tokens,
        report_style,
        checks_fences: spec.order_check == OrderCheck::Fence,
        weights: plan.weights.clone(),
        ..EngineOptions::default()
    };
    EngineStandin::start(options)
        .await
        .change_context(FleetError)
}

fn adapter_name(style: ReportStyle) -> &'static str {
    match style {
        ReportStyle::JsonReport => "json-report",
        ReportStyle::PrometheusReport => "prometheus-report",
    }
}

fn sidecar_settings(
    plan: &FleetPlan,
    spec: &EndpointSpec,
    engine: SocketAddr,
    adapter: &str,
) -> SidecarSettings {
    SidecarSettings {
        endpoint: spec.id.clone(),
        fleet: Some(plan.name.clone()),
        gateways: SessionSettings {
            address: LOOPBACK,
            transport: plain_transport(),
            silence_ms: 3_000,
        },
        admin: admin_settings(),
        engine: EngineSettings {
            adapter: adapter.to_owned(),
            address: engine,
            connect_ms: 1_000,
            idle_ms: 30_000,
            poll_ms: 250,
            concurrency: plan.concurrency,
        },
        log: LogSettings::default(),
        drain_ms: plan.drain_timeout.as_millis() as u64,
        linger_ms: (3 * plan.heartbeat).as_millis() as u64,
    }
}

fn gateway_settings(plan: &FleetPlan, spec: &GatewaySpec, platform: String) -> GatewaySettings {
    let listener = || ListenerSettings {
        address: LOOPBACK,
        transport: plain_transport(),
    };
    GatewaySettings {
        name: spec.id.clone(),
        fleet: Some(plan.name.clone()),
        failure_domain: spec.failure_domain.clone(),
        callers: listener(),
        peers: listener(),
        links: LinkSettings {
            transport: plain_transport(),
            workers: 1,
            heartbeat_ms: plan.heartbeat.as_millis() as u64,
            silence_ms: plan.silence_timeout.as_millis() as u64,
            reconnect_ms: 100,
        },
        seed_peers: Vec::new(),
        admin: admin_settings(),
        platform: PlatformSettings { base: platform },
        log: LogSettings::default(),
        limits: plan.limits.clone(),
        orders: OrderSettings {
            lease_ms: plan.lease_duration.as_millis() as u64,
        },
    }
}

/// Returns a name that no other fleet on this host has, in this process or another.
fn unique_fleet_name() -> FleetName {
    static PLANS: AtomicU64 = AtomicU64::new(0);
    let number = PLANS.fetch_add(1, Ordering::Relaxed);
    format!("fleet-{}-{number}", std::process::id()).into()
}

fn plain_transport() -> TransportSettings {
    TransportSettings::PlainTcp(PlainConsent::Demo)
}

fn admin_settings() -> AdminSettings {
    AdminSettings {
        address: LOOPBACK,
        operator_token: None,
        transport: plain_transport(),
    }
}
