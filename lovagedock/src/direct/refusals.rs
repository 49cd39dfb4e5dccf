//! Recognises callers that come back after they were refused.

use std::time::Duration;

use super::recent::RecentSet;
use crate::ids::Timestamp;

/// Names a request by what it asks, whatever id its attempt has.
pub type RequestFingerprint = u64;

/// A fingerprint as logs and dumps show it.
pub fn format_fingerprint(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// How long a refusal is remembered: callers follow advice of up to a third of their time, and the
/// longest deadlines are 15 s.
const RETENTION: Duration = Duration::from_secs(8);

/// Refusals that are remembered at most; a gateway refuses some hundred a second at worst.
const MAX_REFUSALS: usize = 20_000;

/// Requests that were refused lately, here or at a peer.
///
/// The load that it answers: more short requests than slots for many seconds. Who comes back after
/// a refusal is late already. Taken for a new request, he gets the place of one that could be on
/// time, which is then refused and comes back in turn: with a third too many requests, two in five
/// are on time where two in three could be. So who comes back gets what the others leave.
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
    /// A log without refusals.
    pub fn new() -> Self {
        Self {
            refused: RecentSet::new(RETENTION, MAX_REFUSALS),
            unsent: Vec::new(),
        }
    }

    /// Records a refusal of this gateway.
    pub fn record(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.refused.insert(now, fingerprint);
        self.unsent.push(fingerprint);
    }

    /// Records a refusal that a peer told of.
    pub fn record_remote(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.refused.insert(now, fingerprint);
    }

    /// Whether the request was refused lately.
    pub fn is_return(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        self.refused.contains(now, fingerprint)
    }

    /// Refusals of this gateway that peers have not been told of.
    pub fn take_unsent(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.unsent)
    }
}
