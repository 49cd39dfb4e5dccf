//! The relay plan and the adoption counter.

use std::collections::{BTreeMap, BTreeSet};

use lovagedock::{AdoptionCounter, ProcessId, RelayKind, RelayLimits, RelayMember, RelayPlan};

struct FleetCase {
    relays: usize,
    leaves: usize,
    domains: usize,
    regions: usize,
    watchers: usize,
}

const FLEETS: &[FleetCase] = &[
    FleetCase {
        relays: 1,
        leaves: 0,
        domains: 1,
        regions: 1,
        watchers: 1,
    },
    FleetCase {
        relays: 4,
        leaves: 24,
        domains: 3,
        regions: 1,
        watchers: 2,
    },
    FleetCase {
        relays: 28,
        leaves: 172,
        domains: 6,
        regions: 2,
        watchers: 4,
    },
    FleetCase {
        relays: 200,
        leaves: 1_000,
        domains: 16,
        regions: 7,
        watchers: 14,
    },
    FleetCase {
        relays: 1_600,
        leaves: 2_000,
        domains: 16,
        regions: 7,
        watchers: 14,
    },
];

fn members(fleet: &FleetCase) -> Vec<RelayMember> {
    let member = |kind, name: String, index: usize| {
        let domain = index % fleet.domains;
        RelayMember {
            host: format!("host-{name}").into(),
            process: name.into(),
            domain: format!("domain-{domain}").into(),
            region: (domain % fleet.regions).to_string(),
            kind,
        }
    };
    let relays = (0..fleet.relays).map(|i| member(RelayKind::Relay, format!("g{i}"), i));
    let leaves = (0..fleet.leaves).map(|i| member(RelayKind::Leaf, format!("s{i}"), i));
    relays.chain(leaves).collect()
}

/// Returns the processes that pushes from the watchers reach, and the number of steps to each.
fn reached(plan: &RelayPlan) -> BTreeMap<ProcessId, usize> {
    let mut steps = BTreeMap::new();
    let mut next: Vec<ProcessId> = plan.watchers().to_vec();
    let mut step = 0;
    while !next.is_empty() {
        let mut children = Vec::new();
        for process in next {
            assert!(
                steps.insert(process.clone(), step).is_none(),
                "{process} has two parents"
            );
            children.extend(plan.role_of(&process).children);
        }
        next = children;
        step += 1;
    }
    steps
}

// Pushes reach every process exactly once, the number of watchers does not grow with the fleet, no
// relay pushes to more processes than its bound, and peers are on other hosts.
#[test]
fn the_plan_reaches_all_and_stays_bounded() {
    let limits = RelayLimits::default();
    for fleet in FLEETS {
        let members = members(fleet);
        let plan = RelayPlan::new(&members, &limits);
        let steps = reached(&plan);
        assert_eq!(steps.len(), members.len(), "{} relays", fleet.relays);
        assert_eq!(
            plan.watchers().len(),
            fleet.watchers,
            "{} relays",
            fleet.relays
        );
        assert!(steps.values().max() <= Some(&8), "{} relays", fleet.relays);
        let edges = (fleet.relays + fleet.leaves).div_ceil(fleet.relays);
        // Children at two positions in the tree, or a quarter more than the mean with all leaves.
        let bound = (2 * limits.fanout).max(edges * 5 / 4 + 3);
        for member in &members {
            let role = plan.role_of(&member.process);
            assert!(
                role.children.len() <= bound,
                "{} has children {:?}",
                member.process,
                role.children
            );
            assert!(!role.peers.contains(&member.process), "{}", member.process);
        }
    }
}

// When one relay is removed, only its children and the relays that move up in the heaps of its
// domain get another parent. In particular, the watchers stay the same.
#[test]
fn watchers_stay_when_another_process_is_removed() {
    let fleet = &FLEETS[3];
    let mut members = members(fleet);
    let before = RelayPlan::new(&members, &RelayLimits::default());
    let watching: BTreeSet<ProcessId> = before.watchers().iter().cloned().collect();
    let removed_index = members
        .iter()
        .position(|member| !watching.contains(&member.process));
    members.remove(removed_index.expect("a member that does not watch"));
    let after = RelayPlan::new(&members, &RelayLimits::default());
    assert_eq!(before.watchers(), after.watchers());
}

// The progress of generation 5 is correct even if reports arrive late and out of order.
#[test]
fn the_counter_lists_lagging_processes() {
    let mut counter = AdoptionCounter::new(["a", "b", "c"].map(ProcessId::from));
    for (process, generation) in [("a", 5), ("a", 4), ("b", 4), ("x", 9)] {
        counter.report(process.into(), generation);
    }
    let count = counter.count(5);
    assert_eq!(count.in_force, 1);
    assert_eq!(count.behind, [ProcessId::from("b")]);
    assert_eq!(count.silent, [ProcessId::from("c")]);
    assert_eq!(count.unexpected, [ProcessId::from("x")]);
}
