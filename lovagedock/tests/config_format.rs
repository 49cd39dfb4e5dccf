//! Tests of the configuration format: schema, round trip, differences and invalid text.

use expect_test::{expect, expect_file};
use lovagedock::{
    ChangeKind, FleetConfig, config_reference, config_schema, diff_config, parse_config,
};
use proptest::prelude::*;

const EXAMPLES: &[(&str, &str)] = &[
    ("local", include_str!("../../examples/local/fleet.jsonc")),
    ("mafraq", include_str!("../../examples/mafraq/fleet.jsonc")),
    (
        "nadavaramba",
        include_str!("../../examples/nadavaramba/fleet.jsonc"),
    ),
];
const FIELDS_START: &str = "<!-- fields -->\n";
const FIELDS_END: &str = "<!-- end of fields -->\n";

fn property_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn example(index: usize) -> FleetConfig {
    let (name, text) = EXAMPLES[index];
    match parse_config(name, text) {
        Ok(config) => config,
        Err(problems) => panic!("{}", problems[0]),
    }
}

#[test]
fn published_schema_is_current() {
    expect_file!["../../docs/schema/config.schema.json"].assert_eq(&config_schema());
}

/// The page is written by hand, except for its generated list of fields.
#[test]
fn configuration_page_lists_the_current_fields() {
    let page = include_str!("../../docs/CONFIGURATION.md");
    let (before, rest) = page.split_once(FIELDS_START).expect("start of fields");
    let (_, after) = rest.split_once(FIELDS_END).expect("end of fields");
    let fields = config_reference();
    let current = format!("{before}{FIELDS_START}\n{fields}{FIELDS_END}{after}");
    expect_file!["../../docs/CONFIGURATION.md"].assert_eq(&current);
}

#[test]
fn examples_have_the_sizes_of_the_deployments() {
    for (index, sizes) in [
        expect!["1 gateways, 2 + 1 endpoints, 2 domains, 1 organisations"],
        expect!["3 gateways, 20 + 3 endpoints, 3 domains, 10 organisations"],
        expect!["3 gateways, 25 + 3 endpoints, 3 domains, 10 organisations"],
    ]
    .into_iter()
    .enumerate()
    {
        let config = example(index);
        let pools = &config.pools;
        sizes.assert_eq(&format!(
            "{} gateways, {} + {} endpoints, {} domains, {} organisations",
            config.gateways.len(),
            pools[0].endpoints.len(),
            pools[1].endpoints.len(),
            config.failure_domains.len(),
            config.organisations.len(),
        ));
    }
}

#[test]
fn differences_are_readable() {
    let old = example(0);
    let mut new = old.clone();
    new.pools[0].endpoints[0].memory_tokens = 500_000;
    new.pools[0].endpoints.remove(1);
    new.organisations[0].key_hashes.push("f".repeat(64));
    new.services.reverse();
    let changes = diff_config(&old, &new);
    let lines: String = changes.iter().map(|change| format!("{change}\n")).collect();
    expect![[r#"
        + organisations[local].key_hashes[ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff]: "ffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffffff"
        ~ pools[local-engines].endpoints[engine-1].memory_tokens: 400000 -> 500000
        - pools[local-engines].endpoints[engine-2]: {"failure_domain":"local-b","host":"host-b","id":"engine-2","memory_tokens":4000...
        ~ services: in another order
    "#]].assert_eq(&lines);
}

proptest! {
    #![proptest_config(property_config(96))]

    /// A serialised configuration parses to an equal configuration, and a difference is reported
    /// exactly when the configurations differ.
    #[test]
    fn configurations_survive_a_round_trip(
        index in 0..EXAMPLES.len(),
        memory in 1u64..u64::MAX,
        bytes_per_token in 0.01f64..64.0,
        weight in 1u32..1000,
        rotation in 0usize..3,
        hours in (0u8..24, 0u8..24),
    ) {
        let old = example(index);
        let mut config = old.clone();
        config.pools[0].endpoints[rotation % 2].memory_tokens = memory;
        config.pools[0].endpoints.rotate_left(rotation);
        config.models[0].bytes_per_token = bytes_per_token;
        config.organisations[0].weight = weight;
        for rule in &mut config.rules {
            rule.hours = hours;
        }
        let text = serde_json::to_string(&config).expect("it serialises");
        let read = parse_config("written", &text);
        prop_assert_eq!(read.as_ref(), Ok(&config));
        prop_assert!(diff_config(&config, &config).is_empty());
        prop_assert_eq!(diff_config(&old, &config).is_empty(), old == config);
    }

    /// Text that is corrupted at any position is either parsed or rejected, with every problem
    /// positioned inside the file.
    #[test]
    fn corrupted_text_never_panics(
        index in 0..EXAMPLES.len(),
        start in 0.0f64..1.0,
        length in 0usize..40,
        patch in "[\\[\\]{}\",:0-9a-z \n/*\u{e4}-]{0,12}",
    ) {
        let (_, text) = EXAMPLES[index];
        let floor = |at: usize| (0..=at).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        let from = floor((text.len() as f64 * start) as usize);
        let to = floor((from + length).min(text.len())).max(from);
        let corrupted = format!("{}{patch}{}", &text[..from], &text[to..]);
        if let Err(problems) = parse_config("damaged", &corrupted) {
            prop_assert!(!problems.is_empty());
            let lines = corrupted.split('\n').count();
            for problem in problems {
                prop_assert!(problem.line >= 1 && problem.line <= lines, "{}", problem);
            }
        }
    }
}

/// A reordered list is reported as one change, however long the list is.
#[test]
fn reordering_is_one_change() {
    let old = example(1);
    let mut new = old.clone();
    new.organisations.reverse();
    let changes = diff_config(&old, &new);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].kind, ChangeKind::Reordered);
}
