//! Sources of configurations and of the list of leaving hosts.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use lovagedock_daemon::{DaemonContext, Transport};
use lovagedock_platform::{ConfigStore, HostDirectory, HostState, ObjectStore};
use slog::{Logger, info, warn};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::sleep,
};

use crate::{
    adopt::ConfigAdopter, connect::ConnectorFactory, context::GatewayContext,
    limits::OrganisationLimiter, peers::PeerWorker, relay::StoreReader, settings::GatewaySettings,
    suspects::SuspectTracker,
};

/// Time between ticks of the outlier detectors.
const OUTLIER_INTERVAL: Duration = Duration::from_millis(500);
/// Time between reads of the platform's host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(2);

/// Clients for the platform's interfaces.
pub(crate) struct PlatformClients {
    /// The object store, limited by the process's budget.
    pub(crate) store: Arc<dyn ObjectStore>,
    /// The list of hosts.
    pub(crate) hosts: Arc<dyn HostDirectory>,
}

/// Dependencies of the sources.
pub(crate) struct SourceParts {
    /// The platform.
    pub(crate) platform: PlatformClients,
    /// Configuration and fleet.
    pub(crate) context: GatewayContext,
    /// Puts configurations in force.
    pub(crate) adopter: Arc<ConfigAdopter>,
    /// Opens connections to peers.
    pub(crate) connectors: ConnectorFactory,
    /// Usage limits of organisations.
    pub(crate) limits: OrganisationLimiter,
    /// Requests that may have caused engines to exit.
    pub(crate) suspects: SuspectTracker,
}

/// Tasks that receive configurations and host lists; they end when this is dropped.
pub(crate) struct ConfigSources {
    peers_address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    _stop: watch::Sender<()>,
}

impl ConfigSources {
    /// Listens for peers and starts to watch the platform.
    pub(crate) async fn start(
        settings: &GatewaySettings,
        parts: SourceParts,
        daemon: &DaemonContext,
        log: &Logger,
    ) -> Result<Self, Report<io::Error>> {
        let transport = Transport::new(&settings.peers.transport)
            .map_err(|report| Report::new(io::Error::other(format!("{report:?}"))))?;
        transport.watch_files(&daemon.logger, &daemon.shutdown);
        let listener = std::net::TcpListener::bind(settings.peers.address)
            .map_err(Report::new)
            .attach_with(|| format!("peers' address {}", settings.peers.address))?;
        let peers_address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(());
        let (store_requests, store_request_receiver) = mpsc::unbounded_channel();
        let (adoption_events, adoption_event_receiver) = mpsc::unbounded_channel();
        let worker = PeerWorker {
            context: parts.context.clone(),
            adopter: parts.adopter,
            connectors: parts.connectors,
            transport,
            limits: parts.limits,
            suspects: parts.suspects,
            seeds: settings.seed_peers.clone(),
            store_requests,
            log: log.clone(),
        };
        worker.start(listener, adoption_event_receiver, stopped)?;
        let outlier_context = parts.context.clone();
        let config = ConfigStore::new(parts.platform.store);
        let reader = StoreReader::new(config, log.clone());
        let hosts = HostWatcher {
            directory: parts.platform.hosts,
            context: parts.context,
            log: log.clone(),
        };
        Ok(Self {
            peers_address,
            tasks: vec![
                tokio::spawn(reader.run(store_request_receiver, adoption_events)),
                tokio::spawn(hosts.run()),
                tokio::spawn(run_outlier_ticks(outlier_context, log.clone())),
            ],
            _stop: stop,
        })
    }

    /// Address that peers connect to.
    pub(crate) fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }
}

impl Drop for ConfigSources {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct HostWatcher {
    directory: Arc<dyn HostDirectory>,
    context: GatewayContext,
    log: Logger,
}

impl HostWatcher {
    /// Polls the list of hosts; never returns.
    async fn run(self) {
        loop {
            match self.directory.hosts().await {
                Ok(list) => {
                    let leaving = list.hosts.into_iter();
                    let leaving = leaving.filter(|entry| entry.state == HostState::Leaving);
                    let leaving = leaving.map(|entry| entry.host).collect();
                    self.context.fleet.set_leaving_hosts(leaving);
                }
                Err(error) => warn!(self.log, "cannot read the list of hosts"; "error" => %error),
            }
            sleep(HOSTS_INTERVAL).await;
        }
    }
}

/// Sends ticks to the outlier detectors; never returns.
async fn run_outlier_ticks(context: GatewayContext, log: Logger) {
    loop {
        sleep(OUTLIER_INTERVAL).await;
        for action in context.fleet.tick_outliers(context.clock.now()) {
            info!(log, "endpoint ejection changed";
                "endpoint" => &*action.endpoint,
                "ejected" => action.ejected,
                "cause" => format!("{:?}", action.cause));
        }
    }
}
