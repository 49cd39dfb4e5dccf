//! Plan for distributing configurations: which processes watch the store, and which process pushes
//! to which.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    role::{RelayKind, RelayLimits, RelayMember, RelayRole},
    types::ProcessId,
};

const WATCH_SEED: u64 = 1;
const PUSH_SEED: u64 = 2;
const OFFER_SEED: u64 = 3;
const LEAF_SEED: u64 = 4;
const PEER_SEED: u64 = 5;
const LEAF_SLACK_PERCENT: usize = 25;

/// Distribution plan of a fleet. It is the same at every process that knows the same members.
///
/// In each region a few watchers are the roots of a tree. Their children are the heads of the
/// region's failure domains, and each head has the other relays of its domain below it. Both levels
/// are heaps of bounded width, so the depth grows with the logarithm of the domain's size. Only
/// watchers communicate across regions. A second tree with other heads carries offers, which
/// contain only the generation number, so that no single process can cut off those below it.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    roles: BTreeMap<ProcessId, RelayRole>,
    watchers: Vec<ProcessId>,
}

type MemberList<'a> = Vec<&'a RelayMember>;

impl RelayPlan {
    /// Creates the plan for these members.
    pub fn new(members: &[RelayMember], limits: &RelayLimits) -> Self {
        let mut plan = Self {
            roles: BTreeMap::new(),
            watchers: Vec::new(),
        };
        for member in members {
            plan.roles
                .insert(member.process.clone(), RelayRole::default());
        }
        let mut regions: BTreeMap<&str, MemberList<'_>> = BTreeMap::new();
        for member in members {
            regions.entry(&member.region).or_default().push(member);
        }
        for region in regions.values() {
            plan.add_region(region, limits);
        }
        plan.connect_watchers();
        plan
    }

    /// Returns the role of a process, which is empty if the process is not a member.
    pub fn role_of(&self, process: &str) -> RelayRole {
        self.roles.get(process).cloned().unwrap_or_default()
    }

    /// Returns all processes that watch the store.
    pub fn watchers(&self) -> &[ProcessId] {
        &self.watchers
    }

    fn add_region(&mut self, region: &MemberList<'_>, limits: &RelayLimits) {
        let is_relay = |member: &&&RelayMember| member.kind == RelayKind::Relay;
        let relays: MemberList<'_> = region.iter().filter(is_relay).copied().collect();
        let wanted = limits.watchers_per_region;
        let ranked = rank_watchers(&relays, wanted + limits.standbys_per_region);
        let watchers: MemberList<'_> = ranked.iter().take(wanted).copied().collect();
        for watcher in &watchers {
            self.role_mut(watcher).watches = true;
            self.watchers.push(watcher.process.clone());
        }
        self.add_tree(&relays, &watchers, limits, PUSH_SEED);
        self.add_tree(&relays, &watchers, limits, OFFER_SEED);
        self.add_peers(&relays, limits);
        self.add_leaves(region, &relays);
        self.add_standbys(&ranked, wanted);
    }

    fn add_standbys(&mut self, ranked: &MemberList<'_>, wanted: usize) {
        let watchers = ranked.iter().take(wanted);
        let watcher_children: BTreeSet<ProcessId> = watchers
            .flat_map(|watcher| self.role_of(&watcher.process).children)
            .collect();
        for (rank, member) in ranked.iter().enumerate().skip(wanted) {
            let higher_ranked = ranked[..rank].iter().map(|m| m.process.clone()).collect();
            let others = watcher_children
                .iter()
                .filter(|child| **child != member.process);
            let others = others.cloned().collect();
            let role = self.role_mut(member);
            role.higher_ranked = higher_ranked;
            role.required_watchers = wanted;
            role.standby_children = others;
        }
    }

    fn add_tree(
        &mut self,
        relays: &MemberList<'_>,
        watchers: &MemberList<'_>,
        limits: &RelayLimits,
        seed: u64,
    ) {
        let mut domains: BTreeMap<&str, MemberList<'_>> = BTreeMap::new();
        let roots: BTreeSet<&str> = watchers.iter().map(|w| &*w.process).collect();
        for relay in relays.iter().filter(|r| !roots.contains(&*r.process)) {
            domains.entry(&relay.domain).or_default().push(relay);
        }
        let mut upper = watchers.clone();
        for domain in domains.values_mut() {
            domain.sort_by_key(|member| Reverse(process_score(&member.process, seed)));
            upper.push(domain[0]);
        }
        self.add_heap(&upper, watchers.len(), limits.fanout, seed);
        for domain in domains.values() {
            self.add_heap(domain, 1, limits.fanout, seed);
        }
    }

    /// Links members as a heap with several roots.
    fn add_heap(&mut self, members: &MemberList<'_>, roots: usize, fanout: usize, seed: u64) {
        let fanout = fanout.max(1);
        for (index, member) in members.iter().enumerate().skip(roots) {
            let parent = members[heap_parent(index, roots, fanout)];
            let role = self.role_mut(parent);
            match seed {
                PUSH_SEED => role.children.push(member.process.clone()),
                _ => role.offers.push(member.process.clone()),
            }
        }
    }

