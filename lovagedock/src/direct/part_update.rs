//! Parts of prompts.

use smallvec::SmallVec;

/// Identifies a part of a prompt that several requests may share.
pub type PromptPart = u64;

/// Parts of one prompt that other prompts may share, in order.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// Formats a part for logs and dumps.
pub fn format_part(part: PromptPart) -> String {
    format!("{part:08x}")
}
