//! Starts and stops a gateway without sidecars.

use std::{net::SocketAddr, sync::Arc};

use error_stack::{Report, ResultExt};
use lovagedock_daemon::{AdminServer, DaemonContext, load_checked_settings};
use lovagedock_platform::{FeedSubject, FleetFeed, GatewayEntry};
use slog::{info, o, warn};
use socket2::SockRef;
use tokio::{net::TcpListener, task::JoinSet};

use super::{
    admin::GatewayAdmin,
    caller_server::CallerServer,
    dialect::HttpDialect,
    discovery::{consult_peers, discover_gateways},
    feed::FeedWatcher,
    health::{bind_health_checks, serve_health_checks},
    peer_sync::serve_peers,
    peers::PeerExchange,
    settings::DirectSettings,
    state::GatewayState,
    suspect_sync::SuspectSync,
};
use crate::GatewayError;

/// Most bytes of a connection that the kernel holds until the gateway reads them.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Subjects of the store that watchers follow.
const WATCHED_SUBJECTS: [FeedSubject; 3] = [
    FeedSubject::Traffic,
    FeedSubject::Endpoints,
    FeedSubject::Drains,
];

/// A running gateway.
pub struct DirectGateway {
    callers: SocketAddr,
    health: SocketAddr,
    peers: SocketAddr,
    server: tokio::task::JoinHandle<()>,
    state: Arc<GatewayState>,
    admin: AdminServer,
    // Aborts the tasks when the gateway is dropped.
    _tasks: JoinSet<()>,
}

impl DirectGateway {
    /// Binds the sockets, follows the platform's store and serves in the background.
    pub async fn start(
        settings: DirectSettings,
        dialect: Arc<dyn HttpDialect>,
        feed: Arc<dyn FleetFeed>,
        daemon: DaemonContext,
    ) -> Result<Self, Report<GatewayError>> {
        let log = daemon
            .logger
            .new(o!("gateway" => settings.name.to_string()));
        let state = Arc::new(
            GatewayState::new(
                settings.name.clone(),
                settings.relays(),
                settings.fleet_tag(),
                daemon.clock,
                settings.bounds.retries(),
                settings.bounds.cold_allowance(),
                log.clone(),
            )
            .with_overload(settings.overload)
            .with_host_memory(settings.host_memory_mb),
        );
        let listener = listen(settings.callers).await?;
        let health_listener = bind_health_checks(settings.health)
            .await
            .change_context(GatewayError)?;
        let peers = PeerExchange::bind(Arc::clone(&state), settings.peers);
        let (peers, peer_listener) = peers.await.change_context(GatewayError)?;
        let peers = Arc::new(peers);
        let gateway_admin = Arc::new(GatewayAdmin::new(Arc::clone(&state)));
        let admin = AdminServer::start(
            "lovagedock-gateway",
            &settings.admin,
            gateway_admin,
            &daemon,
        )
        .await
        .change_context(GatewayError)?;
        let callers = listener.local_addr().change_context(GatewayError)?;
        let health = health_listener.local_addr().change_context(GatewayError)?;
        let peers_address = peers.address();
        let entry = GatewayEntry {
            name: settings.name.clone(),
            address: peers_address,
            domain: settings.failure_domain.clone(),
            capacity: settings.relay_candidate().capacity,
        };
        let mut tasks = JoinSet::new();
        for subject in WATCHED_SUBJECTS {
            let watcher = FeedWatcher::new(Arc::clone(&state), Arc::clone(&feed), subject);
            tasks.spawn(watcher.run());
        }
        tasks.spawn(SuspectSync::new(Arc::clone(&state), Arc::clone(&feed)).run());
        tasks.spawn(consult_peers(Arc::clone(&state)));
        tasks.spawn(discover_gateways(
            Arc::clone(&state),
            feed,
            entry,
            settings.bootstrap,
        ));
        tasks.spawn(serve_peers(peer_listener, Arc::clone(&state), log.clone()));
        tasks.spawn(Arc::clone(&peers).run_sender());
        tasks.spawn(Arc::clone(&peers).run_ticks());
        tasks.spawn(peers.run_receiver());
        tasks.spawn(serve_health_checks(
            health_listener,
            Arc::clone(&state),
            log.clone(),
        ));
        tasks.spawn(state.output.clone().run_checks(log.clone()));
        tasks.spawn(follow_settings(
            Arc::clone(&state),
            settings.clone(),
            daemon.clone(),
        ));
        let server = CallerServer::new(
            Arc::clone(&state),
            dialect,
            settings.max_connections(),
            daemon.shutdown,
            log.clone(),
        );
        let server = tokio::spawn(server.run(listener, settings.bounds.stop_grace()));
        info!(log, "serving"; "callers" => %callers, "health" => %health);
        Ok(Self {
            callers,
            health,
            peers: peers_address,
            server,
            state,
            admin,
            _tasks: tasks,
        })
    }

    /// Returns the address to which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for health checks of the balancer.
    pub fn health_address(&self) -> SocketAddr {
        self.health
    }

    /// Returns the address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the address to which peers send.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Returns whether the gateway accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready()
    }

    /// Returns the bytes that callers and endpoints have not read yet, or `None` if this memory is
    /// not limited.
    pub fn output_memory_bytes(&self) -> Option<usize> {
        self.state.output.used()
    }

    /// Waits until shutdown was requested and all connections have ended.
    pub async fn wait(self) -> Result<(), Report<GatewayError>> {
        self.server.await.change_context(GatewayError)
    }
}

/// Applies changes of the settings file. If the file has errors, the former settings stay in
/// effect.
async fn follow_settings(
    state: Arc<GatewayState>,
    mut settings: DirectSettings,
    daemon: DaemonContext,
) {
    let mut reloads = daemon.reload.subscribe();
    while reloads.changed().await.is_ok() {
        let Some(file) = &daemon.settings_file else {
            continue;
        };
        match load_checked_settings::<DirectSettings>(file) {
            Ok(changed) => {
                let needs_restart = settings.needs_restart_for(&changed);
                info!(state.log, "settings reloaded"; "needs_restart" => needs_restart);
                state.set_retries(changed.bounds.retries());
                settings = changed;
            }
            Err(problems) => {
                warn!(state.log, "settings not reloaded, the former settings stay in effect";
                    "problems" => problems);
            }
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Report<GatewayError>> {
    let listener = TcpListener::bind(address)
        .await
        .change_context(GatewayError)
        .attach_with(|| format!("address {address}"))?;
    // Connections inherit it. A failure only makes the kernel hold more.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    Ok(listener)
}