    /// Assigns each relay random peers in its region, on other hosts.
    fn add_peers(&mut self, relays: &MemberList<'_>, limits: &RelayLimits) {
        let mut ring = relays.clone();
        ring.sort_by_key(|member| process_score(&member.process, PEER_SEED));
        let steps = peer_distances(ring.len(), limits.peers);
        for (index, member) in ring.iter().enumerate() {
            let at = |step: &usize| ring[(index + step) % ring.len()];
            let others = steps.iter().map(at).filter(|peer| peer.host != member.host);
            let others: Vec<ProcessId> = others.map(|peer| peer.process.clone()).collect();
            self.role_mut(member).peers.extend(others);
        }
    }

    /// Assigns each leaf one relay that pushes to it and another that sends it offers, in the
    /// leaf's own failure domain where possible.
    fn add_leaves(&mut self, region: &MemberList<'_>, relays: &MemberList<'_>) {
        let mut domains: BTreeMap<&str, MemberList<'_>> = BTreeMap::new();
        for leaf in region.iter().filter(|m| m.kind == RelayKind::Leaf) {
            domains.entry(&leaf.domain).or_default().push(leaf);
        }
        for (domain, leaves) in domains {
            let near = relays.iter().filter(|relay| &*relay.domain == domain);
            let near: MemberList<'_> = near.copied().collect();
            let parents = if near.is_empty() { relays } else { &near };
            self.assign_leaves(&leaves, parents);
        }
    }

    /// Assigns leaves by rendezvous hashing with a bound on the number of children of a relay,
    /// including its children in the tree. Without the bound the busiest relay sends twice as much
    /// as the mean and exceeds its budget.
    fn assign_leaves(&mut self, leaves: &MemberList<'_>, parents: &MemberList<'_>) {
        let edges = leaves.len() + parents.len();
        let bound = (edges * (100 + LEAF_SLACK_PERCENT)).div_ceil(100 * parents.len().max(1));
        for leaf in leaves {
            let mut ranked = parents.clone();
            ranked.sort_by_cached_key(|r| Reverse(leaf_score(&r.process, &leaf.process)));
            let has_room = |relay: &&RelayMember| {
                let role = self.roles.get(&relay.process);
                role.is_some_and(|role| role.children.len() < bound)
            };
            let first = ranked.iter().position(has_room);
            let Some(first) = first.or((!ranked.is_empty()).then_some(0)) else {
                continue;
            };
            let backup = ranked.get((first + 1) % ranked.len());
            let backup = backup.filter(|_| ranked.len() > 1).copied();
            self.role_mut(ranked[first])
                .children
                .push(leaf.process.clone());
            if let Some(backup) = backup {
                self.role_mut(backup).offers.push(leaf.process.clone());
            }
        }
    }

    /// Connects the watchers of all regions with each other. A region that cannot reach the store
    /// gets the configuration from one that can. No other process communicates across regions.
    fn connect_watchers(&mut self) {
        for watcher in self.watchers.clone() {
            let others = self.watchers.iter().filter(|other| **other != watcher);
            let others: Vec<ProcessId> = others.cloned().collect();
            let role = self.roles.entry(watcher).or_default();
            role.offers.extend(others.iter().cloned());
            role.peers.extend(others);
        }
    }

    fn role_mut(&mut self, member: &RelayMember) -> &mut RelayRole {
        self.roles.entry(member.process.clone()).or_default()
    }
}

fn process_score(process: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(process.as_bytes(), seed)
}

fn leaf_score(relay: &str, leaf: &str) -> u64 {
    xxh3_64_with_seed(
        relay.as_bytes(),
        xxh3_64_with_seed(leaf.as_bytes(), LEAF_SEED),
    )
}

fn heap_parent(index: usize, roots: usize, fanout: usize) -> usize {
    (index - roots) / fanout
}

/// Ranks relays by score, taking the best of each failure domain first.
fn rank_watchers<'a>(relays: &MemberList<'a>, count: usize) -> MemberList<'a> {
    let mut ranked = relays.clone();
    ranked.sort_by_key(|member| Reverse(process_score(&member.process, WATCH_SEED)));
    let mut seen = BTreeSet::new();
    let (first, rest): (MemberList<'a>, MemberList<'a>) = ranked
        .into_iter()
        .partition(|member| seen.insert(&member.domain));
    first.into_iter().chain(rest).take(count).collect()
}

/// Returns distances to peers on a ring. They double, so that comparisons reach across the whole
/// ring. If more are needed, the smallest unused distances follow.
fn peer_distances(length: usize, count: usize) -> Vec<usize> {
    let mut steps: Vec<usize> = (0..count as u32)
        .map(|power| 1usize << power.min(30))
        .take_while(|step| *step < length)
        .collect();
    let mut next = 3;
    while steps.len() < count && next < length {
        if !steps.contains(&next) {
            steps.push(next);
        }
        next += 1;
    }
    steps
}
