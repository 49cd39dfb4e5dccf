//! The root object, and what it tells of an apply whose confirmation was lost.

use std::collections::HashSet;

use lovagedock::{ConfigManifest, Generation};
use serde::{Deserialize, Serialize};

use super::chunk_name::{ChunkName, parse_name};

/// Random text of one apply; the operator's program draws it once and keeps it over its retries.
pub type ApplyNonce = String;

/// Past acceptances that the root names. A lost confirmation can be settled for as long as its
/// generation is among them.
const HISTORY_LENGTH: usize = 32;

/// Generations for which a chunk that is no longer used is kept for processes that still read it.
const RETAINED_GENERATIONS: Generation = 8;

/// What `config/root` holds: the accepted configuration and who applied it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRoot {
    /// The acceptance that made this root.
    pub accepted: AcceptedRecord,
    /// When the operator's program sent it, as text for people; nothing is decided by it.
    pub accepted_at: String,
    /// Bytes of the whole configuration.
    pub length: u64,
    /// BLAKE3 of the whole configuration.
    pub digest: ChunkName,
    /// Chunks in their order.
    pub chunks: Vec<ChunkName>,
    /// Acceptances before this one, newest first.
    pub history: Vec<AcceptedRecord>,
    /// Chunks that left the configuration not long ago.
    pub retired: Vec<RetiredChunk>,
}

/// One acceptance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// Generation that it made.
    pub generation: Generation,
    /// Nonce of the apply.
    pub nonce: ApplyNonce,
    /// Who applied it.
    pub author: String,
}

/// A chunk that left the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredChunk {
    /// The chunk.
    pub hash: ChunkName,
    /// First generation without it.
    pub generation: Generation,
}

/// What a root tells of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStatus {
    /// It was accepted as this generation.
    Accepted(Generation),
    /// Another apply has the generation that this one was to make.
    Superseded(AcceptedRecord),
    /// Nobody has made that generation yet.
    Open,
    /// The root no longer names who made that generation.
    NotRecorded,
}

impl ConfigRoot {
    /// Generation of the configuration.
    pub fn generation(&self) -> Generation {
        self.accepted.generation
    }

    /// What processes hand to each other of this root; `None` when a chunk's name is no hash.
    pub fn manifest(&self) -> Option<ConfigManifest> {
        let chunks: Option<_> = self.chunks.iter().map(parse_name).collect();
        Some(ConfigManifest {
            generation: self.generation(),
            chunks: chunks?,
        })
    }

    /// Whether collecting chunks must leave this one alone.
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
        let newly = base.chunks.iter().map(|hash| RetiredChunk {
            hash: hash.clone(),
            generation,
        });
        let before = base.retired.iter().cloned();
        let mut retired: Vec<RetiredChunk> = newly.chain(before).collect();
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

/// Tells from the root that is in the store what became of the apply with `nonce`, which was to
/// follow generation `expected`.
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
