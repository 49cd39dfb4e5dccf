//! Prompt texts of a given length, the same for the same seed.

use lovagedock::TokenCount;

/// What a prompt's text is made from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptSeed {
    /// Makes the text unlike all others.
    pub unique: u64,
    /// Common text that the first half consists of, by number.
    pub common: Option<u16>,
    /// Length in tokens.
    pub tokens: TokenCount,
}

/// Bytes that make one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;

/// One token each.
const WORDS: [&str; 16] = [
    "log ", "keel", " of ", "reef", "mast", " and", " the", "hull", "tone", "bass", "gain", " in ",
    "gulf", "fit ", "ear ", "cup ",
];

/// Makes the text of a prompt; only letters and spaces, so that it needs no escapes in JSON.
pub fn prompt_text(seed: PromptSeed) -> String {
    let tokens = usize::try_from(seed.tokens).unwrap_or(usize::MAX / BYTES_PER_TOKEN);
    let mut text = String::with_capacity(tokens * BYTES_PER_TOKEN);
    if let Some(common) = seed.common {
        append_words(&mut text, u64::from(common) + 1, tokens / 2);
    }
    let rest = tokens - text.len() / BYTES_PER_TOKEN;
    // Multiplied by an odd number, two seeds stay two, and small ones get far from the common texts'.
    let unique = seed.unique.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    append_words(&mut text, unique, rest);
    text
}

fn append_words(text: &mut String, seed: u64, tokens: usize) {
    let mut state = seed;
    for _ in 0..tokens {
        // A linear congruential generator is enough: the text only has to differ from others.
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        text.push_str(WORDS[(state >> 60) as usize]);
    }
}
