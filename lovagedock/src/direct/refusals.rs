//! Detection of returning requests: requests that callers retry after a refusal.

use std::time::Duration;

use super::recent::RecentSet;
use crate::ids::Timestamp;

/// Identifies a request by its content, independent of the id of its attempt.
pub type RequestFingerprint = u64;

/// Formats a fingerprint for logs and dumps.
pub fn format_fingerprint(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Time for which a refusal is remembered. Callers follow a retry delay of up to a third of their
/// time, and the longest deadlines are 15 s.
const RETENTION: Duration = Duration::from_secs(8);

/// Maximum number of remembered refusals; a gateway refuses some hundred per second at worst.
const MAX_REFUSALS: usize = 20_000;

/// Requests that were recently refused, here or by a peer.
///
/// If there are more short requests than slots for many seconds, a request that returns after a
/// refusal is late already. Treated as a new request, it would take the slot of one that could be
/// on time. That one is then refused and returns in turn: with a third too many requests, two in
/// five are on time where two in three could be. So a returning request gets only the capacity that
/// others leave.
#[derive(Clone, Debug)]
pub struct RefusalLog {
    refused: RecentSet,
    unsent: Vec<RequestFingerprint>,
}

impl Default for RefusalLog {
    fn default() -> Self {
        Self::new()
    }
}

impl RefusalLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self {
            refused: RecentSet::new(RETENTION, MAX_REFUSALS),
            unsent: Vec::new(),
        }
    }

    /// Records a refusal by this gateway.
    pub fn record(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.refused.insert(now, fingerprint);
        self.unsent.push(fingerprint);
    }

    /// Records a refusal that a peer reported.
    pub fn record_remote(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.refused.insert(now, fingerprint);
    }

    /// Returns whether the request was refused recently.
    pub fn is_return(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        self.refused.contains(now, fingerprint)
    }

    /// Returns the number of requests that were refused in the last 8 s, by all gateways.
    pub fn recent_count(&self, now: Timestamp) -> usize {
        self.refused.count(now)
    }

    /// Returns the refusals by this gateway that have not been sent to peers, and marks them as
    /// sent.
    pub fn take_unsent(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.unsent)
    }
}
