//! The request to drain and stop.

use std::{
    io,
    time::{Duration, Instant},
};

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Tells every task of a daemon to drain; clones share one state.
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

    /// Triggers the signal when the process gets SIGTERM or SIGINT; needs a tokio runtime.
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

    /// Asks for the drain.
    pub fn trigger(&self) {
        self.triggered_at.send_if_modified(|triggered_at| {
            let is_first = triggered_at.is_none();
            triggered_at.get_or_insert_with(Instant::now);
            is_first
        });
    }

    /// Whether the drain has been asked for.
    pub fn is_triggered(&self) -> bool {
        self.triggered_at.borrow().is_some()
    }

    /// Time since the drain was asked for; zero before.
    pub fn time_since_trigger(&self) -> Duration {
        let triggered_at = *self.triggered_at.borrow();
        triggered_at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Waits until the drain is asked for; returns at once afterwards.
    pub async fn wait(&self) {
        let mut receiver = self.triggered_at.subscribe();
        // The sender lives in `self`, so the channel cannot close while we wait.
        let _ = receiver.wait_for(Option::is_some).await;
    }
}

/// Tells a daemon that its settings file has changed; clones share one state.
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

    /// Triggers the signal whenever the process gets SIGHUP; needs a tokio runtime.
    ///
    /// A process that does not listen is ended by SIGHUP, and its requests with it.
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

    /// Asks for a reload.
    pub fn trigger(&self) {
        self.count.send_modify(|count| *count += 1);
    }

    /// Sees each reload that is asked for from now on.
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
