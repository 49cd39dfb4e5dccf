//! Reads the configuration from the store and deletes chunks that are no longer needed.

use std::{fmt, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::{StreamExt, TryStreamExt, stream};
use lovagedock::FleetConfig;

use super::{
    CHUNK_PREFIX, ROOT_KEY,
    chunk_name::{ChunkName, chunk_key, name_of_bytes},
    chunks::ChunkCache,
    root::ConfigRoot,
};
use crate::store::{
    CallPurpose, ChangeBatch, ObjectStore, ObjectVersion, PutCondition, Revision, StoreError,
};

/// Maximum number of chunks that are read or written concurrently.
pub(crate) const PARALLEL_CALLS: usize = 16;

/// Number of attempts to load the configuration if its chunks are collected while it is being read.
const LOAD_ATTEMPTS: usize = 3;

/// The configuration in the platform's store.
#[derive(Clone)]
pub struct ConfigStore {
    pub(crate) store: Arc<dyn ObjectStore>,
}

/// A configuration that was loaded and verified.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// Root of the configuration.
    pub root: ConfigRoot,
    /// Canonical JSON of the [`FleetConfig`].
    pub bytes: Bytes,
    /// The parsed configuration.
    pub config: FleetConfig,
}

/// Error of loading a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The call to the store failed.
    Store(StoreError),
    /// The root cannot be parsed.
    CorruptRoot,
    /// A chunk named by the root does not exist.
    MissingChunk(ChunkName),
    /// A chunk does not match its hash.
    CorruptChunk(ChunkName),
    /// The joined chunks do not match the digest in the root, or are not a valid configuration.
    CorruptConfig,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "the configuration could not be read: {error}"),
            Self::CorruptRoot => f.write_str("the configuration's root cannot be read"),
            Self::MissingChunk(hash) => write!(f, "chunk {hash} is missing"),
            Self::CorruptChunk(hash) => write!(f, "chunk {hash} does not match its hash"),
            Self::CorruptConfig => f.write_str("the chunks do not form a valid configuration"),
        }
    }
}

impl std::error::Error for LoadError {}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// A root with the version of its object.
#[derive(Clone, Debug)]
pub struct VersionedRoot {
    /// Version of the object.
    pub version: ObjectVersion,
    /// The root.
    pub root: ConfigRoot,
}

impl ConfigStore {
    /// Creates a configuration store on top of `store`.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Reads the root; returns `None` before the first acceptance.
    pub async fn load_root(&self) -> Result<Option<ConfigRoot>, LoadError> {
        Ok(self.read_root().await?.map(|versioned| versioned.root))
    }

    /// Reads the complete newest configuration; returns `None` before the first acceptance.
    pub async fn load_latest(
        &self,
        cache: &mut ChunkCache,
    ) -> Result<Option<LoadedConfig>, LoadError> {
        let mut attempt = 1;
        loop {
            let Some(root) = self.load_root().await? else {
                return Ok(None);
            };
            match self.load(root, cache).await {
                // Chunks may be collected during a slow read once newer configurations have
                // replaced them. The root in the store then names other chunks.
                Err(LoadError::MissingChunk(_)) if attempt < LOAD_ATTEMPTS => attempt += 1,
                result => return result.map(Some),
            }
        }
    }

    /// Reads the configuration that `root` names. Chunks in `cache` are not read again; afterwards
    /// the cache holds only the chunks of `root`.
    pub async fn load(
        &self,
        root: ConfigRoot,
        cache: &mut ChunkCache,
    ) -> Result<LoadedConfig, LoadError> {
        let missing = root.chunks.iter().filter(|hash| cache.get(hash).is_none());
        let reads = missing.map(|hash| self.read_chunk(hash.clone()));
        let mut chunks = stream::iter(reads.collect::<Vec<_>>()).buffer_unordered(PARALLEL_CALLS);
        while let Some((hash, bytes)) = chunks.try_next().await? {
            if !cache.insert(&hash, bytes) {
                return Err(LoadError::CorruptChunk(hash));
            }
        }
        drop(chunks);
        cache.retain(&root);
        assemble(root, cache)
    }

    /// Deletes up to `limit` chunks that no process can need and returns the number of deleted
    /// chunks.
    ///
    /// A chunk is deleted if the root neither names nor retains it and it was written before the
    /// root. An apply in progress writes its chunks after reading the root that it builds on. If
    /// that root is still the newest, the chunks are newer than it; otherwise the apply will not be
    /// accepted. The delete is conditional on the listed version, so a chunk that was written again
    /// in between is kept.
    pub async fn collect_chunks(&self, limit: usize) -> Result<usize, LoadError> {
        let Some(versioned) = self.read_root().await? else {
            return Ok(0);
        };
        let entries = self.store.list(CHUNK_PREFIX, CallPurpose::Config).await?;
        let unused = entries.iter().filter(|entry| {
            let hash = entry.key.strip_prefix(CHUNK_PREFIX).unwrap_or_default();
            entry.version < versioned.version && !versioned.root.retains(hash)
        });
        let mut deleted = 0;
        for entry in unused.take(limit) {
            let condition = PutCondition::Version(entry.version);
            let result = self
                .store
                .delete(&entry.key, condition, CallPurpose::Config);
            match result.await {
                Ok(()) => deleted += 1,
                Err(StoreError::Conflict { .. }) => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(deleted)
    }

    /// Reads the root and its version; returns `None` before the first acceptance.
    pub async fn read_root(&self) -> Result<Option<VersionedRoot>, LoadError> {
        let Some(object) = self.store.get(ROOT_KEY, CallPurpose::Config).await? else {
            return Ok(None);
        };
        let root = serde_json::from_slice(&object.value).map_err(|_| LoadError::CorruptRoot)?;
        Ok(Some(VersionedRoot {
            version: object.version,
            root,
        }))
    }

    /// Waits up to `wait` for a write of the root after a revision.
    pub async fn watch_root(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<ChangeBatch, StoreError> {
        self.store
            .watch(ROOT_KEY, after, wait, CallPurpose::Config)
            .await
    }

    /// Reads one chunk. The caller checks whether the bytes match the hash.
    pub async fn read_chunk_bytes(&self, name: &ChunkName) -> Result<Bytes, LoadError> {
        let (_, bytes) = self.read_chunk(name.clone()).await?;
        Ok(bytes)
    }

    async fn read_chunk(&self, hash: ChunkName) -> Result<(ChunkName, Bytes), LoadError> {
        let object = self
            .store
            .get(&chunk_key(&hash), CallPurpose::Config)
            .await?;
        match object {
            Some(object) => Ok((hash, object.value)),
            None => Err(LoadError::MissingChunk(hash)),
        }
    }
}

fn assemble(root: ConfigRoot, cache: &ChunkCache) -> Result<LoadedConfig, LoadError> {
    let mut bytes = BytesMut::new();
    for hash in &root.chunks {
        let chunk = cache.get(hash);
        bytes.extend_from_slice(&chunk.ok_or_else(|| LoadError::MissingChunk(hash.clone()))?);
    }
    let bytes = bytes.freeze();
    if name_of_bytes(&bytes) != root.digest {
        return Err(LoadError::CorruptConfig);
    }
    let config = serde_json::from_slice(&bytes).map_err(|_| LoadError::CorruptConfig)?;
    Ok(LoadedConfig {
        root,
        bytes,
        config,
    })
}
