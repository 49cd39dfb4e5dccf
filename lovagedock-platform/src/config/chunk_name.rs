//! Names of chunks in the store.

use std::sync::Arc;

use lovagedock::{ChunkHash, chunk_hash};

use super::CHUNK_PREFIX;

/// A [`ChunkHash`] in hexadecimal.
pub type ChunkName = Arc<str>;

/// Returns the name under which the store keeps a chunk.
pub fn chunk_name(hash: &ChunkHash) -> ChunkName {
    blake3::Hash::from_bytes(*hash).to_hex().as_str().into()
}

/// Parses a chunk name; returns `None` if it is not a hash.
pub(crate) fn parse_name(name: &ChunkName) -> Option<ChunkHash> {
    let hash = blake3::Hash::from_hex(name.as_bytes()).ok()?;
    Some(*hash.as_bytes())
}

pub(crate) fn name_of_bytes(bytes: &[u8]) -> ChunkName {
    chunk_name(&chunk_hash(bytes))
}

pub(crate) fn chunk_key(hash: &ChunkName) -> String {
    format!("{CHUNK_PREFIX}{hash}")
}
