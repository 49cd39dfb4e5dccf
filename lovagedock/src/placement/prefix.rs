use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of tokens in one piece of a prompt.
pub const PREFIX_PIECE_TOKENS: u64 = 1_024;

/// Returns the hashes of a prompt's prefixes: its first piece, its first two pieces, and so on.
///
/// A piece has `bytes_per_token` times [`PREFIX_PIECE_TOKENS`] bytes. A remainder shorter than a
/// piece is ignored because engines cache whole blocks only. Gateways and sidecars must both use
/// this function so that their hashes match.
pub fn prefix_hashes(prompt: &[u8], bytes_per_token: f64) -> Vec<u64> {
    let piece = (bytes_per_token * PREFIX_PIECE_TOKENS as f64).max(1.0) as usize;
    let mut seed = 0;
    prompt
        .chunks_exact(piece)
        .map(|chunk| {
            seed = xxh3_64_with_seed(chunk, seed);
            seed
        })
        .collect()
}
