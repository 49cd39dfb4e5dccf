use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one piece of a prompt.
pub const PREFIX_PIECE_TOKENS: u64 = 1_024;

/// Hashes of a prompt's prefixes: of its first piece, its first two pieces, and so on.
///
/// A piece is `bytes_per_token` times [`PREFIX_PIECE_TOKENS`] bytes. A rest that is shorter than a
/// piece is left out, since engines cache whole blocks only. Gateways and sidecars both use this
/// function, so that their hashes agree.
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
