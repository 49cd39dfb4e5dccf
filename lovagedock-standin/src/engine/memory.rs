//! KV memory in blocks, with a prefix cache in what requests leave over.

use std::collections::BTreeMap;

use lovagedock::prelude::{BlockCount, TokenCount};

use super::answer::PREFIX_CHUNK_TOKENS;

/// Tokens in one block.
pub const BLOCK_TOKENS: u64 = 16;

const CHUNK_BLOCKS: BlockCount = PREFIX_CHUNK_TOKENS / BLOCK_TOKENS;

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// A piece was stored.
    Stored(u64),
    /// A piece was evicted.
    Removed(u64),
}

/// Blocks of one engine.
#[derive(Debug)]
pub struct KvMemory {
    total: BlockCount,
    allocated: BlockCount,
    cache: BTreeMap<u64, u64>,
    clock: u64,
    changes: Vec<CacheChange>,
}

impl KvMemory {
    /// Memory for the given number of tokens.
    pub fn new(tokens: TokenCount) -> Self {
        Self {
            total: tokens / BLOCK_TOKENS,
            allocated: 0,
            cache: BTreeMap::new(),
            clock: 0,
            changes: Vec::new(),
        }
    }

    /// Blocks that `tokens` need.
    pub fn blocks_for(tokens: TokenCount) -> BlockCount {
        tokens.div_ceil(BLOCK_TOKENS)
    }

    /// Blocks in all.
    pub fn total(&self) -> BlockCount {
        self.total
    }

    /// Blocks that requests hold.
    pub fn allocated(&self) -> BlockCount {
        self.allocated
    }

    /// Blocks that the prefix cache fills.
    pub fn cached(&self) -> BlockCount {
        self.cache.len() as u64 * CHUNK_BLOCKS
    }

    /// Hashes of the cached pieces.
    pub fn cached_hashes(&self) -> Vec<u64> {
        self.cache.keys().copied().collect()
    }

    /// Takes blocks for a request, evicting cached pieces as needed; `false` if they are not there.
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

    /// Gives blocks of a request back.
    pub fn free(&mut self, blocks: BlockCount) {
        self.allocated -= blocks;
    }

    /// Tokens of the longest cached prefix; what it finds counts as used.
    pub fn cached_tokens(&mut self, hashes: &[u64]) -> TokenCount {
        let chunks = hashes
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count();
        self.mark_used(&hashes[..chunks]);
        chunks as u64 * PREFIX_CHUNK_TOKENS
    }

    /// Keeps a prompt's pieces as far as memory is left over, oldest use evicted first.
    pub fn cache_prefix(&mut self, hashes: &[u64]) {
        let room = (self.total - self.allocated) / CHUNK_BLOCKS;
        let cacheable = &hashes[..hashes.len().min(room as usize)];
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

    /// A piece is of no use without those before it, so the first piece is touched last.
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
