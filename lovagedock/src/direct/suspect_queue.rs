//! Queue of updates about requests that end processes, to be sent to peers.

use std::{collections::VecDeque, time::Duration};

use super::{suspect_update::SuspectUpdate, suspects::SuspectLedger};
use crate::ids::Timestamp;

/// Number of times that each update is sent, since datagrams may be lost, and the time between two
/// sends.
const SENDS: u8 = 3;
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Interval at which quarantines are sent again, for gateways that started since, and the maximum
/// number sent per interval: 250 bytes to each peer.
const QUARANTINE_RESEND_INTERVAL: Duration = Duration::from_secs(5);
const MAX_QUARANTINES_RESENT: usize = 16;

/// Maximum number of updates per message. At about 20 bytes each, they fit into one packet with the
/// loads.
const MAX_PER_MESSAGE: usize = 24;

/// Maximum length of the queue. Beyond that the oldest updates are dropped; a peer that misses one
/// has less evidence against a request.
const MAX_WAITING: usize = 1024;

/// Selects the updates of a [`SuspectLedger`] for the next message.
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
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the updates that are due to be sent to peers.
    pub fn take_due(&mut self, now: Timestamp, ledger: &mut SuspectLedger) -> Vec<SuspectUpdate> {
        for update in ledger.take_unsent() {
            // A gateway that has served a request reports this whenever a peer sends evidence
            // against the request, so the same update may be queued already.
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
