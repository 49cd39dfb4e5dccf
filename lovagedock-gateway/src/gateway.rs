//! Starts and stops a gateway.

use std::{fmt, net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use error_stack::{Report, ResultExt};
use lovagedock_daemon::{AdminServer, DaemonContext, Transport};
use lovagedock_platform::{BudgetLimits, BudgetedStore, HttpObjectStore, ObjectStore};
use tokio::task::JoinHandle;

use crate::{
    active::ActiveConfig,
    admin::GatewayAdmin,
    adopt::ConfigAdopter,
    claims::ClaimCoordinator,
    connect::ConnectorFactory,
    context::GatewayContext,
    fleet::FleetTable,
    front::FrontServer,
    limits::OrganisationLimiter,
    orders::{DispatcherParts, OrderDispatcher},
    settings::GatewaySettings,
    shared::GatewayShared,
    sources::{ConfigSources, PlatformClients, SourceParts},
    suspects::SuspectTracker,
    workers::WorkerPool,
};

/// A gateway could not start.
#[derive(Debug)]
pub struct GatewayError;

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the gateway could not start")
    }
}

impl std::error::Error for GatewayError {}

/// A running gateway.
pub struct Gateway {
    callers_address: SocketAddr,
    context: GatewayContext,
    admin: AdminServer,
    front: JoinHandle<()>,
    sources: ConfigSources,
    // Dropping the adopter ends the links.
    _adopter: Arc<ConfigAdopter>,
    // Dropping the dispatcher ends the order thread.
    _orders: OrderDispatcher,
}

impl Gateway {
    /// Binds the listeners, connects to the platform and serves in the background.
    pub async fn start(
        settings: GatewaySettings,
        daemon: DaemonContext,
    ) -> Result<Self, Report<GatewayError>> {
        let log = daemon
            .logger
            .new(slog::o!("gateway" => settings.name.to_string()));
        let context = GatewayContext {
            name: settings.name.clone(),
            fleet_name: settings.fleet.clone(),
            domain: settings.failure_domain.clone(),
            incarnation: rand::random(),
            clock: daemon.clock,
            config: Arc::new(ArcSwap::from_pointee(ActiveConfig::default())),
            adoption: Arc::default(),
            fleet: FleetTable::default(),
        };
        let limits = OrganisationLimiter::new(settings.name.clone(), daemon.clock.now());
        let links = open_transport(&settings.links.transport, &daemon)?;
        let connectors = ConnectorFactory::new(links);
        let times = settings.links.link_times();
        let workers = WorkerPool::new(settings.links.workers, &context, &connectors, times, &log)
            .change_context(GatewayError)?;
        let adopter = Arc::new(ConfigAdopter::new(
            context.clone(),
            limits.clone(),
            workers,
            log.clone(),
        ));
        let platform = Arc::new(HttpObjectStore::new(&settings.platform.base));
        let store: Arc<dyn ObjectStore> = Arc::new(BudgetedStore::new(
            Arc::clone(&platform) as Arc<dyn ObjectStore>,
            BudgetLimits::default(),
            context.incarnation,
        ));
        let claims = ClaimCoordinator::start(context.incarnation, &store, daemon.clock);
        let orders = OrderDispatcher::start(DispatcherParts {
            context: context.clone(),
            store: Arc::clone(&store),
            connectors: connectors.clone(),
            times,
            lease: settings.orders.lease(),
            adopted: adopter.subscribe(),
            shutdown: daemon.shutdown.clone(),
            log: log.clone(),
        })
        .change_context(GatewayError)?;
        let suspects = SuspectTracker::new(context.incarnation, log.clone());
        let shared = GatewayShared::new(context.clone(), claims, limits.clone(), suspects.clone())
            .with_shutdown(daemon.shutdown.clone(), settings.limits.drain_time());
        let front = FrontServer::bind(
            settings.callers.address,
            open_transport(&settings.callers.transport, &daemon)?,
            shared.clone(),
            settings.limits.clone(),
            daemon.shutdown.clone(),
            log.clone(),
        )
        .await
        .change_context(GatewayError)?;
        let callers_address = front.address().change_context(GatewayError)?;
        let admin_handler = Arc::new(GatewayAdmin::new(
            shared,
            orders.status_table(),
            daemon.shutdown.clone(),
        ));
        let admin = AdminServer::start(
            "lovagedock-gateway",
            &settings.admin,
            admin_handler,
            &daemon,
        )
        .await
        .change_context(GatewayError)?;
        let parts = SourceParts {
            platform: PlatformClients {
                store,
                hosts: platform,
            },
            context: context.clone(),
            adopter: Arc::clone(&adopter),
            connectors,
            limits,
            suspects,
        };
        let sources = ConfigSources::start(&settings, parts, &daemon, &log)
            .await
            .change_context(GatewayError)?;
        Ok(Self {
            callers_address,
            context,
            admin,
            front: tokio::spawn(front.run()),
            sources,
            _adopter: adopter,
            _orders: orders,
        })
    }

    /// Address that callers connect to.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Address that other gateways connect to.
    pub fn peers_address(&self) -> SocketAddr {
        self.sources.peers_address()
    }

    /// Address that operators connect to.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Whether a configuration is in force and there is a session to each of its endpoints.
    pub fn is_connected(&self) -> bool {
        let entries = self.context.fleet.entries();
        let connected = entries.iter().all(|(_, entry)| entry.incarnation.is_some());
        self.context.generation() > 0 && connected
    }

    /// Waits until shutdown was requested and all requests have ended or the drain time is over.
    pub async fn wait(self) -> Result<(), Report<GatewayError>> {
        self.front.await.change_context(GatewayError)
    }
}

fn open_transport(
    settings: &lovagedock_daemon::TransportSettings,
    daemon: &DaemonContext,
) -> Result<Transport, Report<GatewayError>> {
    let transport = Transport::new(settings).change_context(GatewayError)?;
    transport.watch_files(&daemon.logger, &daemon.shutdown);
    Ok(transport)
}
