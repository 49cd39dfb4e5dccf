//! Cuts a configuration into chunks so that a small change touches few of them.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

/// Sizes of chunks, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkLimits {
    /// Size at which a cut is first looked for.
    pub min_bytes: usize,
    /// Size at which a chunk is cut in any case.
    pub max_bytes: usize,
    /// One line in so many ends a chunk.
    pub lines_per_cut: u64,
}

impl Default for ChunkLimits {
    fn default() -> Self {
        Self {
            min_bytes: 1_024,
            max_bytes: 16_384,
            lines_per_cut: 16,
        }
    }
}

/// Cuts after lines that their own content chooses, so that an inserted line moves no other cut.
pub fn split_chunks(text: &Bytes, limits: &ChunkLimits) -> Vec<Bytes> {
    let mut chunks = Vec::new();
    let mut start = 0;
    let mut at = 0;
    for line in text.split_inclusive(|byte| *byte == b'\n') {
        if at > start && at + line.len() - start > limits.max_bytes {
            chunks.push(text.slice(start..at));
            start = at;
        }
        at += line.len();
        while at - start > limits.max_bytes {
            chunks.push(text.slice(start..start + limits.max_bytes));
            start += limits.max_bytes;
        }
        let is_cut = xxh3_64(line).is_multiple_of(limits.lines_per_cut.max(1));
        if is_cut && at - start >= limits.min_bytes {
            chunks.push(text.slice(start..at));
            start = at;
        }
    }
    if start < text.len() {
        chunks.push(text.slice(start..));
    }
    chunks
}
