//! Keys, and how they are spread over partitions and gateways.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::types::{BodyDigest, KeyHash, PartitionIndex};
use crate::ids::{GatewayId, OrganisationId, ServiceId};

/// What a claim is made for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimKey {
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Service that was called.
    pub service: ServiceId,
    /// Value of the `Idempotency-Key` header.
    pub key: String,
}

impl ClaimKey {
    /// Hashes the three parts; no two keys share a hash in practice.
    pub fn hash(&self) -> KeyHash {
        let mut hasher = blake3::Hasher::new();
        for part in [&*self.organisation, &*self.service, self.key.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        first_half(hasher.finalize())
    }

    /// Hashes what the key is used for, so that its use for something else is noticed.
    pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        first_half(hasher.finalize())
    }
}

/// Finds the partition of a key and the gateway where claims of a partition best meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionMap {
    count: u32,
}

impl PartitionMap {
    /// Spreads keys over `count` partitions, at least one.
    ///
    /// All gateways must use the same count: a key whose partition changes is a new key. A change
    /// is safe once no keyed request came for a whole window.
    pub fn new(count: u32) -> Self {
        Self {
            count: count.max(1),
        }
    }

    /// Partitions in all.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Partition of a key.
    pub fn partition_of(&self, key: &KeyHash) -> PartitionIndex {
        let mut high = [0; 8];
        high.copy_from_slice(&key[..8]);
        let spread = u128::from(u64::from_be_bytes(high)) * u128::from(self.count);
        (spread >> 64) as u32
    }

    /// The gateway at which claims of a partition share writes, by rendezvous hash.
    ///
    /// Only the number of conflicts depends on it: two gateways that disagree about the home, or
    /// a gateway that cannot reach it, still write safely by the conditional update.
    pub fn home_of<'a>(
        &self,
        partition: PartitionIndex,
        gateways: &'a [GatewayId],
    ) -> Option<&'a GatewayId> {
        let score =
            |gateway: &&GatewayId| xxh3_64_with_seed(gateway.as_bytes(), u64::from(partition));
        gateways.iter().max_by_key(score)
    }
}

/// Counts the partitions that a load of keyed requests needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartitionPlan {
    /// Keyed requests a second over the whole fleet.
    pub claims_per_second: f64,
    /// How long a claim is kept, in seconds.
    pub window_seconds: f64,
    /// Mean size of a claim with its inline answer, in bytes.
    pub entry_bytes: f64,
    /// Largest size of a partition's object, in bytes.
    pub partition_bytes: f64,
}

impl PartitionPlan {
    /// Partitions that hold a window of claims when no more than half full on average.
    pub fn partitions(&self) -> u32 {
        const MEAN_FILL: f64 = 0.5;
        let held = self.claims_per_second * self.window_seconds * self.entry_bytes;
        let count = held / (self.partition_bytes * MEAN_FILL);
        count.ceil().max(1.0) as u32
    }
}

fn first_half(hash: blake3::Hash) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    half
}
