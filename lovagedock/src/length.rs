//! Buckets of prompt length used in reports and metrics.

use crate::ids::TokenCount;

/// A range of prompt lengths, named by a typical length in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LengthBucket {
    /// Up to 2,000 tokens.
    K1,
    /// Up to 8,000 tokens.
    K4,
    /// Up to 32,000 tokens.
    K16,
    /// Up to 128,000 tokens.
    K64,
    /// Up to 512,000 tokens.
    K256,
    /// Longer than 512,000 tokens.
    M1,
}

impl LengthBucket {
    /// All buckets, shortest first.
    pub const ALL: [Self; 6] = [
        Self::K1,
        Self::K4,
        Self::K16,
        Self::K64,
        Self::K256,
        Self::M1,
    ];

    /// Returns the bucket of a prompt with `tokens` tokens.
    pub fn of(tokens: TokenCount) -> Self {
        match tokens {
            0..=2_000 => Self::K1,
            2_001..=8_000 => Self::K4,
            8_001..=32_000 => Self::K16,
            32_001..=128_000 => Self::K64,
            128_001..=512_000 => Self::K256,
            _ => Self::M1,
        }
    }

    /// Returns the name used in reports and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::K1 => "1k",
            Self::K4 => "4k",
            Self::K16 => "16k",
            Self::K64 => "64k",
            Self::K256 => "256k",
            Self::M1 => "1m",
        }
    }

    /// Returns the position in [`Self::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}
