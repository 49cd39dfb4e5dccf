//! Assigns to each endpoint the gateways that keep a session to it.

use std::{cmp::Reverse, sync::Arc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::DomainId;

/// Settings for the number of gateways per endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    /// In fleets of at most this many endpoints, every gateway connects to every endpoint.
    pub full_view_endpoints: usize,
    /// Number of gateways per endpoint in its own failure domain.
    pub own_domain_gateways: usize,
    /// Number of gateways per endpoint in other failure domains, each in a different one if
    /// possible.
    pub other_domain_gateways: usize,
    /// Maximum excess of a gateway's load over the mean, in percent.
    pub slack_percent: usize,
}

impl Default for SubsetSettings {
    fn default() -> Self {
        Self {
            full_view_endpoints: 256,
            own_domain_gateways: 12,
            other_domain_gateways: 4,
            slack_percent: 10,
        }
    }
}

/// A gateway or an endpoint with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetMember {
    /// Unique name.
    pub id: Arc<str>,
    /// Failure domain.
    pub domain: DomainId,
    /// Region that contains the failure domain.
    pub region: Arc<str>,
}

/// Plans the subsets of a fleet.
///
/// All processes with the same list of members compute the same plan. The gateways are ranked for
/// each endpoint by rendezvous hashing, and the endpoint is assigned the highest-ranked gateways
/// that are below their load limit. The limit on a gateway's load balances the subsets. The hashing
/// keeps most of the plan unchanged when members are added or removed.
#[derive(Clone, Debug, Default)]
pub struct SubsetPlanner {
    settings: SubsetSettings,
}

/// The gateways of each endpoint and the endpoints of each gateway, as indices into the lists
/// passed to [`SubsetPlanner::plan`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetPlan {
    gateways_of: Vec<Vec<usize>>,
    endpoints_of: Vec<Vec<usize>>,
}

impl SubsetPlan {
    /// Returns the gateways of the endpoint at an index.
    pub fn gateways_of(&self, endpoint: usize) -> &[usize] {
        &self.gateways_of[endpoint]
    }

    /// Returns the endpoints of the gateway at an index, in ascending order.
    pub fn endpoints_of(&self, gateway: usize) -> &[usize] {
        &self.endpoints_of[gateway]
    }
}

impl SubsetPlanner {
    /// Creates a planner with the given settings.
    pub fn new(settings: SubsetSettings) -> Self {
        Self { settings }
    }

    /// Computes the plan for all gateways and endpoints.
    pub fn plan(&self, gateways: &[SubsetMember], endpoints: &[SubsetMember]) -> SubsetPlan {
        let gateways_of = if endpoints.len() <= self.settings.full_view_endpoints {
            vec![(0..gateways.len()).collect(); endpoints.len()]
        } else {
            self.assign(gateways, endpoints)
        };
        let mut endpoints_of = vec![Vec::new(); gateways.len()];
        for (endpoint, chosen) in gateways_of.iter().enumerate() {
            for gateway in chosen {
                endpoints_of[*gateway].push(endpoint);
            }
        }
        SubsetPlan {
            gateways_of,
            endpoints_of,
        }
    }

    fn assign(&self, gateways: &[SubsetMember], endpoints: &[SubsetMember]) -> Vec<Vec<usize>> {
        let domains = group_domains(gateways);
        let mut own_loads = self.own_loads(&domains, gateways.len(), endpoints);
        let mut other_loads = self.other_loads(&domains, gateways.len(), endpoints);
        let mut plan = vec![Vec::new(); endpoints.len()];
        for endpoint in order_by_hash(endpoints) {
            let member = &endpoints[endpoint];
            let hash = xxh3_64(member.id.as_bytes());
            let chosen = &mut plan[endpoint];
            if let Some(own) = domains.iter().find(|domain| domain.id == member.domain) {
                own.select_gateways(
                    hash,
                    self.settings.own_domain_gateways,
                    &mut own_loads,
                    chosen,
                );
            }
            let missing = self.total_gateways().saturating_sub(chosen.len());
            select_other_domains(&domains, member, hash, missing, &mut other_loads, chosen);
        }
        plan
    }

    fn total_gateways(&self) -> usize {
        self.settings.own_domain_gateways + self.settings.other_domain_gateways
    }

    fn own_loads(
        &self,
        domains: &[GatewayDomain],
        gateways: usize,
        endpoints: &[SubsetMember],
    ) -> LoadTable {
        let mut table = LoadTable::new(gateways);
        for domain in domains {
            let count = endpoints.iter().filter(|e| e.domain == domain.id).count();
            let assignments = count * self.settings.own_domain_gateways.min(domain.members.len());
            let limit = self.load_limit(assignments, domain.members.len());
            for (gateway, _) in &domain.members {
                table.limits[*gateway] = limit;
            }
        }
        table
    }

