//! Queue of requests that wait at a gateway while endpoints are full.

use std::{collections::BTreeMap, time::Duration};

use super::rate::EventRate;
use crate::ids::Timestamp;

/// Requests that share a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// Short prompts and plain requests.
    Short,
    /// Long prompts. They have a queue of their own, so that one that waits for a better choice
    /// does not block short requests that could be placed.
    Long,
    /// Short requests that were refused before and are late already.
    Returned,
    /// Long prompts that were refused before and are late already.
    ReturnedLong,
}

impl QueueKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Short, Self::Long, Self::Returned, Self::ReturnedLong];

    /// Returns the queue of a request.
    pub fn new(is_long: bool, is_return: bool) -> Self {
        match (is_long, is_return) {
            (false, false) => Self::Short,
            (true, false) => Self::Long,
            (false, true) => Self::Returned,
            (true, true) => Self::ReturnedLong,
        }
    }

    /// Returns whether the requests were refused before.
    pub fn is_return(self) -> bool {
        matches!(self, Self::Returned | Self::ReturnedLong)
    }

    /// Returns whether the requests have long prompts.
    pub fn is_long(self) -> bool {
        matches!(self, Self::Long | Self::ReturnedLong)
    }

    /// Returns the bounds of this queue.
    pub fn settings(self) -> QueueSettings {
        let defaults = QueueSettings::default();
        match self {
            Self::Short => defaults,
            Self::Long => QueueSettings {
                min_rate: 4.0,
                ..defaults
            },
            Self::Returned => QueueSettings {
                objective_share: 1.0,
                min_rate: 20.0,
                ..defaults
            },
            // With a longer waiting time, few of these requests were placed, and the others were
            // refused seconds later.
            Self::ReturnedLong => QueueSettings {
                objective_share: 0.25,
                min_rate: 4.0,
                ..defaults
            },
        }
    }
}

/// Bounds of a waiting queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Share of its objective that a request may wait. The rest is for prefilling the prompt.
    pub objective_share: f64,
    /// Minimum assumed rate of starts, per second. A queue in which no request has started yet
    /// gives no estimate of its rate.
    pub min_rate: f64,
    /// Minimum retry delay.
    pub min_retry_after: Duration,
    /// Share of the remaining time above which callers no longer follow the retry delay.
    pub max_retry_share: f64,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            objective_share: 0.4,
            min_rate: 1.0,
            min_retry_after: Duration::from_millis(700),
            max_retry_share: 0.3,
        }
    }
}

/// Whether a request may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request waits, and is refused if it is not placed by then.
    Wait {
        /// End of the waiting time.
        until: Timestamp,
    },
    /// The request is refused at once, because its first event would be late by the time it is
    /// placed.
    Refuse {
        /// Recommended delay before a retry.
        retry_after: Duration,
    },
}

/// Requests of one service that wait at this gateway to be placed.
///
/// If more short requests arrive per second than engines have slots for, an engine that queues them
/// serves each of them too late, although it refuses none. So this queue is only as long as
/// requests in it still get their first event in time. The others are refused at once with a retry
/// delay.
#[derive(Clone, Debug)]
pub struct WaitingQueue {
    settings: QueueSettings,
    waiting: BTreeMap<(Timestamp, u64), ()>,
    next_ticket: u64,
    /// Rate of started requests.
    starts: EventRate,
}

/// Averaging window of the rate of starts: about the time for which a response occupies a slot.
const RATE_WINDOW: Duration = Duration::from_secs(2);

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            next_ticket: 0,
            starts: EventRate::new(RATE_WINDOW),
        }
    }

    /// Decides whether a request that cannot be placed now may wait. Its first event is late from
    /// `late_at` on. `expected` is the wait that is expected for it if the flow over all gateways is
    /// known; otherwise the queue estimates it from its own starts.
    pub fn decide(
        &mut self,
        now: Timestamp,
        late_at: Timestamp,
        time_left: Duration,
        expected: Option<Duration>,
        jitter: f64,
    ) -> QueueDecision {
        let objective_left = late_at.saturating_sub(now);
        let max_wait = objective_left.mul_f64(self.settings.objective_share);
        let expected = expected.unwrap_or_else(|| self.own_wait(now));
        if expected > max_wait {
            let retry_after = self.retry_after(expected, time_left, jitter);
            return QueueDecision::Refuse { retry_after };
        }
        QueueDecision::Wait {
            until: now + max_wait,
        }
    }

    fn own_wait(&self, now: Timestamp) -> Duration {
        let rate = self.starts.per_second_at(now).max(self.settings.min_rate);
        let ahead = self.waiting.len() as f64;
        Duration::from_secs_f64(ahead / rate)
    }

    /// Returns the retry delay for a request that could not be served.
    ///
    /// Requests refused at the same moment must not be retried at the same moment, so delays are
    /// spread between the minimum and the longest that callers follow.
    pub fn retry_after(&self, expected: Duration, time_left: Duration, jitter: f64) -> Duration {
        let longest = time_left.mul_f64(self.settings.max_retry_share);
        let shortest = self.settings.min_retry_after.max(expected).min(longest);
        shortest + (longest - shortest).mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Adds a request and returns its ticket.
    pub fn enqueue(&mut self, late_at: Timestamp) -> (Timestamp, u64) {
        let ticket = (late_at, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, ());
        ticket
    }

    /// Removes a request that was placed, refused or cancelled.
    pub fn remove(&mut self, ticket: &(Timestamp, u64)) {
        self.waiting.remove(ticket);
    }

    /// Returns whether a ticket is the next one to be served.
    pub fn is_first(&self, ticket: &(Timestamp, u64)) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, ())| first == ticket)
    }

    /// Records that a request was placed.
    pub fn record_start(&mut self, now: Timestamp) {
        self.starts.record(now);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
