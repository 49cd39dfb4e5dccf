//! Set of recent requests.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::refusals::RequestFingerprint;
use crate::ids::Timestamp;

/// Set of recently inserted requests, bounded by age and number.
#[derive(Clone, Debug)]
pub(super) struct RecentSet {
    retention: Duration,
    capacity: usize,
    times: HashMap<RequestFingerprint, Timestamp>,
    order: VecDeque<(Timestamp, RequestFingerprint)>,
}

impl RecentSet {
    /// Creates an empty set that keeps up to `capacity` requests for `retention`.
    pub(super) fn new(retention: Duration, capacity: usize) -> Self {
        Self {
            retention,
            capacity,
            times: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns whether a request was inserted within the retention time.
    pub(super) fn contains(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let at = self.times.get(&fingerprint);
        at.is_some_and(|at| now.saturating_sub(*at) <= self.retention)
    }

    /// Returns the number of requests that were inserted within the retention time.
    pub(super) fn count(&self, now: Timestamp) -> usize {
        let times = self.times.values();
        times
            .filter(|at| now.saturating_sub(**at) <= self.retention)
            .count()
    }

    /// Returns the latest time at which a request was inserted, if it is remembered.
    pub(super) fn time(&self, fingerprint: RequestFingerprint) -> Option<Timestamp> {
        self.times.get(&fingerprint).copied()
    }

    /// Inserts a request, or renews its time.
    pub(super) fn insert(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.times.insert(fingerprint, now);
        self.order.push_back((now, fingerprint));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_old = now.saturating_sub(at) > self.retention;
            if !is_old && self.order.len() <= self.capacity {
                return;
            }
            self.order.pop_front();
            if self.times.get(&oldest) == Some(&at) {
                self.times.remove(&oldest);
            }
        }
    }
}
