//! A small stand-in of the platform: object store, host list and weight store over HTTP.
//!
//! It enforces the rates and the size of values, counts every call, lets the host list lag, and
//! misbehaves on command (`POST /v1/faults`).

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

/// The stand-in of the platform.
pub struct PlatformStandin;

/// How the stand-in behaves.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Writes a second before it answers 429.
    pub writes_per_second: f64,
    /// Reads a second, lists and waiting watches included, before it answers 429.
    pub reads_per_second: f64,
    /// Loads a second from the weight store before it answers 429.
    pub weight_loads_per_second: f64,
    /// Bytes of each weight file.
    pub weight_bytes: usize,
    /// How far the host list lags behind.
    pub host_lag: Duration,
    /// Hosts that are live from the beginning.
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

/// A stand-in that runs until it is dropped or stopped.
pub struct RunningPlatform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its task.
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
    /// Base of its URLs, without a `/` at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Calls so far, as `GET /v1/counters` tells them.
    pub fn counters(&self) -> PlatformCounters {
        self.platform.counters()
    }

    /// Gives the same order as `POST /v1/faults`.
    pub fn set_fault(&self, command: FaultCommand) {
        self.platform.set_fault(command);
    }

    /// What its store holds now.
    pub fn snapshot_store(&self) -> ObjectTable {
        self.platform.copy()
    }

    /// Lets its store come back from a copy.
    pub fn restore_store(&self, copy: ObjectTable) {
        self.platform.restore(copy);
    }

    /// Lets the calls go on that a slow fault holds back now, before their delay has passed.
    pub fn release_delayed(&self) {
        self.platform.release_delayed();
    }

    /// Ends it and all its connections.
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
            // An error ends the connection without an answer, which is how answers get lost.
            let _ended = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
