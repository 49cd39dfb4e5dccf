//! What a request brings.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use lovagedock::{RequestFingerprint, RouteRule, TrafficConfig, prelude::*};
use xxhash_rust::xxh3::Xxh3Default;

use crate::direct::dialect::CallerHead;

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
    /// What the request asks and for whom, whatever id its attempt has. An organisation's keys change.
    pub(super) fn fingerprint(&self) -> RequestFingerprint {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.target.as_bytes());
        hasher.update(self.organisation.as_deref().unwrap_or_default().as_bytes());
        hasher.update(&self.body);
        hasher.digest()
    }
}
