//! KV memory in blocks. The prefix cache uses the blocks that no request has allocated.

use std::collections::BTreeMap;

use lovagedock::prelude::{BlockCount, TokenCount};

use super::answer::PREFIX_CHUNK_TOKENS;

/// Tokens per block.
pub const BLOCK_TOKENS: u64 = 16;

const CHUNK_BLOCKS: BlockCount = PREFIX_CHUNK_TOKENS / BLOCK_TOKENS;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A chunk was stored.
    Stored(u64),
    /// A chunk was evicted.
    Removed(u64),
}

/// KV memory of one engine.
#[derive(Debug)]
pub struct KvMemory {
    total: BlockCount,
    allocated: BlockCount,
    cache: BTreeMap<u64, u64>,
    clock: u64,
    changes: Vec<CacheChange>,
}

impl KvMemory {
    /// Creates memory for the given number of tokens.
    pub fn new(tokens: TokenCount) -> Self {
        Self {
            total: tokens / BLOCK_TOKENS,
            allocated: 0,
            cache: BTreeMap::new(),
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// Number of blocks needed for `tokens`.
    pub fn blocks_for(tokens: TokenCount) -> BlockCount {
        tokens.div_ceil(BLOCK_TOKENS)
    }

    /// Total number of blocks.
    pub fn total(&self) -> BlockCount {
        self.total
    }

    /// Blocks allocated to requests.
    pub fn allocated(&self) -> BlockCount {
        self.allocated
    }

    /// Blocks used by the prefix cache.
    pub fn cached(&self) -> BlockCount {
        self.cache.len() as u64 * CHUNK_BLOCKS
    }

    /// Hashes of the cached chunks.
    pub fn cached_hashes(&self) -> Vec<u64> {
        self.cache.keys().copied().collect()
    }

    /// Allocates blocks for a request and evicts cached chunks as needed. Returns `false` if there
    /// are not enough blocks.
    pub fn allocate(&mut self, blocks: BlockCount) -> bool {
        if self.allocated + blocks > self.total {
            return false;
        }
        self.allocated += blocks;
        while self.allocated + self.cached() > self.total {
            self.evict_oldest();
        }
        true
    }

    /// Frees blocks of a request.
    pub fn free(&mut self, blocks: BlockCount) {
        self.allocated -= blocks;
    }

    /// Number of tokens in the longest cached prefix. Marks the chunks of that prefix as used.
    pub fn cached_tokens(&mut self, hashes: &[u64]) -> TokenCount {
        let chunks = hashes
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count();
        self.mark_used(&hashes[..chunks]);
        chunks as u64 * PREFIX_CHUNK_TOKENS
    }

    /// Caches the chunks of a prompt as far as unallocated memory allows. Evicts the least recently
    /// used chunks first.
    pub fn cache_prefix(&mut self, hashes: &[u64]) {
        let free_chunks = (self.total - self.allocated) / CHUNK_BLOCKS;
        let cacheable = &hashes[..hashes.len().min(free_chunks as usize)];
        for hash in cacheable {
            if !self.cache.contains_key(hash) {
                self.changes.push(CacheChange::Stored(*hash));
            }
        }
        self.mark_used(cacheable);
        while self.allocated + self.cached() > self.total {
            self.evict_oldest();
        }
    }

    /// Changes of the cache since the last call.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Marks chunks as used, the first chunk last: a chunk is useless without the chunks before it,
    /// so the first ones must be evicted last.
    fn mark_used(&mut self, hashes: &[u64]) {
        for hash in hashes.iter().rev() {
            self.clock += 1;
            self.cache.insert(*hash, self.clock);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.cache.iter().min_by_key(|(_, used)| **used);
        if let Some(hash) = oldest.map(|(hash, _)| *hash) {
            self.cache.remove(&hash);
            self.changes.push(CacheChange::Removed(hash));
        }
    }
}
