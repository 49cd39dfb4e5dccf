//! Signals for shutdown and for reloading the settings.

use std::{
    io,
    time::{Duration, Instant},
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Requests all tasks of a daemon to drain; clones share one state.
///
/// It is triggered once, by SIGTERM, by SIGINT or by [`trigger`](Self::trigger), and never reset.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    triggered_at: watch::Sender<Option<Instant>>,
}

impl ShutdownSignal {
    /// Creates a signal that has not been triggered.
    pub fn new() -> Self {
        Self {
            triggered_at: watch::Sender::new(None),
        }
    }

    /// Triggers the signal when the process receives SIGTERM or SIGINT; needs a Tokio runtime.
    pub fn listen_to_process_signals(&self) -> io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let shutdown = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            shutdown.trigger();
        });
        Ok(())
    }

    /// Requests the drain.
    pub fn trigger(&self) {
        self.triggered_at.send_if_modified(|triggered_at| {
            let is_first = triggered_at.is_none();
            triggered_at.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// Whether the drain has been requested.
    pub fn is_triggered(&self) -> bool {
        self.triggered_at.borrow().is_some()
    }

    /// Time since the drain was requested; zero if it has not been.
    pub fn time_since_trigger(&self) -> Duration {
        let triggered_at = *self.triggered_at.borrow();
        triggered_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Waits until the drain is requested; returns immediately if it already has been.
    pub async fn wait(&self) {
        let mut receiver = self.triggered_at.subscribe();
        // The sender is owned by `self`, so the channel cannot close during the wait.
        let _ = receiver.wait_for(Option::is_some).await;
    }
}

/// Signals a daemon that its settings file has changed; clones share one state.
#[derive(Clone, Debug)]
pub struct ReloadSignal {
    count: watch::Sender<u64>,
}

impl ReloadSignal {
    /// Creates a signal that has not been triggered.
    pub fn new() -> Self {
        Self {
            count: watch::Sender::new(0),
        }
    }

    /// Triggers the signal whenever the process receives SIGHUP; needs a Tokio runtime.
    ///
    /// SIGHUP terminates a process that does not handle it, which aborts the requests of the
    /// process.
    pub fn listen_to_process_signals(&self) -> io::Result<()> {
        let mut hangup = signal(SignalKind::hangup())?;
        let reload = self.clone();
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                reload.trigger();
            }
        });
        Ok(())
    }

    /// Requests a reload.
    pub fn trigger(&self) {
        self.count.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each reload requested from now on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.count.subscribe()
    }
}

impl Default for ReloadSignal {
    fn default() -> Self {
        Self::new()
    }
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self::new()
    }
}
