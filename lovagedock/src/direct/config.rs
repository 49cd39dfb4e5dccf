//! Routes, services and API keys that operators declare for direct endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{cold_endpoints::ColdProfile, engine::EngineProfile};
use crate::ids::{Generation, OrganisationId, ServiceId};

/// A complete configuration. A configuration with a higher version replaces it entirely.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficConfig {
    /// Increases with each configuration, not necessarily by one.
    pub version: Generation,
    /// Routes by lower-case host name, longest path prefix first.
    routes: HashMap<String, Vec<RouteRule>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceProfile>,
    /// Limits that apply to callers.
    pub bounds: CallerBounds,
    /// Organisation and optional priority of each API key, or `None` if keys are not used.
    keys: Option<HashMap<String, KeyHolder>>,
}

/// Organisation to which a key belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeyHolder {
    organisation: OrganisationId,
    priority: Option<u8>,
}

/// Rule for requests with one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name in logs and metrics.
    pub name: String,
    /// Host name in lower case.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub path_prefix: String,
    /// Response type, and whether requests may be repeated.
    pub mode: RouteMode,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Expected time to the complete response, or to the first event of a stream.
    pub objective: Duration,
    /// Longest gap between events of a stream that callers expect.
    pub gap_objective: Option<Duration>,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services among which the requests are distributed.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints to which one request may be sent.
    pub attempts: u32,
    /// Whether the route needs no API key.
    pub public: bool,
}

/// Target service of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Response type of a request, and whether the request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteMode {
    /// A single response; the request may run several times.
    Idempotent,
    /// A single response; the request runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another endpoint may continue the stream after its last event.
        resumable: bool,
    },
}

impl RouteMode {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Declared properties of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceProfile {
    /// Id of the service.
    pub id: ServiceId,
    /// Maximum number of connections to each endpoint from all callers together.
    pub max_connections: u32,
    /// Speed and memory of the service's engines, or `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// What endpoints tolerate after their start, or `None` if they need no protection.
    pub cold: Option<ColdProfile>,
}

/// Limits that apply to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum time from the first byte of a request's head to its last.
    pub header_timeout: Duration,
}

impl Default for CallerBounds {
    /// Returns the limits that apply until a configuration sets others.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
            max_header_bytes: 16 << 10,
            header_timeout: Duration::from_secs(3),
        }
    }
}

/// Result of a route lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The route of the request.
    Found(&'a RouteRule),
    /// No route matches the host and path.
    Unknown,
}

impl TrafficConfig {
    /// Creates a configuration without routes.
    pub fn new(version: Generation) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: RouteRule) -> Self {
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.push(route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServiceProfile) -> Self {
        self.services.insert(service.id.clone(), service);
        self
    }

    /// Sets the limits that apply to callers.
    pub fn with_bounds(mut self, bounds: CallerBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Makes API keys mandatory; keys are added with [`with_key`](Self::with_key).
    pub fn with_keys(mut self) -> Self {
        self.keys.get_or_insert_default();
        self
    }

    /// Adds an organisation's key. `priority` overrides the priority of routes.
    pub fn with_key(
        mut self,
        key: impl Into<String>,
        organisation: OrganisationId,
        priority: Option<u8>,
    ) -> Self {
        let holder = KeyHolder {
            organisation,
            priority,
        };
        let keys = self.keys.get_or_insert_default();
        keys.insert(key.into(), holder);
        self
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let name = host.split(':').next().unwrap_or_default();
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => match self.routes.get(&name.to_ascii_lowercase()) {
                Some(routes) => routes,
                None => return RouteMatch::Unknown,
            },
        };
        let found = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix));
        found.map_or(RouteMatch::Unknown, RouteMatch::Found)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns whether callers of this route need an API key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        self.keys.is_some() && !route.public
    }

    /// Returns the organisations that have keys; one with several keys occurs several times.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        let holders = self.keys.iter().flat_map(HashMap::values);
        holders.map(|holder| &holder.organisation)
    }

    /// Returns the organisation of a key, and the key's own priority if it has one.
    pub fn key_holder(&self, key: &str) -> Option<(&OrganisationId, Option<u8>)> {
        let holder = self.keys.as_ref()?.get(key)?;
        Some((&holder.organisation, holder.priority))
    }
}

impl RouteRule {
    /// Chooses the service for a request; `draw` is a random number in `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw * f64::from(total);
        for target in self.targets.iter().filter(|target| target.weight > 0) {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        let last = self.targets.iter().rfind(|target| target.weight > 0);
        last.map(|target| &target.service)
    }
}
