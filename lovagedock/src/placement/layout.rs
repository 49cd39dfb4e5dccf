//! The order in which the endpoints of a pool become available to long prompts.

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{DomainId, EndpointId};

use super::types::{EndpointView, PoolView};

/// The endpoints of each failure domain that accept work, in an order that is the same on all
/// gateways.
///
/// Long prompts may use the first endpoints of each failure domain. Endpoints are ordered by a
/// hash of their ids. If gateways observe different mixes of prompts, the smaller of their sets is
/// therefore a subset of the larger one. Adding or removing a host changes at most one member of
/// the set.
#[derive(Debug, Default)]
pub(super) struct PoolLayout {
    entries: Vec<LayoutEntry>,
    domains: Vec<LayoutDomain>,
}

#[derive(Debug)]
struct LayoutEntry {
    id: EndpointId,
    accepts_work: bool,
    domain: usize,
    rank: usize,
}

#[derive(Debug)]
struct LayoutDomain {
    id: DomainId,
    /// Number of endpoints that accept work.
    accepting: usize,
}

impl PoolLayout {
    /// Recomputes the order if an endpoint was added or removed, or started or stopped accepting
    /// work.
    pub(super) fn refresh(&mut self, pool: &PoolView<'_>) {
        if !self.matches(pool) {
            self.rebuild(pool);
        }
    }

    /// Whether long prompts may use the endpoint if they may use `share` of each failure domain.
    pub(super) fn in_long_share(&self, index: usize, share: f64) -> bool {
        let entry = &self.entries[index];
        let accepting = self.domains[entry.domain].accepting;
        entry.rank < long_count(accepting, share)
    }

    fn matches(&self, pool: &PoolView<'_>) -> bool {
        self.entries.len() == pool.endpoints.len()
            && self
                .entries
                .iter()
                .zip(pool.endpoints)
                .all(|(entry, view)| entry.matches(view))
    }

    fn rebuild(&mut self, pool: &PoolView<'_>) {
        self.domains.clear();
        self.entries.clear();
        for view in pool.endpoints {
            let domain = self.domain_index(&view.domain);
            self.entries.push(LayoutEntry {
                id: view.id.clone(),
                accepts_work: view.accepts_work(),
                domain,
                rank: usize::MAX,
            });
        }
        self.rank_accepting();
    }

    fn rank_accepting(&mut self) {
        let mut order: Vec<(u64, usize)> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.accepts_work)
            .map(|(index, entry)| (xxh3_64(entry.id.as_bytes()), index))
            .collect();
        order.sort_unstable();
        for (_, index) in order {
            let entry = &mut self.entries[index];
            let domain = &mut self.domains[entry.domain];
            entry.rank = domain.accepting;
            domain.accepting += 1;
        }
    }

    fn domain_index(&mut self, id: &DomainId) -> usize {
        let known = self.domains.iter().position(|domain| domain.id == *id);
        known.unwrap_or_else(|| {
            self.domains.push(LayoutDomain {
                id: id.clone(),
                accepting: 0,
            });
            self.domains.len() - 1
        })
    }
}

impl LayoutEntry {
    fn matches(&self, view: &EndpointView) -> bool {
        let same_id = std::sync::Arc::ptr_eq(&self.id, &view.id) || self.id == view.id;
        same_id && self.accepts_work == view.accepts_work()
    }
}

/// Number of endpoints that long prompts may use. It is rounded down in favour of short prompts,
/// but is at least one, so that long prompts can be placed even in the smallest failure domain.
fn long_count(accepting: usize, share: f64) -> usize {
    let count = (accepting as f64 * share) as usize;
    count.clamp(1, accepting.max(1))
}
