//! Routes, services and keys as operators declare them for direct endpoints.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::engine::EngineProfile;
use crate::ids::{Generation, OrganisationId, ServiceId};

/// A whole configuration; a higher version replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficConfig {
    /// Grows with each configuration, in uneven steps.
    pub version: Generation,
    /// Routes by host name in lower case, longest path prefix first.
    routes: HashMap<String, Vec<RouteRule>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceProfile>,
    /// Limits towards callers.
    pub bounds: CallerBounds,
    /// Organisation of each API key, with its own priority; `None` where keys are not used.
    keys: Option<HashMap<String, KeyHolder>>,
}

/// The organisation that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeyHolder {
    organisation: OrganisationId,
    priority: Option<u8>,
}

/// Requests of one host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name in logs and metrics.
    pub name: String,
    /// Host name, in lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub mode: RouteMode,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the whole answer, or to a stream's first event, that callers expect.
    pub objective: Duration,
    /// Longest pause between events of a stream that callers expect.
    pub gap_objective: Option<Duration>,
    /// Rank of the requests; 0 goes first.
    pub priority: u8,
    /// Services that share the requests.
    pub targets: Vec<RouteTarget>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// A share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteMode {
    /// One answer; may run several times.
    Idempotent,
    /// One answer; runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether another endpoint may continue it after its last event.
        resumable: bool,
    },
}

impl RouteMode {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// What is declared of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceProfile {
    /// Name.
    pub id: ServiceId,
    /// Connections that each endpoint takes from all callers together.
    pub max_connections: u32,
    /// Speed and memory of its engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
}

/// Limits towards callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerBounds {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    /// What holds until a configuration says otherwise.
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The outcome of looking up a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The request's route.
    Found(&'a RouteRule),
    /// No route has this host and path.
    Unknown,
}

impl TrafficConfig {
    /// A configuration without routes.
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

    /// Sets the limits towards callers.
    pub fn with_bounds(mut self, bounds: CallerBounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Says that callers need keys; each key is added with [`with_key`](Self::with_key).
    pub fn with_keys(mut self) -> Self {
        self.keys.get_or_insert_default();
        self
    }

    /// Adds a key of an organisation and the priority that goes before that of routes.
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

    /// The route with the longest prefix that begins `path`.
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

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Whether callers of this route must show a key.
    pub fn needs_key(&self, route: &RouteRule) -> bool {
        self.keys.is_some() && !route.public
    }

    /// Organisation of a key, and its own priority if it has one.
    pub fn key_holder(&self, key: &str) -> Option<(&OrganisationId, Option<u8>)> {
        let holder = self.keys.as_ref()?.get(key)?;
        Some((&holder.organisation, holder.priority))
    }
}

impl RouteRule {
    /// The service for a request; `draw` is a random number in `0.0..1.0`.
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
