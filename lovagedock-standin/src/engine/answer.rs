//! Deterministic answer text of a stand-in engine: a pure function of the prompt.

use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use lovagedock::prelude::TokenCount;

/// Bytes of prompt or answer text per token.
pub const BYTES_PER_TOKEN: u64 = 4;
/// Tokens in one chunk of a prompt. The prefix cache stores and evicts whole chunks.
pub const PREFIX_CHUNK_TOKENS: u64 = 1_024;

const PREFIX_CHUNK_BYTES: usize = (PREFIX_CHUNK_TOKENS * BYTES_PER_TOKEN) as usize;
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeioun";

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Recomputes the complete answer to a prompt, so that a load generator can check what it received.
pub fn expected_answer(prompt: &str, max_tokens: TokenCount) -> String {
    answer_text(prompt_digest(prompt), 0, max_tokens)
}

/// Joins the messages of a chat into the prompt that the stand-in engine answers.
pub fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

/// Number of tokens in a prompt; an empty prompt counts as one token.
pub fn prompt_tokens(prompt: &str) -> TokenCount {
    (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)
}

/// Hashes of the full chunks of a prompt. Each hash also covers all chunks before it.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .as_bytes()
        .chunks_exact(PREFIX_CHUNK_BYTES)
        .map(|chunk| {
            hash = xxh3_64_with_seed(chunk, hash);
            hash
        })
        .collect()
}

pub(crate) fn prompt_digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Text of the answer tokens in `start..end`.
pub(crate) fn answer_text(digest: u64, start: TokenCount, end: TokenCount) -> String {
    (start..end)
        .flat_map(|index| token_letters(digest, index))
        .collect()
}

fn token_letters(digest: u64, index: TokenCount) -> [char; 4] {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), digest);
    let letter = |shift: u32| char::from(LETTERS[(hash >> shift) as usize % LETTERS.len()]);
    [letter(0), letter(8), letter(16), ' ']
}
