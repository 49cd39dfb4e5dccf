//! Starts and stops a sidecar.

use std::{fmt, io, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};

use error_stack::{Report, ResultExt};
use lovagedock::{EndpointCore, EndpointLimits, prelude::*};
use lovagedock_daemon::{AdminServer, DaemonContext, ShutdownSignal, Transport};
use lovagedock_wire::serve_endpoint;
use slog::{Logger, debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::oneshot,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

use crate::{
    adapter::build_adapter, admin::SidecarAdminHandler, config::SidecarConfig, poll,
    report::LoadReporter, session::GatewaySession, settings::SidecarSettings, state::SidecarState,
};

/// Delay after a failed accept. Such errors repeat immediately until file descriptors are closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between checks whether all answers have been sent to their gateways.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for reporting the outcome of requests that did not end within the drain time.
const CANCEL_REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of unfinished requests, and of unsent answers, that are logged individually when
/// the process exits. The others are only counted.
const MAX_LOGGED_REQUESTS: usize = 200;

/// Error that prevents a sidecar from starting.
#[derive(Debug)]
pub struct SidecarError;

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the sidecar could not start")
    }
}

impl std::error::Error for SidecarError {}

/// A running sidecar.
pub struct Sidecar {
    gateways: SocketAddr,
    admin: AdminServer,
    ended: oneshot::Receiver<()>,
}

impl Sidecar {
    /// Binds the listeners and serves in the background, on a dedicated thread.
    pub async fn start(
        settings: SidecarSettings,
        daemon: DaemonContext,
    ) -> Result<Self, Report<SidecarError>> {
        let log = daemon
            .logger
            .new(slog::o!("endpoint" => settings.endpoint.to_string()));
        let adapter = build_adapter(&settings.engine.adapter, &settings.engine.options())
            .change_context(SidecarError)?;
        let limits = limits(&settings);
        let state = SidecarState::new(
            settings.endpoint.clone(),
            settings.fleet.clone(),
            limits.clone(),
            daemon.clock,
            adapter,
            log.clone(),
        );
        let config = Arc::new(SidecarConfig::new(limits));
        let transport =
            Transport::new(&settings.gateways.transport).change_context(SidecarError)?;
        transport.watch_files(&daemon.logger, &daemon.shutdown);
        let listener = std::net::TcpListener::bind(settings.gateways.address)
            .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
            .change_context(SidecarError)
            .attach_with(|| format!("gateways' address {}", settings.gateways.address))?;
        let gateways = listener.local_addr().change_context(SidecarError)?;
        let handler = Arc::new(SidecarAdminHandler::new(
            Arc::clone(&state),
            Arc::clone(&config),
        ));
        let admin = AdminServer::start("lovagedock-sidecar", &settings.admin, handler, &daemon)
            .await
            .change_context(SidecarError)?;
        let server = SessionServer {
            state,
            config,
            transport,
            idle_timeout: settings.gateways.idle_timeout(),
            poll_interval: settings.engine.poll_interval(),
            drain_time: settings.drain_time(),
            linger: settings.linger(),
            shutdown: daemon.shutdown.clone(),
            log,
        };
        let (end, ended) = oneshot::channel();
        thread::Builder::new()
            .name("sessions".to_owned())
            .spawn(move || {
                server.run(listener);
                let _receiver_dropped = end.send(());
            })
            .change_context(SidecarError)?;
        Ok(Self {
            gateways,
            admin,
            ended,
        })
    }

    /// Address that gateways connect to.
    pub fn gateways_address(&self) -> SocketAddr {
        self.gateways
    }

    /// Address that operators connect to.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Waits until shutdown was requested and all requests have ended.
    pub async fn wait(self) -> Result<(), Report<SidecarError>> {
        self.ended.await.change_context(SidecarError)
    }
}

fn limits(settings: &SidecarSettings) -> EndpointLimits {
    let limits = EndpointLimits::default();
    match settings.engine.concurrency {
        0 => limits,
        concurrency => limits.with_concurrency(concurrency),
    }
}

/// Serves the sessions of gateways on one thread.
struct SessionServer {
    state: Arc<SidecarState>,
    config: Arc<SidecarConfig>,
    transport: Transport,
    idle_timeout: Duration,
    poll_interval: Duration,
    drain_time: Duration,
    linger: Duration,
    shutdown: ShutdownSignal,
    log: Logger,
}

