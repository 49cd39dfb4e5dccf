//! A request that has passed all checks.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, Method};
use lovagedock::{RequestFingerprint, RequestOutlook, RouteRule, TrafficConfig, prelude::*};
use xxhash_rust::xxh3::Xxh3Default;

use crate::direct::{dialect::CallerHead, request_body::RequestBody};

/// A request that passed all checks.
pub(crate) struct CallParts {
    /// Configuration that the request was checked against.
    pub(crate) config: Arc<TrafficConfig>,
    /// Route that the request matched.
    pub(crate) route: RouteRule,
    /// Service that was picked from the route.
    pub(crate) service: ServiceId,
    /// Organisation that is billed, unless the route needs no key.
    pub(crate) organisation: Option<OrganisationId>,
    /// Rank among waiting requests; 0 goes first.
    pub(crate) priority: u8,
    /// Values from the request headers.
    pub(crate) head: CallerHead,
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// All headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: RequestBody,
    /// When the head of the request was read.
    pub(crate) arrived: Timestamp,
}

impl CallParts {
    /// Returns the time at which the request expires.
    pub(crate) fn deadline(&self) -> Timestamp {
        self.arrived + self.head.time_limit(self.route.timeout)
    }

    /// Returns when the request is expected to end.
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

    /// Hashes what is requested and for which organisation, independent of the id of the attempt.
    /// Keys are left out since an organisation's keys change.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.target.as_bytes());
        hasher.update(self.organisation.as_deref().unwrap_or_default().as_bytes());
        for segment in self.body.segments() {
            hasher.update(segment);
        }
        hasher.digest()
    }
}
