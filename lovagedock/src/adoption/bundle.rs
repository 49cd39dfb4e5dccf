//! Bundles that transfer a configuration between processes as a difference from an older
//! generation.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::manifest::{ChunkHash, ConfigManifest, ManifestDigest, chunk_hash};
use crate::ids::Generation;

/// A generation, either complete or as a difference from another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBundle {
    /// Generation that the receiver has after applying the bundle.
    pub generation: Generation,
    /// Digest of the resulting manifest.
    pub digest: ManifestDigest,
    /// Generation that the receiver must have; 0 for a complete bundle.
    pub base: Generation,
    /// Number of chunks at the start of the base that are unchanged.
    pub prefix: u32,
    /// Number of chunks at the end of the base that are unchanged.
    pub suffix: u32,
    /// Chunk hashes between prefix and suffix.
    pub middle: Vec<ChunkHash>,
    /// Chunks that are not in the base.
    pub chunks: Vec<Bytes>,
}

/// Reason why a bundle was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BundleError {
    /// The bytes are not a bundle.
    Malformed,
    /// The base of the bundle is a generation that the receiver does not have.
    OtherBase,
    /// The result does not match the digest.
    DigestMismatch,
    /// A chunk is missing.
    MissingChunk,
}

/// A manifest with all its chunks.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSnapshot {
    pub(crate) manifest: ConfigManifest,
    pub(crate) chunks: BTreeMap<ChunkHash, Bytes>,
}

impl ConfigBundle {
    /// Encodes the bundle for the `config` field of the protocol.
    pub fn encode(&self) -> Bytes {
        let bytes =
            postcard::to_stdvec(self).expect("serializing a bundle to a vector does not fail");
        Bytes::from(bytes)
    }

    /// Decodes the output of [`Self::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, BundleError> {
        postcard::from_bytes(bytes).map_err(|_| BundleError::Malformed)
    }
}

impl ConfigSnapshot {
    /// Returns the complete configuration by concatenating its chunks.
    pub(crate) fn text(&self) -> Bytes {
        let hashes = self.manifest.chunks.iter();
        let chunks = hashes.filter_map(|hash| self.chunks.get(hash));
        let parts: Vec<&[u8]> = chunks.map(|chunk| &chunk[..]).collect();
        Bytes::from(parts.concat())
    }

    /// Returns the difference from `base`, or a complete bundle if there is no base.
    pub(crate) fn bundle(&self, base: Option<&ConfigManifest>) -> ConfigBundle {
        let none: Arc<[ChunkHash]> = Arc::new([]);
        let old = base.map_or(&none, |base| &base.chunks);
        let new = &self.manifest.chunks;
        let prefix = common_prefix_length(old.iter(), new.iter());
        let rest = old.len().min(new.len()) - prefix;
        let suffix = common_prefix_length(old.iter().rev(), new.iter().rev()).min(rest);
        let middle = new[prefix..new.len() - suffix].to_vec();
        let mut seen: BTreeSet<&ChunkHash> = old.iter().collect();
        let lacking = middle.iter().filter(|hash| seen.insert(*hash));
        let chunks = lacking.map(|hash| self.chunks[hash].clone()).collect();
        ConfigBundle {
            generation: self.manifest.generation,
            digest: self.manifest.digest(),
            base: base.map_or(0, |base| base.generation),
            prefix: prefix as u32,
            suffix: suffix as u32,
            middle,
            chunks,
        }
    }

    /// Applies a bundle to an older snapshot.
    pub(crate) fn from_bundle(
        base: Option<&ConfigSnapshot>,
        bundle: &ConfigBundle,
        verify: bool,
    ) -> Result<Self, BundleError> {
        let base = base.filter(|_| bundle.base > 0);
        let base_generation = base.map_or(0, |base| base.manifest.generation);
        if base_generation != bundle.base {
            return Err(BundleError::OtherBase);
        }
        let chunks = splice_hashes(base, bundle)?;
        let manifest = ConfigManifest {
            generation: bundle.generation,
            chunks,
        };
        // Without this check, a bundle that is damaged or was built on another list of chunks would
        // come into force as a configuration that was never accepted. The digest covers the
        // generation, the order of the chunks and, by their hashes, their content.
        if verify && manifest.digest() != bundle.digest {
            return Err(BundleError::DigestMismatch);
        }
        Self::collect(manifest, base, &bundle.chunks)
    }

    /// Combines a manifest with its chunks, which come from an older snapshot and from `fresh`.
    pub(crate) fn collect(
        manifest: ConfigManifest,
        base: Option<&ConfigSnapshot>,
        fresh: &[Bytes],
    ) -> Result<Self, BundleError> {
        let fresh: BTreeMap<ChunkHash, &Bytes> = fresh
            .iter()
            .map(|chunk| (chunk_hash(chunk), chunk))
            .collect();
        let mut chunks = BTreeMap::new();
        for hash in manifest.chunks.iter() {
            let old = || base.and_then(|base| base.chunks.get(hash));
            let chunk = fresh.get(hash).copied().or_else(old);
            let chunk = chunk.ok_or(BundleError::MissingChunk)?;
            chunks.insert(*hash, chunk.clone());
        }
        Ok(Self { manifest, chunks })
    }
}

fn splice_hashes(
    base: Option<&ConfigSnapshot>,
    bundle: &ConfigBundle,
) -> Result<Arc<[ChunkHash]>, BundleError> {
    let none: Arc<[ChunkHash]> = Arc::new([]);
    let old = base.map_or(&none, |base| &base.manifest.chunks);
    let prefix = bundle.prefix as usize;
    let suffix = bundle.suffix as usize;
    if prefix + suffix > old.len() {
        return Err(BundleError::DigestMismatch);
    }
    let head = old[..prefix].iter();
    let tail = old[old.len() - suffix..].iter();
    Ok(head.chain(&bundle.middle).chain(tail).copied().collect())
}

fn common_prefix_length<'a>(
    left: impl Iterator<Item = &'a ChunkHash>,
    right: impl Iterator<Item = &'a ChunkHash>,
) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}
