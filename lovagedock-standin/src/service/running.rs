//! Starts a stand-in service and provides its journal.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use super::routes;

/// Options of a stand-in service. Times are real time.
#[derive(Clone, Debug, Default)]
pub struct ServiceOptions {
    /// Duration of each call.
    pub service_time: Duration,
}

/// Call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// Value of the header `x-request-id`; empty if it was absent.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// XXH3 hash of the body as 16 hexadecimal digits.
    pub body_digest: String,
}

/// Journal entry of a call. Times are relative to the start of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The call, as returned in its response.
    pub run: ServiceRun,
    /// Value of the header `idempotency-key`.
    pub key: Option<String>,
    /// Start time.
    pub started_at: Duration,
    /// End time; `None` while the call runs, and if its caller disconnected before the end.
    pub ended_at: Option<Duration>,
}

/// Journal of all calls that the service started, in order.
#[derive(Clone, Debug, Default)]
pub struct ServiceJournal {
    entries: Arc<Mutex<Vec<ServiceEntry>>>,
}

impl ServiceJournal {
    /// All calls so far.
    pub fn runs(&self) -> Vec<ServiceRun> {
        let entries = self.entries.lock();
        entries.iter().map(|entry| entry.run.clone()).collect()
    }

    /// All calls so far, with idempotency keys and times.
    pub fn entries(&self) -> Vec<ServiceEntry> {
        self.entries.lock().clone()
    }

    /// Records the start of a call and returns its index in the journal.
    pub(crate) fn record_start(&self, entry: ServiceEntry) -> usize {
        let mut entries = self.entries.lock();
        entries.push(entry);
        entries.len() - 1
    }

    pub(crate) fn record_end(&self, index: usize, at: Duration) {
        self.entries.lock()[index].ended_at = Some(at);
    }
}

/// Starts stand-in services.
#[derive(Debug)]
pub struct ServiceStandin;

impl ServiceStandin {
    /// Starts a service on a free loopback port; needs a `tokio` runtime.
    pub async fn start(options: ServiceOptions) -> io::Result<RunningService> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts a service that listens on the given address; needs a `tokio` runtime.
    pub async fn start_at(
        address: SocketAddr,
        options: ServiceOptions,
    ) -> io::Result<RunningService> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServiceState {
            options,
            started: Instant::now(),
            running: AtomicUsize::new(0),
            journal: ServiceJournal::default(),
            is_killed: watch::Sender::new(false),
        });
        tokio::spawn(routes::serve(state.clone(), listener));
        Ok(RunningService {
            address,
            journal: state.journal.clone(),
            state,
        })
    }
}

/// Running service. It stops with its runtime.
#[derive(Clone, Debug)]
pub struct RunningService {
    /// Address on which the service listens.
    pub address: SocketAddr,
    /// Journal of the calls.
    pub journal: ServiceJournal,
    state: Arc<ServiceState>,
}

impl RunningService {
    /// Time since the start, the time base of the journal.
    pub fn uptime(&self) -> Duration {
        self.state.started.elapsed()
    }

    /// Breaks all connections and refuses new ones, like a crashed process.
    pub fn kill(&self) {
        self.state.is_killed.send_replace(true);
    }
}

#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) options: ServiceOptions,
    pub(crate) started: Instant,
    pub(crate) running: AtomicUsize,
    pub(crate) journal: ServiceJournal,
    is_killed: watch::Sender<bool>,
}

impl ServiceState {
    pub(crate) async fn killed(&self) {
        let mut is_killed = self.is_killed.subscribe();
        let _ = is_killed.wait_for(|is_killed| *is_killed).await;
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}
