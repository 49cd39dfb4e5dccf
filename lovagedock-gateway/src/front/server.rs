//! Accepts and serves callers' connections.

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use error_stack::{Report, ResultExt};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use lovagedock::prelude::*;
use lovagedock_daemon::{ShutdownSignal, Transport};
use slog::{Logger, debug, info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};

use super::router::CallRouter;
use crate::{
    cuts::{CutNotice, count_cut},
    settings::CallerLimits,
    shared::GatewayShared,
};

/// Delay after a failed accept. Errors such as too many open files repeat at once until files are
/// closed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the drain for writing the responses to requests that did not end within it.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Maximum number of requests logged one by one if the process exits before they end; further ones
/// are only counted.
const MAX_LOGGED_REQUESTS: usize = 200;
/// Buffer space for the parts of header lines that the header limit does not count.
const HEADER_OVERHEAD_BYTES: usize = 64 * 1024;

/// Serves callers until shutdown, then until all requests have ended.
pub(crate) struct FrontServer {
    listener: TcpListener,
    transport: Transport,
    router: Arc<CallRouter>,
    limits: CallerLimits,
    shutdown: ShutdownSignal,
    log: Logger,
}

impl FrontServer {
    /// Binds the callers' address.
    pub(crate) async fn bind(
        address: SocketAddr,
        transport: Transport,
        shared: GatewayShared,
        limits: CallerLimits,
        shutdown: ShutdownSignal,
        log: Logger,
    ) -> Result<Self, Report<io::Error>> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(Report::new)
            .attach_with(|| format!("callers' address {address}"))?;
        let router = Arc::new(CallRouter::new(shared, limits.clone(), log.clone()));
        Ok(Self {
            listener,
            transport,
            router,
            limits,
            shutdown,
            log,
        })
    }

    /// The address that callers connect to.
    pub(crate) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until shutdown; returns when no request is in flight or the drain time is over.
    ///
    /// The listener stays open while requests are in flight. A load balancer that has not noticed
    /// the drain yet then receives a "not run" response instead of a refused connection.
    pub(crate) async fn run(self) {
        let connections = GracefulShutdown::new();
        let connection_slots = Arc::new(Semaphore::new(self.limits.connections));
        let accept = async {
            loop {
                let Ok(slot) = Arc::clone(&connection_slots).acquire_owned().await else {
                    return;
                };
                match self.listener.accept().await {
                    Ok((stream, peer)) => {
                        let watcher = connections.watcher();
                        let connection = CallerConnection {
                            router: Arc::clone(&self.router),
                            transport: self.transport.clone(),
                            limits: self.limits.clone(),
                            log: self.log.clone(),
                        };
                        tokio::spawn(async move {
                            connection.serve(stream, peer, watcher).await;
                            drop(slot);
                        });
                    }
                    Err(error) => {
                        warn!(self.log, "cannot accept a caller's connection"; "error" => %error);
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
            }
        };
        tokio::select! {
            () = accept => {}
            () = self.wait_for_drain() => {}
        }
        // A caller whose connection is refused knows that its request did not run. A caller whose
        // connection is left in the accept backlog does not.
        drop(self.listener);
        // The end of a response may still be buffered in the connection of a slow caller.
        let time = self.router.remaining_drain_time() + FINAL_RESPONSE_TIME;
        if timeout(time, connections.shutdown()).await.is_err() {
            let open = self.limits.connections - connection_slots.available_permits();
            warn!(self.log, "connections cut by the shutdown"; "connections" => open);
        }
    }

    /// Logs and counts the requests whose connections break when the process exits.
    fn log_cut_requests(&self, requests: &[(RequestId, Timestamp)]) {
        warn!(self.log, "drain time is over"; "requests" => requests.len());
        let now = self.router.now();
        for (number, (id, since)) in requests.iter().enumerate() {
            count_cut(CutNotice::NotSent);
            if number < MAX_LOGGED_REQUESTS {
                warn!(self.log, "request cut by the exit";
                    "request" => format_request_id(*id),
                    "ms" => now.saturating_sub(*since).as_millis() as u64);
            }
        }
    }

    async fn wait_for_drain(&self) {
        self.shutdown.wait().await;
        let in_flight = self.router.in_flight();
        in_flight.close();
        info!(self.log, "draining"; "requests" => in_flight.len());
        let time = self.router.remaining_drain_time() + FINAL_RESPONSE_TIME;
        if timeout(time, in_flight.wait()).await.is_err() {
            self.log_cut_requests(&in_flight.list());
        }
    }
}

struct CallerConnection {
    router: Arc<CallRouter>,
    transport: Transport,
    limits: CallerLimits,
    log: Logger,
}

impl CallerConnection {
    async fn serve(
        self,
        stream: TcpStream,
        peer: SocketAddr,
        watcher: hyper_util::server::graceful::Watcher,
    ) {
        let stream = match self.transport.accept(stream).await {
            Ok(stream) => stream,
            Err(error) => {
                debug!(self.log, "TLS handshake with a caller failed"; "peer" => %peer, "error" => %error);
                return;
            }
        };
        let router = Arc::clone(&self.router);
        let service = service_fn(move |request| {
            let router = Arc::clone(&router);
            async move { Ok::<_, Infallible>(router.respond(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_time())
            .max_buf_size(self.limits.header_bytes + HEADER_OVERHEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        if let Err(error) = watcher.watch(connection).await {
            debug!(self.log, "caller's connection ended"; "peer" => %peer, "error" => %error);
        }
    }
}
