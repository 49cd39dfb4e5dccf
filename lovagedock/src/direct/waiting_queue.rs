//! Who waits at a gateway while endpoints are full, and who is refused at once.

use std::{collections::BTreeMap, time::Duration};

use super::rate::EventRate;
use crate::ids::Timestamp;

/// What the requests of a line have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// Short prompts and plain requests.
    Short,
    /// Long prompts. One that waits for a better place must not hold up short ones that have one.
    Long,
    /// Short ones that were refused before and are late already.
    Returned,
    /// Long ones that were refused before and are late already.
    ReturnedLong,
}

impl QueueKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Short, Self::Long, Self::Returned, Self::ReturnedLong];

    /// The line of a request.
    pub fn new(is_long: bool, is_return: bool) -> Self {
        match (is_long, is_return) {
            (false, false) => Self::Short,
            (true, false) => Self::Long,
            (false, true) => Self::Returned,
            (true, true) => Self::ReturnedLong,
        }
    }

    /// Whether its requests were refused before.
    pub fn is_return(self) -> bool {
        matches!(self, Self::Returned | Self::ReturnedLong)
    }

    /// Whether its requests have long prompts.
    pub fn is_long(self) -> bool {
        matches!(self, Self::Long | Self::ReturnedLong)
    }

    /// Bounds of its line.
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
            // Held for longer, few found a place, and the others lost seconds of their time.
            Self::ReturnedLong => QueueSettings {
                objective_share: 0.25,
                min_rate: 4.0,
                ..defaults
            },
        }
    }
}

/// Bounds of a waiting line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Part of its objective that a request may wait. The rest is for reading the prompt.
    pub objective_share: f64,
    /// Starts a second that are counted on while fewer were seen; a line in which nothing moved
    /// yet says nothing about how fast it will.
    pub min_rate: f64,
    /// Shortest advice to come back.
    pub min_retry_after: Duration,
    /// Part of the time left after which callers no longer follow the advice.
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

/// Whether a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// Until this time at the latest; it is then refused.
    Wait {
        /// When it gives up.
        until: Timestamp,
    },
    /// Not at all: by the time it got a place it would be late.
    Refuse {
        /// When it is worth another try.
        retry_after: Duration,
    },
}

/// Requests of one service that wait at this gateway for a place.
///
/// The load that it answers: more short requests a second than engines have slots for. An engine
/// that queues them serves each too late for its caller, though none is refused. The line is as
/// long as what still gets its first event in time; the others are told at once to come back.
#[derive(Clone, Debug)]
pub struct WaitingQueue {
    settings: QueueSettings,
    waiting: BTreeMap<(Timestamp, u64), ()>,
    next_ticket: u64,
    /// Requests started a second.
    starts: EventRate,
}

/// Memory of the rate of starts: about as long as an answer holds a slot.
const RATE_WINDOW: Duration = Duration::from_secs(2);

impl WaitingQueue {
    /// An empty line.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            waiting: BTreeMap::new(),
            next_ticket: 0,
            starts: EventRate::new(RATE_WINDOW),
        }
    }

    /// Decides about a request that finds no place; `late_at` is when its first event is late.
    pub fn decide(
        &mut self,
        now: Timestamp,
        late_at: Timestamp,
        time_left: Duration,
        jitter: f64,
    ) -> QueueDecision {
        let objective_left = late_at.saturating_sub(now);
        let max_wait = objective_left.mul_f64(self.settings.objective_share);
        let rate = self.starts.per_second_at(now).max(self.settings.min_rate);
        let ahead = self.waiting.len() as f64;
        let expected = Duration::from_secs_f64(ahead / rate);
        if expected > max_wait {
            let retry_after = self.retry_after(expected, time_left, jitter);
            return QueueDecision::Refuse { retry_after };
        }
        QueueDecision::Wait {
            until: now + max_wait,
        }
    }

    /// Advice for a request that could not be served.
    ///
    /// Requests refused in the same moment must not come back in the same moment: the advice is
    /// spread from the least to the longest that callers follow.
    pub fn retry_after(&self, expected: Duration, time_left: Duration, jitter: f64) -> Duration {
        let longest = time_left.mul_f64(self.settings.max_retry_share);
        let least = self.settings.min_retry_after.max(expected).min(longest);
        least + (longest - least).mul_f64(jitter.clamp(0.0, 1.0))
    }

    /// Adds a request that waits; returns its ticket.
    pub fn enqueue(&mut self, late_at: Timestamp) -> (Timestamp, u64) {
        let ticket = (late_at, self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert(ticket, ());
        ticket
    }

    /// Removes a request that was placed, refused or left.
    pub fn remove(&mut self, ticket: &(Timestamp, u64)) {
        self.waiting.remove(ticket);
    }

    /// Whether a ticket is the next one to be served.
    pub fn is_first(&self, ticket: &(Timestamp, u64)) -> bool {
        self.waiting
            .first_key_value()
            .is_some_and(|(first, ())| first == ticket)
    }

    /// Records that a request was placed.
    pub fn record_start(&mut self, now: Timestamp) {
        self.starts.record(now);
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
