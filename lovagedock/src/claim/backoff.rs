//! Backoff after store failures and after write conflicts with other gateways.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::partition::ClaimPartition;
use crate::ids::Timestamp;

/// Number of consecutive conflicts after which a gateway backs off to let another one write.
const CONFLICTS_BEFORE_BACKOFF: u32 = 2;
const MAX_CONFLICT_DOUBLINGS: u32 = 3;
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl ClaimPartition {
    pub(super) fn on_conflict(&mut self, now: Timestamp) {
        self.stale = true;
        self.conflicts += 1;
        if self.conflicts > CONFLICTS_BEFORE_BACKOFF {
            let doublings = (self.conflicts - CONFLICTS_BEFORE_BACKOFF).min(MAX_CONFLICT_DOUBLINGS);
            self.retry_at = now + self.jitter(self.limits.backoff / 10 * (1 << doublings));
        }
    }

    pub(super) fn back_off(&mut self, now: Timestamp) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        let pause = self.limits.backoff * (1 << doublings);
        self.retry_at = now + self.jitter(pause.min(self.limits.max_backoff));
    }

    /// Spreads the retries of the gateways over the second half of the pause.
    fn jitter(&self, pause: Duration) -> Duration {
        let seed = u64::from(self.failures) << 32 | u64::from(self.conflicts);
        let hash = xxh3_64_with_seed(&self.owner.to_le_bytes(), seed ^ u64::from(self.index));
        pause / 2 + pause / 2 * (hash % 1024) as u32 / 1024
    }
}
