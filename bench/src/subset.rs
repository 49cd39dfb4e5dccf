//! Subsets of endpoints: time to plan, balance, and movement.

use std::collections::BTreeSet;

use lovagedock::{SubsetMember, SubsetPlan, SubsetPlanner};

use crate::{meter::cpu_micros, slope::SlopeSeries};

const DOMAINS: usize = 16;
const REGIONS: usize = 7;
const REPEATS: usize = 3;
/// Gateways and endpoints; today's fleets, and growing towards the size to design for.
const SIZES: &[(usize, usize)] = &[
    (3, 28),
    (40, 200),
    (200, 1_250),
    (400, 2_500),
    (800, 5_000),
    (1_600, 10_000),
];

/// What planning costs.
pub(crate) struct SubsetSlopes {
    /// Processor time of a plan, over gateways times endpoints.
    pub(crate) plan_cpu: SlopeSeries,
}

impl SubsetSlopes {
    /// Measures it.
    pub(crate) fn measure() -> Self {
        let mut plan_cpu = SlopeSeries::new(
            "processor time of a subset plan",
            "gateways x endpoints",
            "µs",
        );
        for (gateways, endpoints) in SIZES.iter().filter(|(_, endpoints)| *endpoints > 256) {
            let gateway_list = members("gateway", *gateways);
            let endpoint_list = members("endpoint", *endpoints);
            let values = (0..REPEATS).map(|_| {
                cpu_micros(1, || {
                    SubsetPlanner::default().plan(&gateway_list, &endpoint_list);
                })
            });
            plan_cpu.push(gateways * endpoints, values.collect());
        }
        Self { plan_cpu }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![&self.plan_cpu]
    }
}

/// Prints balance and movement at each size.
pub(crate) fn print_movement() {
    println!(
        "| gateways x endpoints | sessions | endpoints of a gateway, least/mean/most | moved: one \
         gateway lost | one endpoint lost | 1% of endpoints lost | a failure domain lost |\n\
         |---|---|---|---|---|---|---|"
    );
    for (gateways, endpoints) in SIZES {
        print_size(*gateways, *endpoints);
    }
}

fn print_size(gateway_count: usize, endpoint_count: usize) {
    let gateways = members("gateway", gateway_count);
    let endpoints = members("endpoint", endpoint_count);
    let plan = SubsetPlanner::default().plan(&gateways, &endpoints);
    let sizes: Vec<usize> = (0..gateways.len())
        .map(|gateway| plan.endpoints_of(gateway).len())
        .collect();
    let total: usize = sizes.iter().sum();
    let before = sessions(&plan, &gateways, &endpoints);
    let moved = |gateways: &[SubsetMember], endpoints: &[SubsetMember]| {
        let plan = SubsetPlanner::default().plan(gateways, endpoints);
        let after = sessions(&plan, gateways, endpoints);
        let count = after.difference(&before).count();
        format!("{count} ({:.2}%)", 100.0 * count as f64 / total as f64)
    };
    println!(
        "| {gateway_count} x {endpoint_count} | {total} | {}/{:.1}/{} | {} | {} | {} | {} |",
        sizes.iter().min().copied().unwrap_or(0),
        total as f64 / sizes.len() as f64,
        sizes.iter().max().copied().unwrap_or(0),
        moved(&without(&gateways, |index| index == 2), &endpoints),
        moved(&gateways, &without(&endpoints, |index| index == 7)),
        moved(&gateways, &without(&endpoints, |index| index % 100 == 7)),
        moved(
            &without(&gateways, |index| index % DOMAINS == 2),
            &without(&endpoints, |index| index % DOMAINS == 2),
        ),
    );
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
    let kept = members.iter().enumerate();
    let kept = kept.filter(|(index, _)| !lost(*index));
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
