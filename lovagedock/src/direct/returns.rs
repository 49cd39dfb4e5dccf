//! Recognises callers that come back after they were refused.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::ids::Timestamp;

/// Names a request by what it asks, whatever id its attempt has.
pub type RequestFingerprint = u64;

/// How long a refusal is remembered: callers follow advice of up to a third of their time, and the
/// longest deadlines are 15 s.
const MEMORY: Duration = Duration::from_secs(8);

/// Refusals that are remembered at most; a gateway refuses some hundred a second at worst.
const MOST_REFUSALS: usize = 20_000;

/// Requests that were refused lately, here or at a peer.
///
/// The load that it answers: more short requests than slots for many seconds. Who comes back after
/// a refusal is late already. Taken for a new request, he gets the place of one that could be on
/// time, which is then refused and comes back in turn: with a third too many requests, two in five
/// are on time where two in three could be. So who comes back gets what the others leave.
#[derive(Clone, Debug, Default)]
pub struct RefusalLog {
    refused: HashMap<RequestFingerprint, Timestamp>,
    order: VecDeque<(Timestamp, RequestFingerprint)>,
    untold: Vec<RequestFingerprint>,
}

impl RefusalLog {
    /// A log without refusals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a refusal of this gateway.
    pub fn record(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.insert(now, fingerprint);
        self.untold.push(fingerprint);
    }

    /// Records a refusal that a peer told of.
    pub fn hear(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.insert(now, fingerprint);
    }

    /// Whether the request was refused lately.
    pub fn is_return(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let refused = self.refused.get(&fingerprint);
        refused.is_some_and(|at| now.saturating_sub(*at) <= MEMORY)
    }

    /// Refusals of this gateway that peers have not been told of.
    pub fn take_untold(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.untold)
    }

    fn insert(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.refused.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, oldest)) = self.order.front().copied() {
            let expired = now.saturating_sub(at) > MEMORY;
            if !expired && self.order.len() <= MOST_REFUSALS {
                return;
            }
            self.order.pop_front();
            if self.refused.get(&oldest) == Some(&at) {
                self.refused.remove(&oldest);
            }
        }
    }
}
