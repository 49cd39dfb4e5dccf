//! Prints how balanced subsets are, and how many sessions move when members are added or removed.
//!
//! `cargo run --release -p lovagedock --example subset`

use std::{collections::BTreeSet, time::Instant};

use lovagedock::{SubsetMember, SubsetPlan, SubsetPlanner};

const DOMAINS: usize = 16;
const REGIONS: usize = 7;

fn main() {
    println!(
        "| gateways x endpoints | plan ms | subset min/mean/max | change | sessions moved | of all |"
    );
    println!("|---|---|---|---|---|---|");
    for (gateways, endpoints) in [(200, 1_250), (400, 2_500), (800, 5_000), (1_600, 10_000)] {
        report(gateways, endpoints);
    }
}

fn report(gateway_count: usize, endpoint_count: usize) {
    let gateways = members("gateway", gateway_count);
    let endpoints = members("endpoint", endpoint_count);
    let planner = SubsetPlanner::default();
    let start = Instant::now();
    let plan = planner.plan(&gateways, &endpoints);
    let elapsed = start.elapsed().as_secs_f64() * 1e3;
    let sizes: Vec<usize> = (0..gateways.len())
        .map(|g| plan.endpoints_of(g).len())
        .collect();
    let total: usize = sizes.iter().sum();
    let mean = total as f64 / sizes.len() as f64;
    let min = sizes.iter().min().copied().unwrap_or(0);
    let max = sizes.iter().max().copied().unwrap_or(0);
    let before = sessions(&plan, &gateways, &endpoints);
    let changes = [
        (
            "one gateway lost",
            without(&gateways, |index| index == 7),
            endpoints.clone(),
        ),
        (
            "one endpoint lost",
            gateways.clone(),
            without(&endpoints, |index| index == 7),
        ),
        (
            "one in a hundred endpoints lost",
            gateways.clone(),
            without(&endpoints, |index| index % 100 == 7),
        ),
        (
            "a failure domain lost",
            without(&gateways, |index| index % DOMAINS == 3),
            without(&endpoints, |index| index % DOMAINS == 3),
        ),
    ];
    for (name, gateways, endpoints) in changes {
        let after = sessions(&planner.plan(&gateways, &endpoints), &gateways, &endpoints);
        let moved = after.difference(&before).count();
        let share = 100.0 * moved as f64 / total as f64;
        println!(
            "| {gateway_count} x {endpoint_count} | {elapsed:.0} | {min}/{mean:.1}/{max} | {name} | {moved} | {share:.2}% |"
        );
    }
}

fn members(prefix: &str, count: usize) -> Vec<SubsetMember> {
    (0..count)
        .map(|index| SubsetMember {
            id: format!("{prefix}-{index}").into(),
            domain: format!("domain-{}", index % DOMAINS).into(),
            region: format!("region-{}", index % DOMAINS % REGIONS).into(),
        })
        .collect()
}

fn without(members: &[SubsetMember], lost: impl Fn(usize) -> bool) -> Vec<SubsetMember> {
    let kept = members
        .iter()
        .enumerate()
        .filter(|(index, _)| !lost(*index));
    kept.map(|(_, member)| member.clone()).collect()
}

fn sessions(
    plan: &SubsetPlan,
    gateways: &[SubsetMember],
    endpoints: &[SubsetMember],
) -> BTreeSet<(String, String)> {
    let mut sessions = BTreeSet::new();
    for (index, endpoint) in endpoints.iter().enumerate() {
        for gateway in plan.gateways_of(index) {
            sessions.insert((gateways[*gateway].id.to_string(), endpoint.id.to_string()));
        }
    }
    sessions
}
