//! Completed answers that a gateway may still resume.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::{
    ids::{RequestId, Timestamp},
    outcome::{AnswerEnd, AttemptKey},
};

/// An answer that has ended and that the daemon still retains.
#[derive(Clone, Debug)]
pub(crate) struct EndedAnswer {
    /// The newest attempt that received the answer.
    pub(crate) key: AttemptKey,
    /// The end of the answer.
    pub(crate) end: AnswerEnd,
    expires_at: Timestamp,
}

/// Retains ended answers, limited by time, count and number of bytes.
#[derive(Debug)]
pub(crate) struct AnswerTable {
    retention: Duration,
    max_count: usize,
    max_bytes: u64,
    retained_bytes: u64,
    answers: BTreeMap<RequestId, EndedAnswer>,
    order: VecDeque<RequestId>,
}

impl AnswerTable {
    /// Creates an empty table with these bounds.
    pub(crate) fn new(retention: Duration, max_count: usize, max_bytes: u64) -> Self {
        Self {
            retention,
            max_count,
            max_bytes,
            retained_bytes: 0,
            answers: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Replaces the bounds. Answers beyond them are removed by the next expiry.
    pub(crate) fn set_bounds(&mut self, retention: Duration, max_count: usize, max_bytes: u64) {
        self.retention = retention;
        self.max_count = max_count;
        self.max_bytes = max_bytes;
    }

    /// Adds an answer. Each request ends only once.
    pub(crate) fn insert(&mut self, now: Timestamp, key: AttemptKey, end: AnswerEnd) {
        self.retained_bytes += end.length;
        let expires_at = now + self.retention;
        let answer = EndedAnswer {
            key,
            end,
            expires_at,
        };
        self.answers.insert(key.request, answer);
        self.order.push_back(key.request);
    }

    /// Returns the answer of a request.
    pub(crate) fn get(&self, request: RequestId) -> Option<&EndedAnswer> {
        self.answers.get(&request)
    }

    /// Makes a newer attempt the receiver of the answer.
    pub(crate) fn attach(&mut self, key: AttemptKey) {
        if let Some(answer) = self.answers.get_mut(&key.request) {
            answer.key = key;
        }
    }

    /// Removes and returns the answers that are expired or beyond the bounds, oldest first.
    pub(crate) fn expire(&mut self, now: Timestamp) -> Vec<EndedAnswer> {
        let mut expired = Vec::new();
        while self.oldest_is_due(now) {
            let Some(request) = self.order.pop_front() else {
                break;
            };
            if let Some(answer) = self.answers.remove(&request) {
                self.retained_bytes -= answer.end.length;
                expired.push(answer);
            }
        }
        expired
    }

    /// Returns the time at which the oldest answer expires.
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        let oldest = self.order.front()?;
        self.answers.get(oldest).map(|answer| answer.expires_at)
    }

    /// Returns the number of retained answers.
    pub(crate) fn len(&self) -> usize {
        self.answers.len()
    }

    fn oldest_is_due(&self, now: Timestamp) -> bool {
        let over_bounds =
            self.answers.len() > self.max_count || self.retained_bytes > self.max_bytes;
        over_bounds || self.next_due().is_some_and(|due| due <= now)
    }
}
