//! Idempotency keys and their distribution over partitions and gateways.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::types::{BodyDigest, KeyHash, PartitionIndex};
use crate::ids::{GatewayId, OrganisationId, ServiceId};

/// The full key of a claim.
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
    /// Hashes the three parts. Two keys do not share a hash in practice.
    pub fn hash(&self) -> KeyHash {
        let mut hasher = blake3::Hasher::new();
        for part in [&*self.organisation, &*self.service, self.key.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        truncate_hash(hasher.finalize())
    }

    /// Hashes the request, so that the use of one key for two different requests is detected.
    pub fn body_digest(method: &str, path: &str, body: &[u8]) -> BodyDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        truncate_hash(hasher.finalize())
    }
}

/// Maps keys to partitions, and partitions to their home gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartitionMap {
    count: u32,
}

impl PartitionMap {
    /// Creates a map of `count` partitions, at least one.
    ///
    /// All gateways must use the same count, since a key whose partition changes counts as a new
    /// key. Changing the count is safe after a whole window without keyed requests.
    pub fn new(count: u32) -> Self {
        Self {
            count: count.max(1),
        }
    }

    /// Number of partitions.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the partition of a key.
    pub fn partition_of(&self, key: &KeyHash) -> PartitionIndex {
        let mut high = [0; 8];
        high.copy_from_slice(&key[..8]);
        let spread = u128::from(u64::from_be_bytes(high)) * u128::from(self.count);
        (spread >> 64) as u32
    }

    /// Returns the home gateway of a partition, chosen by rendezvous hashing. Claims that are sent
    /// to it share writes.
    ///
    /// Only the number of conflicts depends on it. Gateways that disagree about the home gateway or
    /// cannot reach it still write safely, because updates are conditional.
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

/// Computes the number of partitions for a load of keyed requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartitionPlan {
    /// Keyed requests per second over the whole fleet.
    pub claims_per_second: f64,
    /// How long a claim is kept, in seconds.
    pub window_seconds: f64,
    /// Mean size of a claim with its inline answer, in bytes.
    pub entry_bytes: f64,
    /// Maximum size of a partition's object, in bytes.
    pub partition_bytes: f64,
}

impl PartitionPlan {
    /// Returns the number of partitions that hold a window of claims and are at most half full on
    /// average.
    pub fn partitions(&self) -> u32 {
        const MEAN_FILL: f64 = 0.5;
        let held = self.claims_per_second * self.window_seconds * self.entry_bytes;
        let count = held / (self.partition_bytes * MEAN_FILL);
        count.ceil().max(1.0) as u32
    }
}

fn truncate_hash(hash: blake3::Hash) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    half
}
