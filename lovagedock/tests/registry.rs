//! Placement policies are registered and found by name.

use lovagedock::{PlacementSpec, UnknownPolicy, build_policy, policy_names};

fn spec(policy: &str) -> PlacementSpec {
    PlacementSpec {
        policy: policy.to_owned(),
        ..PlacementSpec::default()
    }
}

#[test]
fn all_policies_are_registered_and_can_be_built() {
    let names = policy_names();
    assert_eq!(
        names,
        [
            "least-outstanding",
            "length-aware",
            "random",
            "round-robin",
            "two-choices"
        ]
    );
    for name in names {
        assert!(build_policy(&spec(name)).is_ok(), "{name}");
    }
}

#[test]
fn default_configuration_names_a_registered_policy() {
    assert!(build_policy(&PlacementSpec::default()).is_ok());
}

#[test]
fn unknown_policies_are_rejected_with_the_nearest_name() {
    struct Case {
        name: &'static str,
        nearest: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "lenght-aware",
            nearest: Some("length-aware"),
        },
        Case {
            name: "round_robin",
            nearest: Some("round-robin"),
        },
        Case {
            name: "something else entirely",
            nearest: None,
        },
    ];
    for case in cases {
        let error = build_policy(&spec(case.name)).err();
        let expected = UnknownPolicy {
            name: case.name.to_owned(),
            nearest: case.nearest,
        };
        assert_eq!(error, Some(expected));
    }
}
