//! Reads and watches the accepted configuration in the store.

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

/// Time that a watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of the relay to the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum StoreRequest {
    /// Read the root.
    ReadRoot,
    /// Wait for a root with a newer generation.
    WatchRoot {
        /// The generation to exceed.
        above: Generation,
    },
    /// Read a chunk.
    ReadChunk {
        /// Hash of the chunk.
        hash: ChunkHash,
    },
}

/// Executes the relay's store requests.
pub(crate) struct StoreReader {
    config: ConfigStore,
    last_read: Mutex<LastRead>,
    log: Logger,
}

/// Revision and generation of the root that was read last.
#[derive(Clone, Copy, Default)]
struct LastRead {
    revision: Revision,
    generation: Generation,
}

impl StoreReader {
    /// Creates a reader that has read nothing.
    pub(crate) fn new(config: ConfigStore, log: Logger) -> Self {
        Self {
            config,
            last_read: Mutex::default(),
            log,
        }
    }

    /// Executes requests until their sender is dropped. Pending calls are aborted when the returned
    /// future ends or is dropped.
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
                // The send fails only if the relay has ended; it then needs no result.
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
                debug!(self.log, "cannot read the configuration from the store"; "error" => %error);
                RootOutcome::Unavailable
            }
        }
    }

    async fn watch_root(&self, above: Generation) -> RootOutcome {
        let last_read = *self.last_read.lock();
        // The chunks of this root could not be read before. Its next write may be hours away, so it
        // is read again instead of watched.
        if last_read.generation > above {
            return self.read_root().await;
        }
        let watch = self.config.watch_root(last_read.revision, WATCH_TIMEOUT);
        match watch.await {
            Ok(change) if change.revision < last_read.revision => {
                // The store was restored from an older copy and assigns the same revisions again.
                // A watch from the old revision would not report a root that is written now. The
                // relay decides about the content of the root; it never returns to an older
                // generation.
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
                debug!(self.log, "cannot watch the store"; "error" => %error);
                RootOutcome::Unavailable
            }
        }
    }

    fn record_root(&self, versioned: &VersionedRoot) -> RootOutcome {
        let Some(manifest) = versioned.root.manifest() else {
            warn!(
                self.log,
                "the configuration root has a malformed chunk hash"
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
                debug!(self.log, "cannot read a chunk from the store"; "error" => %error);
                None
            }
        }
    }
}
