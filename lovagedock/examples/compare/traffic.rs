//! Random arrivals with a mix of prompt lengths.

use std::time::Duration;

use lovagedock::{CostParameters, LengthBucket, PREFIX_PIECE_TOKENS, TokenCount};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// True cost parameters of an engine with speed 1.
pub(crate) const TRUE_COST: CostParameters = CostParameters {
    prefill_ns_per_token: 50_000.0,
    prefill_ns_per_token_squared: 0.05,
    decode_ns: 20_000_000.0,
};

/// Buckets with their probability, typical length in tokens and deadline in seconds. One prompt in
/// fifty is longer than 100k tokens, and one in 250 has about a million.
const MIX: [(LengthBucket, f64, f64, u64); 6] = [
    (LengthBucket::K1, 0.50, 1_000.0, 60),
    (LengthBucket::K4, 0.28, 4_000.0, 60),
    (LengthBucket::K16, 0.14, 16_000.0, 120),
    (LengthBucket::K64, 0.06, 64_000.0, 300),
    (LengthBucket::K256, 0.016, 256_000.0, 600),
    (LengthBucket::M1, 0.004, 900_000.0, 900),
];
const JITTER: f64 = 0.3;
const MAX_PROMPT: f64 = 1_000_000.0;
const CONVERSATIONS: f64 = 200.0;
const SHARED_PROBABILITY: f64 = 0.5;

/// One request of the traffic.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) prompt: TokenCount,
    pub(crate) answer: TokenCount,
    pub(crate) deadline: Duration,
    pub(crate) gateway: usize,
    pub(crate) prefix: Vec<u64>,
    /// Conversation and the number of prompt pieces shared with its other requests.
    pub(crate) shared: Option<(u64, u64)>,
}

impl Arrival {
    pub(crate) fn bucket(&self) -> LengthBucket {
        LengthBucket::of(self.prompt)
    }
}

/// Returns the hash of the first `pieces` pieces of a conversation.
pub(crate) fn conversation_hash(conversation: u64, pieces: u64) -> u64 {
    (conversation + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ pieces.wrapping_mul(0xff51_afd7)
}

/// Generates arrivals over `seconds` that load `engines` engines to `load` without cache hits.
pub(crate) fn arrivals(
    rng: &mut ChaCha8Rng,
    load: f64,
    engines: usize,
    gateways: usize,
    seconds: f64,
) -> Vec<Arrival> {
    let mean: f64 = MIX
        .iter()
        .map(|(_, share, tokens, _)| share * TRUE_COST.prefill(*tokens as u64, 0).as_secs_f64())
        .sum();
    let rate = load * engines as f64 / mean;
    let mut at = 0.0;
    let mut list = Vec::new();
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / rate;
        if at > seconds {
            return list;
        }
        list.push(arrival(rng, at, gateways));
    }
}

fn arrival(rng: &mut ChaCha8Rng, at: f64, gateways: usize) -> Arrival {
    let mut left = rng.random::<f64>();
    let kind = MIX.iter().find(|(_, share, _, _)| {
        left -= share;
        left < 0.0
    });
    let (_, _, tokens, deadline) = kind.unwrap_or(&MIX[0]);
    let jitter = 1.0 + JITTER * (2.0 * rng.random::<f64>() - 1.0);
    let prompt = (tokens * jitter).min(MAX_PROMPT) as u64;
    let conversation = (CONVERSATIONS * rng.random::<f64>().powi(3)) as u64;
    let shared_pieces = 1 + conversation % 24;
    let pieces = prompt / PREFIX_PIECE_TOKENS;
    let shares = rng.random_bool(SHARED_PROBABILITY) && pieces >= shared_pieces;
    let unique: u64 = rng.random();
    let prefix = (1..=pieces)
        .map(|piece| match shares && piece <= shared_pieces {
            true => conversation_hash(conversation, piece),
            false => unique.wrapping_add(piece),
        })
        .collect();
    Arrival {
        at,
        prompt,
        answer: rng.random_range(32..256),
        deadline: Duration::from_secs(*deadline),
        gateway: rng.random_range(0..gateways),
        prefix,
        shared: shares.then_some((conversation, shared_pieces)),
    }
}
