//! Attempts that must not run, kept for a bounded time and count.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    codes::{RanState, ResultCode},
    ids::{AttemptNumber, RequestId, Timestamp},
};

/// Why attempts of a request up to a number must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Tombstone {
    /// The newest attempt that it covers.
    pub(crate) attempt: AttemptNumber,
    /// What the gateway was told.
    pub(crate) code: ResultCode,
    /// Whether the request ran here.
    pub(crate) ran: RanState,
}

impl Tombstone {
    /// Whether a submit of this attempt is to be refused.
    ///
    /// What ran here is not started a second time under any attempt; what did not run may come
    /// back as a newer one.
    pub(crate) fn covers(&self, attempt: AttemptNumber) -> bool {
        attempt <= self.attempt || self.ran != RanState::No
    }
}

/// Remembers attempts that must not run.
///
/// Without it, a submit that a silent connection delivers late would start a request whose
/// gateway was told "not run" and has sent it elsewhere. A tombstone outlives every session on
/// which the submit may still be under way, since sessions end seconds after they fall silent.
#[derive(Debug)]
pub(crate) struct TombstoneTable {
    hold: Duration,
    count: usize,
    tombstones: BTreeMap<RequestId, StoredTombstone>,
    order: VecDeque<ExpiryMark>,
    forgotten_early: u64,
}

#[derive(Debug)]
struct StoredTombstone {
    tombstone: Tombstone,
    until: Timestamp,
}

#[derive(Debug)]
struct ExpiryMark {
    until: Timestamp,
    request: RequestId,
}

impl TombstoneTable {
    /// An empty table with its bounds.
    pub(crate) fn new(hold: Duration, count: usize) -> Self {
        Self {
            hold,
            count,
            tombstones: BTreeMap::new(),
            order: VecDeque::new(),
            forgotten_early: 0,
        }
    }

    /// Replaces the bounds.
    pub(crate) fn set_bounds(&mut self, hold: Duration, count: usize) {
        self.hold = hold;
        self.count = count;
        self.trim();
    }

    /// Remembers a request; an older tombstone of it is widened, never narrowed.
    pub(crate) fn insert(&mut self, now: Timestamp, request: RequestId, tombstone: Tombstone) {
        let until = now + self.hold;
        let stored = self
            .tombstones
            .entry(request)
            .or_insert(StoredTombstone { tombstone, until });
        if stored.tombstone.ran == RanState::No {
            stored.tombstone.code = tombstone.code;
            stored.tombstone.ran = tombstone.ran;
        }
        stored.tombstone.attempt = stored.tombstone.attempt.max(tombstone.attempt);
        stored.until = until;
        self.order.push_back(ExpiryMark { until, request });
        self.trim();
    }

    /// The tombstone of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<&Tombstone> {
        self.tombstones
            .get(&request)
            .map(|stored| &stored.tombstone)
    }

    /// Forgets what is past its time.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while self.order.front().is_some_and(|mark| mark.until <= now) {
            self.drop_oldest();
        }
    }

    /// Number of requests remembered.
    pub(crate) fn len(&self) -> usize {
        self.tombstones.len()
    }

    /// Tombstones that the count pushed out before their time.
    pub(crate) fn forgotten_early(&self) -> u64 {
        self.forgotten_early
    }

    fn trim(&mut self) {
        while self.order.len() > self.count {
            if self.drop_oldest() {
                self.forgotten_early += 1;
            }
        }
    }

    /// Drops the oldest mark and, unless a newer mark renewed it, its tombstone.
    fn drop_oldest(&mut self) -> bool {
        let Some(mark) = self.order.pop_front() else {
            return false;
        };
        let current = self
            .tombstones
            .get(&mark.request)
            .map(|stored| stored.until);
        if current != Some(mark.until) {
            return false;
        }
        self.tombstones.remove(&mark.request);
        true
    }
}
