//! When peers are told of requests that end processes.

use std::{collections::VecDeque, time::Duration};

use super::{suspect_update::SuspectUpdate, suspects::SuspectLedger};
use crate::ids::Timestamp;

/// Times that each piece of news is told, and the time between them: datagrams are lost.
const TIMES_TOLD: u8 = 3;
const REPEAT_TIME: Duration = Duration::from_millis(400);

/// Time after which quarantines are told again, for gateways that started since, and how many of
/// them at once: 250 bytes to each peer in that time.
const RETELL_TIME: Duration = Duration::from_secs(5);
const MAX_RETOLD: usize = 16;

/// News in one message, of about 20 bytes each, so that it fits into a usual packet beside loads.
const MAX_AT_ONCE: usize = 24;

/// News that wait at most. Beyond that the oldest go; who lacks one holds less against a request.
const MAX_WAITING: usize = 1024;

/// Chooses which news of a [`SuspectLedger`] the next message carries.
#[derive(Clone, Debug, Default)]
pub struct SuspectQueue {
    waiting: VecDeque<WaitingNews>,
    retold_at: Timestamp,
    retold: usize,
}

#[derive(Clone, Copy, Debug)]
struct WaitingNews {
    news: SuspectUpdate,
    due_at: Timestamp,
    times_left: u8,
}

impl SuspectQueue {
    /// Nothing to tell yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// News that peers have to be told now.
    pub fn take_due(&mut self, now: Timestamp, ledger: &mut SuspectLedger) -> Vec<SuspectUpdate> {
        for news in ledger.take_unsent() {
            // Each gateway that has served a request says so each time that a peer suspects it.
            if !self.is_waiting(news) {
                self.push(news, now, TIMES_TOLD);
            }
        }
        if now.saturating_sub(self.retold_at) >= RETELL_TIME {
            self.retold_at = now;
            self.retell(now, ledger);
        }
        let mut told = Vec::new();
        for _ in 0..self.waiting.len() {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            if waiting.due_at > now || told.len() == MAX_AT_ONCE {
                self.waiting.push_back(waiting);
                continue;
            }
            told.push(waiting.news);
            if waiting.times_left > 1 {
                self.push(waiting.news, now + REPEAT_TIME, waiting.times_left - 1);
            }
        }
        told
    }

    fn retell(&mut self, now: Timestamp, ledger: &SuspectLedger) {
        let count = ledger.quarantines(now).count();
        if count == 0 {
            return;
        }
        let quarantines = ledger.quarantines(now).skip(self.retold % count);
        for (fingerprint, left) in quarantines.take(MAX_RETOLD) {
            self.push(SuspectUpdate::Quarantined(fingerprint, left), now, 1);
        }
        self.retold += MAX_RETOLD;
    }

    fn is_waiting(&self, news: SuspectUpdate) -> bool {
        self.waiting.iter().any(|waiting| waiting.news == news)
    }

    fn push(&mut self, news: SuspectUpdate, due_at: Timestamp, times_left: u8) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(WaitingNews {
            news,
            due_at,
            times_left,
        });
    }
}
