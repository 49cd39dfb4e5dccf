//! Queue of leaving endpoints to be sent to peers.

use std::{collections::VecDeque, time::Duration};

use super::process::EndpointProcess;
use crate::ids::Timestamp;

/// Number of times that each process is sent to peers, since messages may be lost.
const SENDS: u8 = 3;

/// Minimum time between two sends of a process.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of processes per message. At about 20 bytes each, they fit into one packet with
/// the loads.
const MAX_PER_MESSAGE: usize = 16;

/// Maximum length of the queue. Beyond that the oldest processes are dropped; peers learn of them
/// from the endpoints themselves.
const MAX_WAITING: usize = 1024;

/// Queue of processes that announced to this gateway that they are leaving, to be sent to peers.
#[derive(Clone, Debug, Default)]
pub struct LeavingQueue {
    waiting: VecDeque<WaitingProcess>,
}

#[derive(Clone, Debug)]
struct WaitingProcess {
    process: EndpointProcess,
    due_at: Timestamp,
    sends_left: u8,
}

impl LeavingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a process, due to be sent at once.
    pub fn push(&mut self, now: Timestamp, process: EndpointProcess) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(WaitingProcess {
            process,
            due_at: now,
            sends_left: SENDS,
        });
    }

    /// Returns the processes that are due to be sent to peers.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<EndpointProcess> {
        let due = self
            .waiting
            .iter_mut()
            .filter(|waiting| waiting.due_at <= now);
        let due = due.take(MAX_PER_MESSAGE).map(|waiting| {
            waiting.sends_left -= 1;
            waiting.due_at = now + RESEND_INTERVAL;
            waiting.process.clone()
        });
        let due = due.collect();
        self.waiting.retain(|waiting| waiting.sends_left > 0);
        due
    }
}
