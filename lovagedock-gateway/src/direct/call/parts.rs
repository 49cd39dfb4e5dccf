//! What a request brings.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use lovagedock::{RequestFingerprint, RequestOutlook, RouteRule, TrafficConfig, prelude::*};
use xxhash_rust::xxh3::Xxh3Default;

use crate::direct::dialect::CallerHead;

/// Time before the caller's deadline at which we answer, so that the answer arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// Longest time from a request to its answer when neither caller nor route say one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request that passed all checks.
pub(crate) struct CallParts {
    /// Configuration that it was checked against.
    pub(crate) config: Arc<TrafficConfig>,
    /// Its route.
    pub(crate) route: RouteRule,
    /// Its service.
    pub(crate) service: ServiceId,
    /// Organisation that pays, unless callers need no key.
    pub(crate) organisation: Option<OrganisationId>,
    /// Rank among requests that wait; 0 goes first.
    pub(crate) priority: u8,
    /// What its headers say.
    pub(crate) head: CallerHead,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// All headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
    /// When its head had been read.
    pub(crate) arrived: Timestamp,
}

impl CallParts {
    /// When its time is over.
    pub(crate) fn deadline(&self) -> Timestamp {
        let wanted = self.head.deadline.unwrap_or(DEFAULT_DEADLINE);
        let allowed = wanted.saturating_sub(RESPONSE_MARGIN);
        self.arrived + allowed.min(self.route.timeout)
    }

    /// When it ends, as far as that is known.
    pub(crate) fn outlook(&self) -> RequestOutlook {
        RequestOutlook {
            deadline: self.deadline(),
            expected: self.expected_stream_time(),
        }
    }

    fn expected_stream_time(&self) -> Duration {
        let route = &self.route;
        let service = self.config.services.get(&self.service);
        let Some(service) = service.filter(|_| route.mode.is_stream()) else {
            return Duration::ZERO;
        };
        let (head, objective) = (&self.head, route.objective);
        service.expected_time(
            objective,
            head.prompt,
            head.expected_answer(),
            head.answer_limit,
        )
    }

    /// What the request asks and for whom, whatever id its attempt has. An organisation's keys change.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.target.as_bytes());
        hasher.update(self.organisation.as_deref().unwrap_or_default().as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }
}
