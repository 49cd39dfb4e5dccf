//! Deterministic prompt texts of a given length.

use lovagedock::TokenCount;

/// Parameters from which the text of a prompt is generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptSeed {
    /// Seed that makes the text unique.
    pub unique: u64,
    /// Number of the common text that fills the first half of the prompt.
    pub common: Option<u16>,
    /// Length in tokens.
    pub tokens: TokenCount,
}

/// Bytes per token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// Words of one token each.
const WORDS: [&str; 16] = [
    "log ", "keel", " of ", "reef", "mast", " and", " the", "hull", "tone", "bass", "gain", " in ",
    "gulf", "fit ", "ear ", "cup ",
];

/// Generates the text of a prompt. It has only letters and spaces, so JSON needs no escapes.
pub fn prompt_text(seed: PromptSeed) -> String {
    let tokens = usize::try_from(seed.tokens).unwrap_or(usize::MAX / BYTES_PER_TOKEN);
    let mut text = String::with_capacity(tokens * BYTES_PER_TOKEN);
    if let Some(common) = seed.common {
        append_words(&mut text, u64::from(common) + 1, tokens / 2);
    }
    let rest = tokens - text.len() / BYTES_PER_TOKEN;
    // Multiplication by an odd number keeps distinct seeds distinct and moves small seeds away from
    // the seeds of the common texts.
    let unique = seed.unique.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    append_words(&mut text, unique, rest);
    text
}

fn append_words(text: &mut String, seed: u64, tokens: usize) {
    let mut state = seed;
    for _ in 0..tokens {
        // A linear congruential generator is enough, because texts only have to differ.
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        text.push_str(WORDS[(state >> 60) as usize]);
    }
}
