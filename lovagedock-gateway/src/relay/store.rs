//! Reads and watches of the accepted configuration in the store.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{AdoptionEvent, ChunkHash, RootOutcome, prelude::*};
use lovagedock_platform::{ConfigStore, Revision, VersionedRoot, chunk_name};
use parking_lot::Mutex;
use slog::{Logger, debug, warn};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender},
    task::JoinSet,
};

/// Time that a watch of the store waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// What the relay wants from the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreRequest {
    /// Read the root.
    ReadRoot,
    /// Wait for a root above a generation.
    WatchRoot {
        /// The generation.
        above: Generation,
    },
    /// Read a chunk.
    ReadChunk {
        /// Its hash.
        hash: ChunkHash,
    },
}

/// Carries out the relay's store calls.
pub(crate) struct StoreReader {
    config: ConfigStore,
    last_read: Mutex<LastRead>,
    log: Logger,
}

/// The root that was read last.
#[derive(Clone, Copy, Default)]
struct LastRead {
    revision: Revision,
    generation: Generation,
}

impl StoreReader {
    /// A reader that has read nothing.
    pub(crate) fn new(config: ConfigStore, log: Logger) -> Self {
        Self {
            config,
            last_read: Mutex::default(),
            log,
        }
    }

    /// Carries out orders until their sender is gone; calls under way end with the returned future.
    pub(crate) async fn run(
        self,
        mut requests: UnboundedReceiver<StoreRequest>,
        events: UnboundedSender<AdoptionEvent>,
    ) {
        let reader = Arc::new(self);
        let mut calls = JoinSet::new();
        while let Some(request) = requests.recv().await {
            while calls.try_join_next().is_some() {}
            let reader = Arc::clone(&reader);
            let events = events.clone();
            calls.spawn(async move {
                let event = reader.execute(request).await;
                // A relay that has gone needs no answer.
                let _gone = events.send(event);
            });
        }
    }

    async fn execute(&self, request: StoreRequest) -> AdoptionEvent {
        match request {
            StoreRequest::ReadRoot => AdoptionEvent::RootRead(self.read_root().await),
            StoreRequest::WatchRoot { above } => {
                AdoptionEvent::RootRead(self.watch_root(above).await)
            }
            StoreRequest::ReadChunk { hash } => AdoptionEvent::ChunkRead {
                hash,
                bytes: self.read_chunk(&hash).await,
            },
        }
    }

    async fn read_root(&self) -> RootOutcome {
        match self.config.read_root().await {
            Ok(Some(versioned)) => self.record_root(&versioned),
            Ok(None) => RootOutcome::Unchanged,
            Err(error) => {
                debug!(self.log, "no configuration from the store"; "error" => %error);
                RootOutcome::Unavailable
            }
        }
    }

    async fn watch_root(&self, above: Generation) -> RootOutcome {
        let last_read = *self.last_read.lock();
        // The chunks of this root could not be read at first: its next write may be hours away.
        if last_read.generation > above {
            return self.read_root().await;
        }
        let watch = self.config.watch_root(last_read.revision, WATCH_TIMEOUT);
        match watch.await {
            Ok(change) if change.revision < last_read.revision => {
                // The store came back from an older copy and gives its revisions out again: a root that
                // is written now would not be told as a change after the old one. What the root says is
                // for the relay to judge, which never goes back a generation.
                warn!(self.log, "store came back from an older copy";
                    "revision" => change.revision, "before" => last_read.revision);
                self.last_read.lock().revision = change.revision;
                self.read_root().await
            }
            Ok(change) if change.keys.is_empty() => RootOutcome::Unchanged,
            Ok(change) => {
                let outcome = self.read_root().await;
                if outcome == RootOutcome::Unchanged {
                    self.last_read.lock().revision = change.revision;
                }
                outcome
            }
            Err(error) => {
                debug!(self.log, "no watch of the store"; "error" => %error);
                RootOutcome::Unavailable
            }
        }
    }

    fn record_root(&self, versioned: &VersionedRoot) -> RootOutcome {
        let Some(manifest) = versioned.root.manifest() else {
            warn!(
                self.log,
                "the configuration's root names a chunk by no hash"
            );
            return RootOutcome::Unavailable;
        };
        *self.last_read.lock() = LastRead {
            revision: versioned.version,
            generation: manifest.generation,
        };
        RootOutcome::Found(manifest)
    }

    async fn read_chunk(&self, hash: &ChunkHash) -> Option<Bytes> {
        match self.config.read_chunk_bytes(&chunk_name(hash)).await {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                debug!(self.log, "no chunk from the store"; "error" => %error);
                None
            }
        }
    }
}
