//! Queue of updates about requests that end processes, to be sent to peers.

use std::time::Duration;

use super::{resend_queue::ResendQueue, suspect_update::SuspectUpdate, suspects::SuspectLedger};
use crate::ids::Timestamp;

/// Interval at which quarantines are sent again, for gateways that started since, and the maximum
/// number sent per interval: 250 bytes to each peer.
const QUARANTINE_RESEND_INTERVAL: Duration = Duration::from_secs(5);
const MAX_QUARANTINES_RESENT: usize = 16;

/// Maximum number of updates per message. At about 20 bytes each, they fit into one packet with the
/// loads.
const MAX_PER_MESSAGE: usize = 24;

/// Selects the updates of a [`SuspectLedger`] for the next message.
#[derive(Clone, Debug, Default)]
pub struct SuspectQueue {
    waiting: ResendQueue<SuspectUpdate>,
    requeued_at: Timestamp,
    requeue_offset: usize,
}

impl SuspectQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the updates that are due to be sent to peers.
    pub fn take_due(&mut self, now: Timestamp, ledger: &mut SuspectLedger) -> Vec<SuspectUpdate> {
        for update in ledger.take_unsent() {
            self.waiting.push(now, update);
        }
        if now.saturating_sub(self.requeued_at) >= QUARANTINE_RESEND_INTERVAL {
            self.requeued_at = now;
            self.requeue_quarantines(now, ledger);
        }
        let mut due = self.waiting.take_due(now, MAX_PER_MESSAGE);
        due.retain(|update| !ledger.is_outdated(now, update));
        due
    }

    fn requeue_quarantines(&mut self, now: Timestamp, ledger: &SuspectLedger) {
        let count = ledger.quarantines(now).count();
        if count == 0 {
            return;
        }
        let quarantines = ledger.quarantines(now).skip(self.requeue_offset % count);
        for (fingerprint, left) in quarantines.take(MAX_QUARANTINES_RESENT) {
            let update = SuspectUpdate::Quarantined(fingerprint, left);
            self.waiting.push_once(now, update);
        }
        self.requeue_offset += MAX_QUARANTINES_RESENT;
    }
}
