//! Reading the configuration from the store, and collecting chunks that nobody needs.

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

/// Chunks that are read or written at the same time.
pub(crate) const PARALLEL_CALLS: usize = 16;

/// How often the root is read again when its chunks were collected meanwhile.
const LOAD_ATTEMPTS: usize = 3;

/// The configuration in the platform's store.
#[derive(Clone)]
pub struct ConfigStore {
    pub(crate) store: Arc<dyn ObjectStore>,
}

/// A configuration that was read and checked.
#[derive(Clone, Debug)]
pub struct LoadedConfig {
    /// The root that names it.
    pub root: ConfigRoot,
    /// Its bytes: canonical JSON of [`FleetConfig`].
    pub bytes: Bytes,
    /// What the bytes say.
    pub config: FleetConfig,
}

/// Why a configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadError {
    /// The store did not answer.
    Store(StoreError),
    /// The root cannot be read.
    CorruptRoot,
    /// A chunk that the root names is not there.
    MissingChunk(ChunkName),
    /// A chunk does not have its hash.
    CorruptChunk(ChunkName),
    /// The chunks together are not what the root names, or not a configuration.
    CorruptConfig,
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "the configuration could not be read: {error}"),
            Self::CorruptRoot => f.write_str("the configuration's root cannot be read"),
            Self::MissingChunk(hash) => write!(f, "chunk {hash} is missing"),
            Self::CorruptChunk(hash) => write!(f, "chunk {hash} does not have its hash"),
            Self::CorruptConfig => f.write_str("the chunks do not make a configuration"),
        }
    }
}

impl std::error::Error for LoadError {}

impl From<StoreError> for LoadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// A root and the version of its object.
#[derive(Clone, Debug)]
pub struct VersionedRoot {
    /// Version of the object.
    pub version: ObjectVersion,
    /// The root.
    pub root: ConfigRoot,
}

impl ConfigStore {
    /// The configuration in `store`.
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Reads the root; `None` before the first acceptance.
    pub async fn load_root(&self) -> Result<Option<ConfigRoot>, LoadError> {
        Ok(self.read_root().await?.map(|versioned| versioned.root))
    }

    /// Reads the newest configuration whole; `None` before the first acceptance.
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
                // A slow reader's chunks may be collected once newer configurations replaced
                // them; the root in the store then names others.
                Err(LoadError::MissingChunk(_)) if attempt < LOAD_ATTEMPTS => attempt += 1,
                result => return result.map(Some),
            }
        }
    }

    /// Reads the configuration that `root` names. Chunks in `cache` are not read again, and
    /// afterwards it holds those of `root` alone.
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

    /// Deletes up to `limit` chunks that no process can need and returns how many it deleted.
    ///
    /// A chunk goes when the root neither names nor retains it and it was written before the
    /// root. An apply that is under way has written its chunks after it read the root it builds
    /// on: if that root is still the newest, the chunks are younger than it; if it is not, the
    /// apply will be refused. The delete names the version that was listed, so that a chunk
    /// written again in between stays.
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

    /// Reads the root; `None` when nothing was accepted yet.
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

    /// Reads one chunk; whether its bytes have its hash is for the caller to check.
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
