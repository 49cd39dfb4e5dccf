//! Manifest of an accepted configuration, which is the root object in the store.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::Generation;

/// BLAKE3 hash of a chunk; its name in the store.
pub type ChunkHash = [u8; 32];
/// BLAKE3 hash of a generation and its chunk hashes.
pub type ManifestDigest = [u8; 32];

/// Hashes a chunk of a configuration.
pub fn chunk_hash(chunk: &[u8]) -> ChunkHash {
    *blake3::hash(chunk).as_bytes()
}

/// A generation and the ordered list of its chunks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigManifest {
    /// Number of the generation, which increases with each accepted configuration.
    pub generation: Generation,
    /// Hashes of the chunks.
    pub chunks: Arc<[ChunkHash]>,
}

impl ConfigManifest {
    /// Creates the manifest of these chunks.
    pub fn new(generation: Generation, chunks: &[Bytes]) -> Self {
        Self {
            generation,
            chunks: chunks.iter().map(|chunk| chunk_hash(chunk)).collect(),
        }
    }

    /// Returns a digest that identifies this manifest.
    pub fn digest(&self) -> ManifestDigest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.generation.to_le_bytes());
        for chunk in self.chunks.iter() {
            hasher.update(chunk);
        }
        *hasher.finalize().as_bytes()
    }
}
