//! Reads of the store, which few processes watch and the others poll rarely.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::{
    bundle::ConfigSnapshot,
    manifest::{ChunkHash, ConfigManifest, chunk_hash},
    state::AdoptionState,
    types::{AdoptionAction, AdoptionSource, RootOutcome},
};
use crate::ids::{Generation, Timestamp};

const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// State of reading from the store.
#[derive(Debug, Default)]
pub(super) struct UpstreamState {
    pub(super) failures: u32,
    in_flight: bool,
    next_at: Option<Timestamp>,
    poll_requested: bool,
    /// Whether this process watches the store, by plan or as a standby.
    pub(super) watching: bool,
    /// Whether the first read was answered, or a configuration from a peer arrived earlier.
    started: bool,
    /// Whether the store reported that no configuration was accepted yet.
    is_empty: bool,
    fetch: Option<ChunkFetch>,
}

/// A manifest whose chunks are being read.
#[derive(Debug)]
struct ChunkFetch {
    manifest: ConfigManifest,
    missing: BTreeSet<ChunkHash>,
    in_flight: BTreeSet<ChunkHash>,
    /// When to read the chunks from the store unless peers provide them earlier, since the store
    /// allows few reads.
    read_from_store_at: Timestamp,
    read: BTreeMap<ChunkHash, Bytes>,
}

impl UpstreamState {
    pub(super) fn request_poll_if(&mut self, is_newer: bool) {
        self.poll_requested |= is_newer;
    }

    pub(super) fn next_wake(&self) -> Option<Timestamp> {
        let next_at = self.next_at.filter(|_| !self.in_flight);
        let waiting = self
            .fetch
            .as_ref()
            .filter(|fetch| fetch.in_flight.is_empty());
        let chunks_at = waiting.map(|fetch| fetch.read_from_store_at);
        let chunks_at = chunks_at.filter(|_| self.failures == 0);
        next_at.into_iter().chain(chunks_at).min()
    }
}

impl AdoptionState {
    pub(super) fn set_watching(&mut self, now: Timestamp, watching: bool) {
        if watching && !self.upstream.watching && self.upstream.failures == 0 {
            self.upstream.next_at = Some(now);
        }
        let stops = !watching && self.upstream.watching;
        if stops && self.generation() > 0 && self.upstream.failures == 0 {
            // The next call was scheduled at the short interval of a watcher.
            let pause = self.jitter(self.limits.poll_interval);
            self.upstream.next_at = Some(now + pause);
        }
        self.upstream.watching = watching;
    }

    /// Reads the root at startup, then watches or polls it. Failures make the interval longer. A
    /// notification of a newer generation causes a read at once unless the last call failed.
    pub(super) fn drive_upstream(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        if self.upstream.failures == 0 {
            self.read_chunks(now, actions);
        }
        if self.upstream.in_flight {
            return;
        }
        if self.upstream.next_at.is_none() && !self.upstream.watching {
            // The jitter spreads the reads if a whole failure domain restarts. Most processes then
            // get the configuration from a peer and need no read.
            let pause = self.jitter(self.limits.startup_wait);
            self.upstream.next_at = Some(now + pause);
        }
        let is_requested = self.upstream.poll_requested && self.upstream.failures == 0;
        let is_due = self.upstream.next_at.is_none_or(|at| at <= now);
        if !is_requested && !is_due {
            return;
        }
        self.upstream.in_flight = true;
        self.upstream.poll_requested = false;
        let above = self.generation();
        // Before the first configuration is accepted, there is no plan and no peer can push, so
        // every process watches. A poll would find the first configuration minutes later.
        let may_watch = match above {
            0 => self.upstream.is_empty,
            _ => self.upstream.watching,
        };
        let action = match may_watch && !is_requested {
            true => AdoptionAction::WatchRoot { above },
            false => AdoptionAction::ReadRoot,
        };
        actions.push(action);
    }

    pub(super) fn on_root(
        &mut self,
        now: Timestamp,
        outcome: RootOutcome,
        actions: &mut Vec<AdoptionAction>,
    ) {
        self.upstream.in_flight = false;
        if outcome == RootOutcome::Unavailable {
            self.back_off(now);
            return;
        }
        self.upstream.failures = 0;
        self.upstream.started = true;
        self.upstream.is_empty = outcome == RootOutcome::Unchanged && self.generation() == 0;
        let pause = match self.upstream.watching || self.upstream.is_empty {
            true => self.limits.watch_pause,
            false => self.jitter(self.limits.poll_interval),
        };
        self.upstream.next_at = Some(now + pause);
        let RootOutcome::Found(manifest) = outcome else {
            return;
        };
        self.record_generation(manifest.generation);
        if self.is_newer(manifest.generation) {
            self.fetch_missing_chunks(now, manifest, actions);
        }
    }

