//! Checks of the parts of the fleet: failure domains, gateways, models and pools.

use std::collections::HashMap;

use super::{
    check::{ConfigChecker, KnownNames, UniqueNames, known_domains, known_models},
    types::{EndpointSpec, FleetConfig, ModelSpec, PoolKind, PoolSpec},
};

const MAX_BYTES_PER_TOKEN: f64 = 64.0;

pub(crate) fn check_domains(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let mut names = UniqueNames::new("failure domain");
    for (index, domain) in config.failure_domains.iter().enumerate() {
        let path = format!("failure_domains[{index}].id");
        checker.check_name(&mut names, &domain.id, path);
    }
}

pub(crate) fn check_gateways(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let domains = known_domains(config);
    let mut names = UniqueNames::new("gateway");
    let mut addresses = UniqueNames::new("peer address");
    for (index, gateway) in config.gateways.iter().enumerate() {
        let path = format!("gateways[{index}]");
        checker.check_name(&mut names, &gateway.id, format!("{path}.id"));
        let address = gateway.peer_address.to_string();
        checker.check_unique(&mut addresses, &address, format!("{path}.peer_address"));
        let domain = format!("{path}.failure_domain");
        checker.check_reference(&domains, &gateway.failure_domain, &domain);
    }
}

pub(crate) fn check_models(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let mut names = UniqueNames::new("model");
    for (index, model) in config.models.iter().enumerate() {
        let path = format!("models[{index}]");
        checker.check_name(&mut names, &model.id, format!("{path}.id"));
        check_model(model, &path, checker);
    }
}

fn check_model(model: &ModelSpec, path: &str, checker: &mut ConfigChecker<'_>) {
    checker.require(
        model.max_context_tokens > 0,
        &format!("{path}.max_context_tokens"),
        model.max_context_tokens,
        "at least 1 token",
    );
    checker.require(
        model.bytes_per_token > 0.0 && model.bytes_per_token <= MAX_BYTES_PER_TOKEN,
        &format!("{path}.bytes_per_token"),
        model.bytes_per_token,
        "more than 0 and at most 64 bytes",
    );
    let mut names = UniqueNames::new("adapter of a model");
    for (index, adapter) in model.adapters.iter().enumerate() {
        let path = format!("{path}.adapters[{index}].id");
        checker.check_name(&mut names, &adapter.id, path);
    }
}

pub(crate) fn check_pools(config: &FleetConfig, checker: &mut ConfigChecker<'_>) {
    let models = known_models(config);
    let domains = known_domains(config);
    let mut pool_names = UniqueNames::new("pool");
    let mut endpoints = EndpointChecks::new(config);
    for (index, pool) in config.pools.iter().enumerate() {
        let path = format!("pools[{index}]");
        checker.check_name(&mut pool_names, &pool.id, format!("{path}.id"));
        if let PoolKind::Engines { model } = &pool.kind {
            checker.check_reference(&models, model, &format!("{path}.kind.engines.model"));
        }
        checker.require(
            !pool.endpoints.is_empty(),
            &format!("{path}.endpoints"),
            "no endpoint",
            "at least one endpoint",
        );
        for (index, endpoint) in pool.endpoints.iter().enumerate() {
            let path = format!("{path}.endpoints[{index}]");
            endpoints.check(pool, endpoint, &path, &domains, checker);
        }
    }
}

/// Names and addresses that must be unique over the endpoints of all pools, and the failure domain
/// of each host, which must be the same everywhere.
struct EndpointChecks<'a> {
    names: UniqueNames,
    sidecars: UniqueNames,
    host_domains: HashMap<&'a str, &'a str>,
}

impl<'a> EndpointChecks<'a> {
    fn new(config: &'a FleetConfig) -> Self {
        let gateways = config.gateways.iter();
        Self {
            names: UniqueNames::new("endpoint"),
            sidecars: UniqueNames::new("sidecar address"),
            host_domains: gateways
                .map(|gateway| (&*gateway.host, &*gateway.failure_domain))
                .collect(),
        }
    }

    fn check(
        &mut self,
        pool: &PoolSpec,
        endpoint: &'a EndpointSpec,
        path: &str,
        domains: &KnownNames<'_>,
        checker: &mut ConfigChecker<'_>,
    ) {
        checker.check_name(&mut self.names, &endpoint.id, format!("{path}.id"));
        let address = endpoint.sidecar.to_string();
        checker.check_unique(&mut self.sidecars, &address, format!("{path}.sidecar"));
        let domain_path = format!("{path}.failure_domain");
        checker.check_reference(domains, &endpoint.failure_domain, &domain_path);
        self.check_host(endpoint, &domain_path, checker);
        let memory_path = format!("{path}.memory_tokens");
        match pool.kind {
            PoolKind::Engines { .. } => checker.require(
                endpoint.memory_tokens > 0,
                &memory_path,
                "no memory",
                "the engine's KV memory in tokens",
            ),
            PoolKind::Plain {} => checker.require(
                endpoint.memory_tokens == 0,
                &memory_path,
                format!("{} tokens on a plain service", endpoint.memory_tokens),
                "0, or no such field",
            ),
        }
    }

    /// Requires one failure domain per host. A host listed in two failure domains would be counted
    /// as two hosts, although the loss of that host affects both.
    fn check_host(
        &mut self,
        endpoint: &'a EndpointSpec,
        path: &str,
        checker: &mut ConfigChecker<'_>,
    ) {
        let entry = self.host_domains.entry(&endpoint.host);
        let first = *entry.or_insert(&endpoint.failure_domain);
        if first != &*endpoint.failure_domain {
            let found = format!("host `{}` in `{}`", endpoint.host, endpoint.failure_domain);
            checker.reject(
                path,
                found,
                format!("`{first}`, as in the first entry of this host"),
            );
        }
    }
}
