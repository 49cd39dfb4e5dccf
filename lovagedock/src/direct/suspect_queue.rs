//! When peers are told of requests that end processes.

use std::{collections::VecDeque, time::Duration};

use super::{suspect_update::SuspectUpdate, suspects::SuspectLedger};
use crate::ids::Timestamp;

/// Times that each piece of news is told, and the time between them: datagrams are lost.
const SENDS: u8 = 3;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which quarantines are told again, for gateways that started since, and how many of
/// them at once: 250 bytes to each peer in that time.
const QUARANTINE_RESEND_INTERVAL: Duration = Duration::from_secs(5);
const MAX_QUARANTINES_RESENT: usize = 16;

/// News in one message, of about 20 bytes each, so that it fits into a usual packet beside loads.
const MAX_PER_MESSAGE: usize = 24;

/// News that wait at most. Beyond that the oldest go; who lacks one holds less against a request.
const MAX_WAITING: usize = 1024;

/// Chooses which news of a [`SuspectLedger`] the next message carries.
#[derive(Clone, Debug, Default)]
pub struct SuspectQueue {
    waiting: VecDeque<WaitingUpdate>,
    requeued_at: Timestamp,
    requeue_offset: usize,
}

#[derive(Clone, Copy, Debug)]
struct WaitingUpdate {
    update: SuspectUpdate,
    due_at: Timestamp,
    sends_left: u8,
}

impl SuspectQueue {
    /// Nothing to tell yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// News that peers have to be told now.
    pub fn take_due(&mut self, now: Timestamp, ledger: &mut SuspectLedger) -> Vec<SuspectUpdate> {
        for update in ledger.take_unsent() {
            // Each gateway that has served a request says so each time that a peer suspects it.
            if !self.is_waiting(update) {
                self.push(update, now, SENDS);
            }
        }
        if now.saturating_sub(self.requeued_at) >= QUARANTINE_RESEND_INTERVAL {
            self.requeued_at = now;
            self.requeue_quarantines(now, ledger);
        }
        let mut due = Vec::new();
        for _ in 0..self.waiting.len() {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            if waiting.due_at > now || due.len() == MAX_PER_MESSAGE {
                self.waiting.push_back(waiting);
                continue;
            }
            due.push(waiting.update);
            if waiting.sends_left > 1 {
                self.push(
                    waiting.update,
                    now + RESEND_INTERVAL,
                    waiting.sends_left - 1,
                );
            }
        }
        due
    }

    fn requeue_quarantines(&mut self, now: Timestamp, ledger: &SuspectLedger) {
        let count = ledger.quarantines(now).count();
        if count == 0 {
            return;
        }
        let quarantines = ledger.quarantines(now).skip(self.requeue_offset % count);
        for (fingerprint, left) in quarantines.take(MAX_QUARANTINES_RESENT) {
            self.push(SuspectUpdate::Quarantined(fingerprint, left), now, 1);
        }
        self.requeue_offset += MAX_QUARANTINES_RESENT;
    }

    fn is_waiting(&self, update: SuspectUpdate) -> bool {
        self.waiting.iter().any(|waiting| waiting.update == update)
    }

    fn push(&mut self, update: SuspectUpdate, due_at: Timestamp, sends_left: u8) {
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
