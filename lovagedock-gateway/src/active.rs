//! The configuration in force with its look-up tables.

use std::collections::HashMap;

use bytes::Bytes;
use lovagedock::{ModelSpec, OrganisationSpec, ServiceKind, ServiceSpec, prelude::*};

/// One accepted configuration and its look-up tables.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// Generation; 0 before the first configuration.
    pub(crate) generation: Generation,
    /// The configuration itself.
    pub(crate) fleet: FleetConfig,
    /// The configuration as JSON, for sidecars and other gateways.
    pub(crate) text: Bytes,
    organisations: HashMap<String, usize>,
}

impl ActiveConfig {
    /// Builds the look-up tables.
    pub(crate) fn new(generation: Generation, fleet: FleetConfig, text: Bytes) -> Self {
        let mut organisations = HashMap::new();
        for (index, organisation) in fleet.organisations.iter().enumerate() {
            for hash in &organisation.key_hashes {
                organisations.insert(hash.to_ascii_lowercase(), index);
            }
        }
        Self {
            generation,
            fleet,
            text,
            organisations,
        }
    }

    /// The organisation that has an API key with this SHA-256 hash.
    pub(crate) fn organisation_by_key_hash(&self, hash: &str) -> Option<&OrganisationSpec> {
        let index = self.organisations.get(hash)?;
        self.fleet.organisations.get(*index)
    }

    /// The model with this name, which may include an adapter.
    pub(crate) fn model(&self, id: &str) -> Option<&ModelSpec> {
        self.fleet.find_model(id)
    }

    /// The service that serves a model.
    pub(crate) fn service_of_model(&self, id: &str) -> Option<&ServiceSpec> {
        self.fleet
            .services
            .iter()
            .find(|service| match &service.kind {
                ServiceKind::Model { model } => &**model == id,
                ServiceKind::Plain { .. } => false,
            })
    }

    /// The plain service with the longest prefix that matches a path.
    pub(crate) fn service_of_path(&self, path: &str) -> Option<&ServiceSpec> {
        let prefix_length = |service: &ServiceSpec| match &service.kind {
            ServiceKind::Plain { path_prefix } if path.starts_with(path_prefix.as_str()) => {
                Some(path_prefix.len())
            }
            ServiceKind::Plain { .. } | ServiceKind::Model { .. } => None,
        };
        self.fleet
            .services
            .iter()
            .filter_map(|service| Some((prefix_length(service)?, service)))
            .max_by_key(|(length, _)| *length)
            .map(|(_, service)| service)
    }
}