    fn other_loads(
        &self,
        domains: &[GatewayDomain],
        gateways: usize,
        endpoints: &[SubsetMember],
    ) -> LoadTable {
        let assignments = endpoints
            .iter()
            .map(|endpoint| {
                let own = domains.iter().find(|domain| domain.id == endpoint.domain);
                let local = own.map_or(0, |own| own.members.len());
                let wanted = self.total_gateways();
                wanted - local.min(self.settings.own_domain_gateways)
            })
            .sum();
        let mut table = LoadTable::new(gateways);
        table.limits.fill(self.load_limit(assignments, gateways));
        table
    }

    fn load_limit(&self, assignments: usize, gateways: usize) -> usize {
        let slack = 100 + self.settings.slack_percent;
        (assignments * slack).div_ceil(100 * gateways.max(1)).max(1)
    }
}

/// The gateways of one failure domain, each with the hash of its name.
struct GatewayDomain {
    id: DomainId,
    region: Arc<str>,
    hash: u64,
    members: Vec<(usize, u64)>,
}

impl GatewayDomain {
    /// Selects the `count` highest-ranked gateways for an endpoint and prefers those below their
    /// load limit.
    fn select_gateways(
        &self,
        endpoint: u64,
        count: usize,
        loads: &mut LoadTable,
        chosen: &mut Vec<usize>,
    ) {
        let mut ranked: Vec<_> = self
            .members
            .iter()
            .filter(|(gateway, _)| !chosen.contains(gateway))
            .map(|(gateway, hash)| {
                (
                    loads.is_full(*gateway),
                    Reverse(rendezvous_hash(*hash, endpoint)),
                    *gateway,
                )
            })
            .collect();
        let count = count.min(ranked.len());
        if count == 0 {
            return;
        }
        ranked.select_nth_unstable(count - 1);
        for (_, _, gateway) in &ranked[..count] {
            loads.counts[*gateway] += 1;
            chosen.push(*gateway);
        }
    }
}

struct LoadTable {
    counts: Vec<usize>,
    limits: Vec<usize>,
}

impl LoadTable {
    fn new(gateways: usize) -> Self {
        Self {
            counts: vec![0; gateways],
            limits: vec![0; gateways],
        }
    }

    fn is_full(&self, gateway: usize) -> bool {
        self.counts[gateway] >= self.limits[gateway]
    }
}

fn group_domains(gateways: &[SubsetMember]) -> Vec<GatewayDomain> {
    let mut domains: Vec<GatewayDomain> = Vec::new();
    for (index, gateway) in gateways.iter().enumerate() {
        let hash = xxh3_64(gateway.id.as_bytes());
        let known = domains
            .iter_mut()
            .find(|domain| domain.id == gateway.domain);
        match known {
            Some(domain) => domain.members.push((index, hash)),
            None => domains.push(GatewayDomain {
                id: gateway.domain.clone(),
                region: gateway.region.clone(),
                hash: xxh3_64(gateway.domain.as_bytes()),
                members: vec![(index, hash)],
            }),
        }
    }
    domains
}

/// Selects one gateway from each other failure domain in turn, starting with those of the same
/// region, until `missing` gateways are selected or no more are available.
fn select_other_domains(
    domains: &[GatewayDomain],
    endpoint: &SubsetMember,
    hash: u64,
    missing: usize,
    loads: &mut LoadTable,
    chosen: &mut Vec<usize>,
) {
    let mut order: Vec<&GatewayDomain> = domains
        .iter()
        .filter(|domain| domain.id != endpoint.domain)
        .collect();
    order.sort_by_key(|domain| {
        let full = domain
            .members
            .iter()
            .all(|(index, _)| loads.is_full(*index));
        (
            full,
            domain.region != endpoint.region,
            rendezvous_hash(domain.hash, hash),
        )
    });
    let wanted = chosen.len() + missing;
    let mut previous_count = usize::MAX;
    while chosen.len() < wanted && chosen.len() != previous_count {
        previous_count = chosen.len();
        for domain in &order {
            if chosen.len() < wanted {
                domain.select_gateways(hash, 1, loads, chosen);
            }
        }
    }
}

/// Returns an order that does not change when other endpoints are added or removed.
fn order_by_hash(endpoints: &[SubsetMember]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..endpoints.len()).collect();
    order.sort_by_cached_key(|index| {
        let id = &endpoints[*index].id;
        (xxh3_64(id.as_bytes()), id.clone())
    });
    order
}

fn rendezvous_hash(hash: u64, endpoint: u64) -> u64 {
    xxh3_64_with_seed(&hash.to_le_bytes(), endpoint)
}
