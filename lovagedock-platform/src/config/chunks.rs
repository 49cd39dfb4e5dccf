//! Splitting of a configuration into chunks.

use std::collections::HashMap;

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use lovagedock::FleetConfig;

use super::{
    chunk_name::{ChunkName, name_of_bytes},
    root::ConfigRoot,
};

const MIN_CHUNK_BYTES: usize = 8 << 10;
const AVERAGE_CHUNK_BYTES: usize = 32 << 10;
const MAX_CHUNK_BYTES: usize = 128 << 10;

/// A part of a configuration and its hash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigChunk {
    /// The chunk's hash, in hexadecimal.
    pub hash: ChunkName,
    /// Bytes of the chunk.
    pub bytes: Bytes,
}

/// Chunks that a process already has, by hash.
#[derive(Clone, Debug, Default)]
pub struct ChunkCache {
    chunks: HashMap<ChunkName, Bytes>,
}

impl ChunkCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the bytes of a chunk, if cached.
    pub fn get(&self, hash: &ChunkName) -> Option<Bytes> {
        self.chunks.get(hash).cloned()
    }

    /// Stores a chunk if its bytes match its hash; returns whether they match.
    pub fn insert(&mut self, hash: &ChunkName, bytes: Bytes) -> bool {
        let matches = name_of_bytes(&bytes) == *hash;
        if matches {
            self.chunks.insert(hash.clone(), bytes);
        }
        matches
    }

    /// Removes every chunk that `root` does not name.
    pub fn retain(&mut self, root: &ConfigRoot) {
        self.chunks.retain(|hash, _| root.chunks.contains(hash));
    }

    /// Number of cached chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }
}

/// Serialises a configuration in its stored form: JSON without whitespace, fields in the order of
/// the types, so that equal configurations have equal bytes.
pub fn canonical_json(config: &FleetConfig) -> Result<Bytes, serde_json::Error> {
    serde_json::to_vec(config).map(Bytes::from)
}

/// Splits a configuration at content-defined boundaries: the same bytes give the same chunks, and
/// an edit changes the chunks that it touches and rarely more.
pub fn split_chunks(config: &Bytes) -> Vec<ConfigChunk> {
    FastCDC::new(
        config,
        MIN_CHUNK_BYTES,
        AVERAGE_CHUNK_BYTES,
        MAX_CHUNK_BYTES,
    )
    .map(|cut| {
        let bytes = config.slice(cut.offset..cut.offset + cut.length);
        ConfigChunk {
            hash: name_of_bytes(&bytes),
            bytes,
        }
    })
    .collect()
}
