//! Queue of updates that are sent to peers several times.

use std::{collections::VecDeque, time::Duration};

use crate::ids::Timestamp;

/// Number of times that each update is sent, since datagrams may be lost, and the time between two
/// sends.
const SENDS: u8 = 3;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum length of the queue. Beyond that the oldest updates are dropped; a peer that misses one
/// has less evidence.
const MAX_WAITING: usize = 1024;

/// Updates that wait for their next send.
#[derive(Clone, Debug)]
pub(super) struct ResendQueue<U> {
    waiting: VecDeque<WaitingUpdate<U>>,
}

#[derive(Clone, Debug)]
struct WaitingUpdate<U> {
    update: U,
    due_at: Timestamp,
    sends_left: u8,
}

impl<U> Default for ResendQueue<U> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<U: Clone + PartialEq> ResendQueue<U> {
    /// Adds an update that is sent several times, unless the same one waits already.
    pub(super) fn push(&mut self, now: Timestamp, update: U) {
        if !self.waiting.iter().any(|waiting| waiting.update == update) {
            self.enqueue(update, now, SENDS);
        }
    }

    /// Adds an update that is sent once.
    pub(super) fn push_once(&mut self, now: Timestamp, update: U) {
        self.enqueue(update, now, 1);
    }

    /// Returns the updates that are due, `max_count` at most.
    pub(super) fn take_due(&mut self, now: Timestamp, max_count: usize) -> Vec<U> {
        let mut due = Vec::new();
        for _ in 0..self.waiting.len() {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            if waiting.due_at > now || due.len() == max_count {
                self.waiting.push_back(waiting);
                continue;
            }
            due.push(waiting.update.clone());
            if waiting.sends_left > 1 {
                let due_at = now + RESEND_INTERVAL;
                self.enqueue(waiting.update, due_at, waiting.sends_left - 1);
            }
        }
        due
    }

    fn enqueue(&mut self, update: U, due_at: Timestamp, sends_left: u8) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(WaitingUpdate {
            update,
            due_at,
            sends_left,
        });
    }
}
