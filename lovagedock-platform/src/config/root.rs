//! The root object, and how it determines the outcome of an apply whose confirmation was lost.

use std::collections::HashSet;

use lovagedock::{ConfigManifest, Generation};
use serde::{Deserialize, Serialize};

use super::chunk_name::{ChunkName, parse_name};

/// Random text that identifies one apply. The operator's program generates it once and reuses it
/// for retries.
pub type ApplyNonce = String;

/// Number of past acceptances recorded in the root. The outcome of an apply with a lost
/// confirmation can be determined as long as its generation is among them.
const HISTORY_LENGTH: usize = 32;

/// Number of generations for which an unused chunk is kept for processes that still read it.
const RETAINED_GENERATIONS: Generation = 8;

/// Content of `config/root`: the accepted configuration and the operator who applied it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The acceptance that created this root.
    pub accepted: AcceptedRecord,
    /// Time at which the operator's program sent the apply, as text for display; no decision
    /// depends on it.
    pub accepted_at: String,
    /// Length of the whole configuration in bytes.
    pub length: u64,
    /// BLAKE3 digest of the whole configuration.
    pub digest: ChunkName,
    /// Chunks in order.
    pub chunks: Vec<ChunkName>,
    /// Previous acceptances, newest first.
    pub history: Vec<AcceptedRecord>,
    /// Chunks that were recently removed from the configuration.
    pub retired: Vec<RetiredChunk>,
}

/// One acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// Generation that the acceptance created.
    pub generation: Generation,
    /// Nonce of the apply.
    pub nonce: ApplyNonce,
    /// Operator who applied it.
    pub author: String,
}

/// A chunk that was removed from the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredChunk {
    /// The chunk.
    pub hash: ChunkName,
    /// First generation without it.
    pub generation: Generation,
}

/// Status of an apply according to a root.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStatus {
    /// The apply was accepted as this generation.
    Accepted(Generation),
    /// Another apply created the generation that this one was to create.
    Superseded(AcceptedRecord),
    /// That generation does not exist yet.
    Open,
    /// The root no longer records which apply created that generation.
    NotRecorded,
}

impl ConfigRoot {
    /// Generation of the configuration.
    pub fn generation(&self) -> Generation {
        self.accepted.generation
    }

    /// Returns the manifest of this root that processes exchange; `None` if the name of a chunk is
    /// not a hash.
    pub fn manifest(&self) -> Option<ConfigManifest> {
        let chunks: Option<_> = self.chunks.iter().map(parse_name).collect();
        Some(ConfigManifest {
            generation: self.generation(),
            chunks: chunks?,
        })
    }

    /// Whether chunk collection must keep this chunk.
    pub fn retains(&self, hash: &str) -> bool {
        let retired = || self.retired.iter().any(|chunk| &*chunk.hash == hash);
        self.chunks.iter().any(|chunk| &**chunk == hash) || retired()
    }

    /// Makes this root the successor of `base`.
    pub(crate) fn with_base(mut self, base: Option<&ConfigRoot>) -> Self {
        let Some(base) = base else {
            return self;
        };
        self.history = std::iter::once(&base.accepted)
            .chain(&base.history)
            .take(HISTORY_LENGTH)
            .cloned()
            .collect();
        self.retired = self.retired_after(base);
        self
    }

    fn retired_after(&self, base: &ConfigRoot) -> Vec<RetiredChunk> {
        let generation = self.generation();
        let mut seen: HashSet<&ChunkName> = self.chunks.iter().collect();
        let newly_retired = base.chunks.iter().map(|hash| RetiredChunk {
            hash: hash.clone(),
            generation,
        });
        let previously_retired = base.retired.iter().cloned();
        let mut retired: Vec<RetiredChunk> = newly_retired.chain(previously_retired).collect();
        retired.retain(|chunk| chunk.generation + RETAINED_GENERATIONS > generation);
        let mut kept = Vec::new();
        for chunk in &retired {
            if seen.insert(&chunk.hash) {
                kept.push(chunk.clone());
            }
        }
        kept
    }
}

/// Determines from the root in the store the status of the apply with `nonce`, which was to follow
/// generation `expected`.
pub(crate) fn apply_status(
    root: Option<&ConfigRoot>,
    nonce: &ApplyNonce,
    expected: Generation,
) -> ApplyStatus {
    let Some(root) = root else {
        return match expected {
            0 => ApplyStatus::Open,
            _ => ApplyStatus::NotRecorded,
        };
    };
    let mut records = std::iter::once(&root.accepted).chain(&root.history);
    if let Some(own) = records.clone().find(|record| record.nonce == *nonce) {
        return ApplyStatus::Accepted(own.generation);
    }
    if root.generation() <= expected {
        return match root.generation() == expected {
            true => ApplyStatus::Open,
            false => ApplyStatus::NotRecorded,
        };
    }
    match records.find(|record| record.generation == expected + 1) {
        Some(winner) => ApplyStatus::Superseded(winner.clone()),
        None => ApplyStatus::NotRecorded,
    }
}