impl SessionServer {
    fn run(self, listener: std::net::TcpListener) {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                warn!(self.log, "cannot create the Tokio runtime"; "error" => %error);
                return;
            }
        };
        if let Err(error) = LocalSet::new().block_on(&runtime, self.serve(listener)) {
            warn!(self.log, "cannot serve gateways"; "error" => %error);
        }
    }

    async fn serve(&self, listener: std::net::TcpListener) -> io::Result<()> {
        let listener = TcpListener::from_std(listener)?;
        tokio::spawn(Arc::clone(&self.state).run_ticks());
        tokio::spawn(poll::run(Arc::clone(&self.state), self.poll_interval));
        tokio::select! {
            () = self.accept(&listener) => {}
            () = self.drain() => {}
        }
        Ok(())
    }

    async fn accept(&self, listener: &TcpListener) {
        let reporter = Rc::new(LoadReporter::default());
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let session = GatewaySession::new(
                        Arc::clone(&self.state),
                        Arc::clone(&self.config),
                        Rc::clone(&reporter),
                    );
                    let transport = self.transport.clone();
                    let idle_timeout = self.idle_timeout;
                    let log = self.log.clone();
                    spawn_local(async move {
                        let end = serve_session(stream, session, &transport, idle_timeout).await;
                        debug!(log, "session ended"; "peer" => %peer, "end" => end);
                    });
                }
                Err(error) => {
                    warn!(self.log, "cannot accept a gateway connection"; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until every ended answer has been sent to its gateway.
    async fn wait_until_answers_sent(&self) {
        while self.state.answers().has_unsent() {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Cancels the running requests and reports their outcome to the gateways.
    ///
    /// Without this report a gateway would try to reach this sidecar for seconds before it
    /// handles the loss of these requests. A drain time of zero requests an immediate exit, so
    /// nothing is reported.
    async fn report_cancelled_requests(&self) {
        if self.drain_time.is_zero() {
            return;
        }
        self.state.fail_running_requests();
        let _unsent = timeout(CANCEL_REPORT_TIMEOUT, self.wait_until_answers_sent()).await;
    }

    /// Logs and counts the requests that are cut because the process exits.
    fn log_cut_requests(&self) {
        let requests = self.state.read(EndpointCore::snapshot).requests;
        let unsent: Vec<_> = self.state.answers().unsent().collect();
        let cut = requests.len() + unsent.len();
        warn!(self.log, "drain time is over"; "requests" => requests.len(), "unsent" => unsent.len());
        metrics::counter!("lovagedock_sidecar_requests_cut_total").increment(cut as u64);
        for request in requests.iter().take(MAX_LOGGED_REQUESTS) {
            warn!(self.log, "request cut by the exit";
                "request" => &request.request,
                "attempt" => request.attempt,
                "phase" => request.phase,
                "organisation" => &*request.organisation,
                "service" => &*request.service,
                "bytes" => request.delivered);
        }
        for request in unsent.into_iter().take(MAX_LOGGED_REQUESTS) {
            warn!(self.log, "answer not sent before the exit";
                "request" => format_request_id(request));
        }
    }

    /// Returns after shutdown was requested, no request is left and every answer was sent.
    async fn drain(&self) {
        self.shutdown.wait().await;
        let load = self.state.read(EndpointCore::load);
        info!(self.log, "draining"; "queued" => load.queued, "running" => load.running);
        self.state.drain_for_shutdown();
        let finished = async {
            self.state.wait_until_drained().await;
            self.wait_until_answers_sent().await;
        };
        if timeout(self.drain_time, finished).await.is_err() {
            self.log_cut_requests();
            return self.report_cancelled_requests().await;
        }
        // A gateway that does not know of the drain yet may have sent a submit. If it is refused
        // here, the request certainly did not run. If the connection closes first, the gateway
        // cannot know whether it ran.
        sleep(self.linger).await;
    }
}

async fn serve_session(
    stream: TcpStream,
    session: GatewaySession,
    transport: &Transport,
    idle_timeout: Duration,
) -> String {
    let stream = match transport.accept(stream).await {
        Ok(stream) => stream,
        Err(error) => return error.to_string(),
    };
    let session = Rc::new(session);
    let end = tokio::select! {
        ended = serve_endpoint(Box::new(stream), Rc::clone(&session)) => match ended {
            Ok(()) => "closed".to_owned(),
            Err(error) => error.to_string(),
        },
        () = session.wait_until_idle(idle_timeout) => "silent".to_owned(),
    };
    session.close();
    end
}
