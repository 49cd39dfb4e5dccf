//! Request rate limits that endpoints advertise to gateways.

use std::collections::{BTreeMap, HashSet};

use super::life::EndpointLife;
use crate::ids::Timestamp;

/// Requests per second.
pub type RequestRate = f64;

/// Upper bound of an advertised rate. Larger values are malformed.
const MAX_RATE: RequestRate = 1e6;

/// Rate limit in the head of an endpoint's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AdvertisedLimit {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// Maximum rate across all gateways.
    Limited(RequestRate),
    /// The value is not a valid rate. The previous limit is kept.
    Malformed,
}

impl AdvertisedLimit {
    /// Parses a rate in decimal notation, without sign or exponent.
    pub fn parse(text: &str) -> Self {
        let is_plain = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse::<RequestRate>() {
            Ok(rate) if is_plain && rate <= MAX_RATE => Self::Limited(rate),
            _ => Self::Malformed,
        }
    }
}

/// Result of recording an endpoint's advertised limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateLimitEvent {
    /// The limit was set, changed or removed.
    Changed {
        /// The previous limit.
        before: Option<RequestRate>,
        /// The new limit.
        rate: Option<RequestRate>,
    },
    /// The endpoint sent a malformed limit for the first time.
    Malformed,
}

/// Current rate limits by endpoint process.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointLife, RateLimitRecord>,
    malformed: HashSet<EndpointLife>,
}

#[derive(Clone, Copy, Debug)]
struct RateLimitRecord {
    rate: RequestRate,
    received_at: Timestamp,
}

impl RateLimits {
    /// Creates an empty set of limits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the limit in an answer to a request that was sent at `sent_at`, and returns the
    /// resulting event, if any.
    ///
    /// An answer without a limit does not remove one that was received after the request was sent.
    pub fn record(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointLife,
        sent_at: Timestamp,
        advertised: AdvertisedLimit,
    ) -> Option<RateLimitEvent> {
        let before = self.limits.get(endpoint).copied();
        let rate = match advertised {
            AdvertisedLimit::Malformed => {
                let is_first = self.malformed.insert(endpoint.clone());
                return is_first.then_some(RateLimitEvent::Malformed);
            }
            AdvertisedLimit::Limited(rate) => Some(rate),
            AdvertisedLimit::Unlimited => {
                before.filter(|before| sent_at >= before.received_at)?;
                None
            }
        };
        match rate {
            Some(rate) => {
                let received_at = now;
                self.limits
                    .insert(endpoint.clone(), RateLimitRecord { rate, received_at });
            }
            None => {
                self.limits.remove(endpoint);
            }
        }
        let before = before.map(|before| before.rate);
        (before != rate).then_some(RateLimitEvent::Changed { before, rate })
    }

    /// Removes all state of an endpoint process.
    pub fn forget(&mut self, endpoint: &EndpointLife) {
        self.limits.remove(endpoint);
        self.malformed.remove(endpoint);
    }

    /// Returns the endpoints that have a limit, with their rates.
    pub fn limited(&self) -> impl Iterator<Item = (&EndpointLife, RequestRate)> {
        self.limits
            .iter()
            .map(|(endpoint, limit)| (endpoint, limit.rate))
    }
}
