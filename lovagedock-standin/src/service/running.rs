//! Starting a stand-in service and reading what it ran.

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

/// Options of a stand-in service; times are real.
#[derive(Clone, Debug, Default)]
pub struct ServiceOptions {
    /// How long each call takes.
    pub service_time: Duration,
}

/// One call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRun {
    /// Value of `x-request-id`; empty if there was none.
    pub request_id: String,
    /// HTTP method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// XXH3 of the body, 16 hexadecimal digits.
    pub body_digest: String,
}

/// One call with what its answer does not tell; times are since the service's start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The call.
    pub run: ServiceRun,
    /// Value of `idempotency-key`.
    pub key: Option<String>,
    /// When it began.
    pub started_at: Duration,
    /// When it ended; `None` while it runs, and when its caller went away first.
    pub ended_at: Option<Duration>,
}

/// Every call that the service began, in order.
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

    /// All calls so far, with their keys and times.
    pub fn entries(&self) -> Vec<ServiceEntry> {
        self.entries.lock().clone()
    }

    /// Records a call that begins and returns its place in the journal.
    pub(crate) fn record_start(&self, entry: ServiceEntry) -> usize {
        let mut entries = self.entries.lock();
        entries.push(entry);
        entries.len() - 1
    }

    pub(crate) fn record_end(&self, index: usize, at: Duration) {
        self.entries.lock()[index].ended_at = Some(at);
    }
}

/// Entry point of the stand-in service.
#[derive(Debug)]
pub struct ServiceStandin;

impl ServiceStandin {
    /// Starts a service on a free loopback port; needs a `tokio` runtime.
    pub async fn start(options: ServiceOptions) -> io::Result<RunningService> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), options).await
    }

    /// Starts a service at the given address.
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

/// A service that answers; it runs as long as its runtime.
#[derive(Clone, Debug)]
pub struct RunningService {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it ran.
    pub journal: ServiceJournal,
    state: Arc<ServiceState>,
}

impl RunningService {
    /// Time since the start, on which the journal's times are.
    pub fn uptime(&self) -> Duration {
        self.state.started.elapsed()
    }

    /// Breaks all connections and refuses new ones, as a process that died.
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
    pub(crate) async fn crashed(&self) {
        let mut is_killed = self.is_killed.subscribe();
        let _ = is_killed.wait_for(|is_killed| *is_killed).await;
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }
}
