//! Endpoints as the platform's discovery lists them.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, EndpointId, ServiceId};

/// What discovery tells of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectEndpoint {
    /// Id of this life of the endpoint; a restarted one has another.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It finishes what it has and then exits.
    Draining,
}

/// All endpoints that are listed.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, DirectEndpoint>,
}

impl EndpointTable {
    /// A table without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in an entry; tells whether anything changed.
    ///
    /// An endpoint that was seen draining never becomes ready again: it has promised to exit, and
    /// an entry that says otherwise is an older one that was read late.
    pub fn insert(&mut self, mut endpoint: DirectEndpoint) -> bool {
        if let Some(known) = self.endpoints.get(&endpoint.id) {
            if known.state == EndpointState::Draining {
                endpoint.state = EndpointState::Draining;
            }
            if *known == endpoint {
                return false;
            }
        }
        self.endpoints.insert(endpoint.id.clone(), endpoint);
        true
    }

    /// Forgets an endpoint whose entry is gone.
    pub fn remove(&mut self, id: &EndpointId) -> bool {
        self.endpoints.remove(id).is_some()
    }

    /// Replaces everything by a full listing; returns the ids that are gone.
    pub fn replace(&mut self, listed: Vec<DirectEndpoint>) -> Vec<EndpointId> {
        let gone: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.iter().any(|endpoint| endpoint.id == **id))
            .cloned()
            .collect();
        for id in &gone {
            self.endpoints.remove(id);
        }
        for endpoint in listed {
            self.insert(endpoint);
        }
        gone
    }

    /// One endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&DirectEndpoint> {
        self.endpoints.get(id)
    }

    /// Endpoints of a service that take new work, in the order of their ids.
    pub fn ready(&self, service: &ServiceId) -> impl Iterator<Item = &DirectEndpoint> {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.service == *service && endpoint.state == EndpointState::Ready
        })
    }

    /// All endpoints, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &DirectEndpoint> {
        self.endpoints.values()
    }
}
