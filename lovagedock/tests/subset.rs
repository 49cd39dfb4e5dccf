//! Subsets are the same on all processes, balanced, prefer the own failure domain, and stay
//! complete after the loss of a failure domain.

use std::collections::BTreeSet;

use lovagedock::{SubsetMember, SubsetPlan, SubsetPlanner, SubsetSettings};
use proptest::prelude::*;

const SETTINGS: SubsetSettings = SubsetSettings {
    full_view_endpoints: 30,
    own_domain_gateways: 4,
    other_domain_gateways: 2,
    slack_percent: 10,
};

fn members(prefix: &str, count: usize, domains: usize) -> Vec<SubsetMember> {
    (0..count)
        .map(|index| {
            let domain = index % domains;
            SubsetMember {
                id: format!("{prefix}{index}").into(),
                domain: format!("d{domain}").into(),
                region: format!("r{}", domain / 2).into(),
            }
        })
        .collect()
}

fn gateway_names(
    plan: &SubsetPlan,
    gateways: &[SubsetMember],
    endpoint: usize,
) -> BTreeSet<String> {
    plan.gateways_of(endpoint)
        .iter()
        .map(|gateway| gateways[*gateway].id.to_string())
        .collect()
}

#[test]
fn small_fleets_are_fully_connected() {
    let gateways = members("g", 6, 3);
    let endpoints = members("e", 28, 3);
    let plan = SubsetPlanner::default().plan(&gateways, &endpoints);
    for gateway in 0..gateways.len() {
        assert_eq!(plan.endpoints_of(gateway), (0..28).collect::<Vec<_>>());
    }
}

#[test]
fn order_of_the_members_does_not_matter() {
    let gateways = members("g", 24, 4);
    let endpoints = members("e", 200, 4);
    let planner = SubsetPlanner::new(SETTINGS);
    let plan = planner.plan(&gateways, &endpoints);
    let reversed: Vec<_> = gateways.iter().rev().cloned().collect();
    let other = planner.plan(&reversed, &endpoints);
    for endpoint in 0..endpoints.len() {
        assert_eq!(
            gateway_names(&plan, &gateways, endpoint),
            gateway_names(&other, &reversed, endpoint)
        );
    }
}

/// Requests continue after the loss of a failure domain, even if the failure domain of an endpoint
/// has no gateway.
#[test]
fn endpoints_of_a_domain_without_gateways_are_served_from_several_others() {
    let gateways: Vec<_> = members("g", 24, 4)
        .into_iter()
        .filter(|gateway| &*gateway.domain != "d1")
        .collect();
    let endpoints = members("e", 200, 4);
    let plan = SubsetPlanner::new(SETTINGS).plan(&gateways, &endpoints);
    for endpoint in 0..endpoints.len() {
        let domains: BTreeSet<_> = plan
            .gateways_of(endpoint)
            .iter()
            .map(|gateway| &gateways[*gateway].domain)
            .collect();
        assert_eq!(plan.gateways_of(endpoint).len(), 6);
        assert!(domains.len() >= 3, "{domains:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn plans_are_complete_balanced_and_stable(
        domains in 2..7_usize,
        gateways_per_domain in 4..12_usize,
        endpoints in 40..400_usize,
        lost in 0..1_000_usize,
    ) {
        let gateways = members("g", domains * gateways_per_domain, domains);
        let endpoints = members("e", endpoints, domains);
        let planner = SubsetPlanner::new(SETTINGS);
        let plan = planner.plan(&gateways, &endpoints);
        let mut assignments = 0;
        for (index, endpoint) in endpoints.iter().enumerate() {
            let chosen = plan.gateways_of(index);
            let distinct: BTreeSet<_> = chosen.iter().collect();
            prop_assert_eq!(distinct.len(), 6);
            let own = chosen.iter().filter(|g| gateways[**g].domain == endpoint.domain).count();
            prop_assert_eq!(own, 4, "own failure domain first");
            let elsewhere: BTreeSet<_> = chosen
                .iter()
                .map(|g| &gateways[*g].domain)
                .filter(|domain| **domain != endpoint.domain)
                .collect();
            prop_assert_eq!(elsewhere.len(), 2.min(domains - 1), "other gateways spread over failure domains");
            assignments += chosen.len();
        }
        let mean = assignments as f64 / gateways.len() as f64;
        let max_load = (0..gateways.len()).map(|g| plan.endpoints_of(g).len()).max().unwrap_or(0);
        // Domains may differ by one endpoint; the rest of the bound is slack and rounding.
        prop_assert!(max_load as f64 <= mean * 1.1 * 1.2 + 4.0, "{max_load} of mean {mean}");

        let lost = lost % gateways.len();
        let mut fewer = gateways.clone();
        fewer.remove(lost);
        let after = planner.plan(&fewer, &endpoints);
        let moved: usize = (0..endpoints.len())
            .map(|index| {
                let before = gateway_names(&plan, &gateways, index);
                let now = gateway_names(&after, &fewer, index);
                now.difference(&before).count()
            })
            .sum();
        let unavoidable = plan.endpoints_of(lost).len();
        prop_assert!(moved <= 4 * unavoidable + 8, "{moved} moved for {unavoidable}");
    }
}
