//! Backoff periods that endpoints request from a gateway.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::{decimal::parse_decimal, process::EndpointProcess};
use crate::ids::Timestamp;

/// Upper bound of a requested backoff. Larger values are malformed, so that a misconfigured endpoint is not
/// taken out of service for a day.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);

/// Retry delay in the headers of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The response contains no delay.
    #[default]
    Absent,
    /// The endpoint asks this gateway to send it no requests for this time.
    Delay(Duration),
    /// The value is not a valid delay.
    Malformed,
}

impl RetryAfter {
    /// Parses seconds in decimal notation, without sign or exponent.
    pub fn parse(text: &str) -> Self {
        match parse_decimal(text, MAX_BACKOFF.as_secs_f64()) {
            Some(seconds) => Self::Delay(Duration::from_secs_f64(seconds)),
            None => Self::Malformed,
        }
    }
}

/// Result of recording an endpoint's retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffEvent {
    /// A backoff period was started or extended.
    Extended {
        /// Remaining time until the period ends.
        delay: Duration,
    },
    /// The endpoint sent a malformed delay for the first time.
    Malformed,
}

/// Backoff periods by endpoint process.
#[derive(Clone, Debug, Default)]
pub struct EndpointBackoffs {
    ends: HashMap<EndpointProcess, Timestamp>,
    malformed: HashSet<EndpointProcess>,
}

impl EndpointBackoffs {
    /// Creates an empty set of backoff periods.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the delay in a response that rejected a request, and returns the resulting event, if
    /// any.
    ///
    /// A delay that ends before the current backoff period does not shorten it.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointProcess,
        retry_after: RetryAfter,
    ) -> Option<BackoffEvent> {
        let delay = match retry_after {
            RetryAfter::Absent => return None,
            RetryAfter::Malformed => {
                let is_first = self.malformed.insert(endpoint.clone());
                return is_first.then_some(BackoffEvent::Malformed);
            }
            RetryAfter::Delay(delay) => delay,
        };
        let end = now + delay;
        let current = self.ends.get(endpoint);
        if current.is_some_and(|current| *current >= end) {
            return None;
        }
        self.ends.insert(endpoint.clone(), end);
        Some(BackoffEvent::Extended { delay })
    }

    /// Returns the end of an endpoint's current backoff period, if any.
    pub fn backoff_end(&self, now: Timestamp, endpoint: &EndpointProcess) -> Option<Timestamp> {
        let end = self.ends.get(endpoint).copied();
        end.filter(|end| *end > now)
    }

    /// Removes the backoff periods that have ended and returns their endpoints.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<EndpointProcess> {
        let ended = self.ends.extract_if(|_, end| *end <= now);
        ended.map(|(endpoint, _)| endpoint).collect()
    }

    /// Forgets that endpoints sent malformed delays, for endpoints that are no longer listed.
    /// Backoff periods are kept until they end, since an endpoint may be listed again before that.
    pub fn forget_unlisted_malformed(&mut self, is_listed: impl Fn(&EndpointProcess) -> bool) {
        self.malformed.retain(is_listed);
    }

    /// Removes all state of an endpoint process.
    pub fn forget(&mut self, endpoint: &EndpointProcess) {
        self.ends.remove(endpoint);
        self.malformed.remove(endpoint);
    }
}