    /// Returns the generation that is being read from the store.
    pub(super) fn fetch_generation(&self) -> Option<Generation> {
        let fetch = self.upstream.fetch.as_ref();
        fetch.map(|fetch| fetch.manifest.generation)
    }

    /// Stops reads that are superseded by the adopted configuration, and reschedules the next one.
    pub(super) fn record_adopted(&mut self, now: Timestamp) {
        let generation = self.generation();
        let is_superseded = |fetch: &mut ChunkFetch| fetch.manifest.generation <= generation;
        self.upstream.fetch.take_if(is_superseded);
        // The role for this configuration follows with a separate event. A watch that started
        // before it would stay open for its full time, even if this process is not to watch.
        if self.upstream.next_at.is_some_and(|at| at <= now) {
            self.upstream.next_at = Some(now + self.limits.watch_pause);
        }
        if !self.upstream.watching && !self.upstream.started && self.upstream.failures == 0 {
            self.upstream.started = true;
            let pause = self.jitter(self.limits.poll_interval);
            self.upstream.next_at = Some(now + pause);
        }
    }

    fn back_off(&mut self, now: Timestamp) {
        let doublings = self.upstream.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.upstream.failures += 1;
        let pause = self.limits.backoff * (1 << doublings);
        let pause = self.jitter(pause.min(self.limits.max_backoff));
        self.upstream.next_at = Some(now + pause);
    }

    fn fetch_missing_chunks(
        &mut self,
        now: Timestamp,
        manifest: ConfigManifest,
        actions: &mut Vec<AdoptionAction>,
    ) {
        let has = |hash: &&ChunkHash| {
            let current = self.current.as_ref();
            current.is_some_and(|current| current.chunks.contains_key(*hash))
        };
        let missing = manifest.chunks.iter().filter(|hash| !has(hash));
        let missing = missing.copied().collect();
        let delay = match self.upstream.watching || self.role.peers.is_empty() {
            true => Timestamp::ZERO,
            false => self.jitter(self.limits.startup_wait * 2),
        };
        let mut fetch = ChunkFetch {
            missing,
            in_flight: BTreeSet::new(),
            read_from_store_at: now + delay,
            read: BTreeMap::new(),
            manifest,
        };
        if let Some(old) = self.upstream.fetch.take() {
            fetch.missing.retain(|hash| !old.read.contains_key(hash));
            fetch.read = old.read;
        }
        self.upstream.fetch = Some(fetch);
        self.finish_fetch(now, actions);
    }

    fn read_chunks(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let due = |fetch: &&mut ChunkFetch| fetch.read_from_store_at <= now;
        let Some(fetch) = self.upstream.fetch.as_mut().filter(due) else {
            return;
        };
        let room = self
            .limits
            .chunk_reads
            .saturating_sub(fetch.in_flight.len());
        let waiting = fetch.missing.difference(&fetch.in_flight);
        let next: Vec<ChunkHash> = waiting.take(room).copied().collect();
        for hash in next {
            fetch.in_flight.insert(hash);
            actions.push(AdoptionAction::ReadChunk { hash });
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now: Timestamp,
        hash: ChunkHash,
        bytes: Option<Bytes>,
        actions: &mut Vec<AdoptionAction>,
    ) {
        let verify = self.safeguards.verified_digests;
        let Some(fetch) = &mut self.upstream.fetch else {
            return;
        };
        fetch.in_flight.remove(&hash);
        let verified = bytes.filter(|bytes| !verify || chunk_hash(bytes) == hash);
        let Some(bytes) = verified else {
            self.back_off(now);
            return;
        };
        if fetch.missing.remove(&hash) {
            fetch.read.insert(hash, bytes);
        }
        self.finish_fetch(now, actions);
    }

    fn finish_fetch(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let done = |fetch: &mut ChunkFetch| fetch.missing.is_empty();
        let Some(fetch) = self.upstream.fetch.take_if(done) else {
            return;
        };
        // A push or pull from a peer may have provided this generation already.
        if !self.is_newer(fetch.manifest.generation) {
            return;
        }
        let fresh: Vec<Bytes> = fetch.read.into_values().collect();
        let base = self.current.as_ref();
        if let Ok(snapshot) = ConfigSnapshot::collect(fetch.manifest, base, &fresh) {
            self.adopt(now, snapshot, AdoptionSource::Store, actions);
        }
    }
}
