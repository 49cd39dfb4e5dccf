//! Stand-in of the platform: object store, host list and weight store over HTTP.
//!
//! It enforces the rate limits and the maximum value size, counts all calls, delays the host list
//! and simulates faults (`POST /v1/faults`).

mod faults;
mod hosts;
mod routes;
mod state;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lovagedock_platform::ObjectTable;
use tokio::{net::TcpListener, task::JoinHandle, task::JoinSet};

pub use faults::{FaultCommand, FaultKind};
pub use state::PlatformCounters;

use routes::handle_call;
use state::SharedPlatform;

/// Starts stand-ins of the platform.
pub struct PlatformStandin;

/// Options of the stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen on; with port 0 the system chooses a free port.
    pub listen: SocketAddr,
    /// Maximum writes per second; further writes get a 429 response.
    pub writes_per_second: f64,
    /// Maximum reads per second, lists and waiting watches included; further reads get a 429
    /// response.
    pub reads_per_second: f64,
    /// Maximum loads per second from the weight store; further loads get a 429 response.
    pub weight_loads_per_second: f64,
    /// Size of each weight file in bytes.
    pub weight_bytes: usize,
    /// Lag of the host list.
    pub host_lag: Duration,
    /// Hosts that are live at the start.
    pub hosts: Vec<String>,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_second: 400.0,
            reads_per_second: 2000.0,
            weight_loads_per_second: 2.0,
            weight_bytes: 1 << 16,
            host_lag: Duration::from_secs(5),
            hosts: Vec::new(),
        }
    }
}

/// Running stand-in of the platform. It stops when it is dropped.
pub struct RunningPlatform {
    /// Address on which the stand-in listens.
    pub address: SocketAddr,
    /// Task that accepts connections.
    pub handle: JoinHandle<()>,
    platform: Arc<SharedPlatform>,
}

impl PlatformStandin {
    /// Starts the stand-in on the current runtime.
    pub async fn start(options: PlatformOptions) -> io::Result<RunningPlatform> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let platform = Arc::new(SharedPlatform::new(options));
        let handle = tokio::spawn(accept(listener, Arc::clone(&platform)));
        Ok(RunningPlatform {
            address,
            handle,
            platform,
        })
    }
}

impl RunningPlatform {
    /// Base URL, without a trailing `/`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Counters of the calls so far, as returned by `GET /v1/counters`.
    pub fn counters(&self) -> PlatformCounters {
        self.platform.counters()
    }

    /// Activates a fault, like `POST /v1/faults`.
    pub fn set_fault(&self, command: FaultCommand) {
        self.platform.set_fault(command);
    }

    /// Copies the contents of the store.
    pub fn snapshot_store(&self) -> ObjectTable {
        self.platform.copy()
    }

    /// Restores the store from a copy.
    pub fn restore_store(&self, copy: ObjectTable) {
        self.platform.restore(copy);
    }

    /// Continues the calls that [`FaultKind::Slow`] delays now, before their delay has passed.
    pub fn release_delayed(&self) {
        self.platform.release_delayed();
    }

    /// Stops the stand-in and closes all its connections.
    pub fn stop(&self) {
        self.handle.abort();
    }
}

impl Drop for RunningPlatform {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn accept(listener: TcpListener, platform: Arc<SharedPlatform>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let _best_effort = stream.set_nodelay(true);
        let platform = Arc::clone(&platform);
        connections.spawn(async move {
            let service = service_fn(move |request| handle_call(Arc::clone(&platform), request));
            // An error closes the connection without a response. Faults use this to lose responses.
            let _ended = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
