use fastcdc::v2020::FastCDC;
use xxhash_rust::xxh3::xxh3_64;

use crate::direct::PromptParts;

/// Sizes of a part, in bytes: minimum, average and maximum.
const MIN_PART: usize = 512;
const MEAN_PART: usize = 2048;
const MAX_PART: usize = 8192;

/// Maximum number of parts of one prompt.
const MAX_PARTS: usize = 64;

/// Returns the parts of a prompt that other prompts may share.
///
/// The boundaries depend on the text around them alone, so that a part that comes after other texts
/// is recognised. Of a long prompt, the parts with the lowest hashes are returned, which are the same
/// in all prompts that have them.
pub fn prompt_parts(prompt: &[u8]) -> PromptParts {
    let chunks = FastCDC::new(prompt, MIN_PART, MEAN_PART, MAX_PART);
    let text = |offset: usize, length: usize| &prompt[offset..offset + length];
    let parts = chunks.map(|chunk| xxh3_64(text(chunk.offset, chunk.length)));
    let mut parts: PromptParts = parts.collect();
    parts.sort_unstable();
    parts.dedup();
    parts.truncate(MAX_PARTS);
    parts
}
