//! Tombstones for attempts that must not run, limited by time and count.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, RequestId, Timestamp},
};

/// Prevents attempts of a request up to a number from running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tombstone {
    /// The newest attempt covered by the tombstone.
    pub(crate) attempt: AttemptNumber,
    /// Result code reported to the gateway.
    pub(crate) code: ResultCode,
    /// Whether the request ran on this endpoint.
    pub(crate) ran: RanState,
}

impl Tombstone {
    /// Whether a submit of this attempt must be refused.
    ///
    /// A request that ran on this endpoint is not started again by any attempt. A request that did
    /// not run may be submitted again as a newer attempt.
    pub(crate) fn covers(&self, attempt: AttemptNumber) -> bool {
        attempt <= self.attempt || self.ran != RanState::No
    }
}

/// Table of tombstones by request.
///
/// Without tombstones, a submit that an unresponsive connection delivers late would start a request
/// that was reported to its gateway as "not run" and has been sent to another endpoint. A tombstone
/// outlives every session on which the submit may still be in transit, since sessions are closed
/// seconds after they stop responding.
#[derive(Debug)]
pub(crate) struct TombstoneTable {
    retention: Duration,
    max_count: usize,
    tombstones: BTreeMap<RequestId, StoredTombstone>,
    order: VecDeque<ExpiryMark>,
    forgotten_early: u64,
}

#[derive(Debug)]
struct StoredTombstone {
    tombstone: Tombstone,
    expires_at: Timestamp,
}

#[derive(Debug)]
struct ExpiryMark {
    expires_at: Timestamp,
    request: RequestId,
}

impl TombstoneTable {
    /// Creates an empty table with these bounds.
    pub(crate) fn new(retention: Duration, max_count: usize) -> Self {
        Self {
            retention,
            max_count,
            tombstones: BTreeMap::new(),
            order: VecDeque::new(),
            forgotten_early: 0,
        }
    }

    /// Replaces the bounds.
    pub(crate) fn set_bounds(&mut self, retention: Duration, max_count: usize) {
        self.retention = retention;
        self.max_count = max_count;
        self.trim();
    }

    /// Adds a tombstone. An existing tombstone of the request is extended and never narrowed.
    pub(crate) fn insert(&mut self, now: Timestamp, request: RequestId, tombstone: Tombstone) {
        let expires_at = now + self.retention;
        let stored = self.tombstones.entry(request).or_insert(StoredTombstone {
            tombstone,
            expires_at,
        });
        if stored.tombstone.ran == RanState::No {
            stored.tombstone.code = tombstone.code;
            stored.tombstone.ran = tombstone.ran;
        }
        stored.tombstone.attempt = stored.tombstone.attempt.max(tombstone.attempt);
        stored.expires_at = expires_at;
        self.order.push_back(ExpiryMark {
            expires_at,
            request,
        });
        self.trim();
    }

    /// Returns the tombstone of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Tombstone> {
        self.tombstones
            .get(&request)
            .map(|stored| &stored.tombstone)
    }

    /// Removes expired tombstones.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self
            .order
            .front()
            .is_some_and(|mark| mark.expires_at <= now)
        {
            self.drop_oldest();
        }
    }

    /// Returns the number of tombstones.
    pub(crate) fn len(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns the number of tombstones removed before their expiry because of the limit on their
    /// count.
    pub(crate) fn forgotten_early(&self) -> u64 {
        self.forgotten_early
    }

    fn trim(&mut self) {
        while self.order.len() > self.max_count {
            if self.drop_oldest() {
                self.forgotten_early += 1;
            }
        }
    }

    /// Removes the oldest expiry mark. Also removes its tombstone unless a newer mark renewed it.
    fn drop_oldest(&mut self) -> bool {
        let Some(mark) = self.order.pop_front() else {
            return false;
        };
        let current = self
            .tombstones
            .get(&mark.request)
            .map(|stored| stored.expires_at);
        if current != Some(mark.expires_at) {
            return false;
        }
        self.tombstones.remove(&mark.request);
        true
    }
}
