//! Tests which failure domains count as drained.

use std::time::Duration;

use lovagedock::{DomainDrains, DrainSnapshot, StorePosition, prelude::*};

/// Time after which a domain that a restored store does not list counts as restored.
const SETTLE_TIME: Duration = Duration::from_millis(2200);

#[derive(Clone, Copy)]
enum Step {
    /// A complete state from the store or a peer: era, revision, domains, missing domains.
    Snapshot(u64, u64, &'static [&'static str], &'static [&'static str]),
    /// A change of one domain: era, revision, domain, whether it is drained.
    Entry(u64, u64, &'static str, bool),
    /// Time passes, and what did not reappear is dropped.
    Settle(Duration),
}

struct DrainCase {
    name: &'static str,
    steps: &'static [Step],
    drained: &'static [&'static str],
}

const CASES: &[DrainCase] = &[
    DrainCase {
        name: "a domain is drained and restored",
        steps: &[
            Step::Snapshot(0, 1, &[], &[]),
            Step::Entry(0, 2, "a", true),
            Step::Entry(0, 3, "a", false),
        ],
        drained: &[],
    },
    DrainCase {
        name: "an older state of a peer does not restore a domain",
        steps: &[
            Step::Snapshot(0, 5, &["a"], &[]),
            Step::Snapshot(0, 4, &[], &[]),
        ],
        drained: &["a"],
    },
    DrainCase {
        name: "a late change does not restore a domain",
        steps: &[
            Step::Snapshot(0, 5, &["a"], &[]),
            Step::Entry(0, 4, "a", false),
        ],
        drained: &["a"],
    },
    DrainCase {
        name: "several changes of one position all count",
        steps: &[
            Step::Snapshot(0, 1, &[], &[]),
            Step::Entry(0, 4, "a", true),
            Step::Entry(0, 4, "b", true),
            Step::Entry(0, 4, "a", false),
        ],
        drained: &["b"],
    },
    DrainCase {
        name: "a restored store that lost the entry does not restore the domain at once",
        steps: &[
            Step::Snapshot(0, 50, &["a"], &[]),
            Step::Snapshot(1, 40, &[], &[]),
            Step::Settle(Duration::from_millis(2000)),
        ],
        drained: &["a"],
    },
    DrainCase {
        name: "a domain that does not reappear in a restored store is restored",
        steps: &[
            Step::Snapshot(0, 50, &["a"], &[]),
            Step::Snapshot(1, 40, &[], &[]),
            Step::Settle(SETTLE_TIME),
        ],
        drained: &[],
    },
    DrainCase {
        name: "an entry that is written again after a restore counts on",
        steps: &[
            Step::Snapshot(0, 50, &["a"], &[]),
            Step::Snapshot(1, 40, &[], &[]),
            Step::Entry(1, 41, "a", true),
            Step::Settle(SETTLE_TIME),
        ],
        drained: &["a"],
    },
    DrainCase {
        name: "an operator restores a domain after the store was restored",
        steps: &[
            Step::Snapshot(0, 50, &["a"], &[]),
            Step::Snapshot(1, 40, &[], &[]),
            Step::Entry(1, 41, "a", false),
        ],
        drained: &[],
    },
    DrainCase {
        name: "a peer of the former era changes nothing",
        steps: &[
            Step::Snapshot(1, 40, &["a"], &[]),
            Step::Snapshot(0, 90, &["b"], &[]),
        ],
        drained: &["a"],
    },
    DrainCase {
        name: "a starting gateway keeps what a peer keeps after a restore",
        steps: &[Step::Snapshot(1, 40, &["b"], &["a"])],
        drained: &["a", "b"],
    },
    DrainCase {
        name: "what a peer keeps after a restore ends as well",
        steps: &[
            Step::Snapshot(1, 40, &["b"], &["a"]),
            Step::Settle(SETTLE_TIME),
        ],
        drained: &["b"],
    },
];

/// Guards against work for a drained domain, or none for a restored one, by outdated news.
#[test]
fn the_newest_state_counts() {
    for case in CASES {
        let mut now = Duration::from_secs(10);
        let mut drains = DomainDrains::new();
        for step in case.steps {
            match *step {
                Step::Snapshot(era, revision, domains, missing) => {
                    drains.apply_snapshot(now, snapshot(era, revision, domains, missing));
                }
                Step::Entry(era, revision, domain, is_drained) => {
                    let position = StorePosition::new(era, revision);
                    drains.apply_entry(position, domain.into(), is_drained);
                }
                Step::Settle(passed) => {
                    now += passed;
                    drains.settle(now);
                }
            }
        }
        let drained: Vec<DomainId> = drains.domains().into_iter().collect();
        let drained: Vec<&str> = drained.iter().map(|domain| &**domain).collect();
        assert_eq!(drained, case.drained, "{}", case.name);
        for domain in ["a", "b"] {
            let expected = case.drained.contains(&domain);
            assert_eq!(drains.is_drained(&domain.into()), expected, "{}", case.name);
        }
    }
}

/// Guards against a gateway that sends requests before it knows which domains are drained.
#[test]
fn the_state_is_unknown_until_it_was_read() {
    let mut drains = DomainDrains::new();
    assert!(!drains.is_known());
    assert_eq!(drains.snapshot(), None);
    drains.apply_snapshot(Duration::ZERO, snapshot(0, 0, &[], &[]));
    assert!(drains.is_known());
}

fn snapshot(era: u64, revision: u64, domains: &[&str], missing: &[&str]) -> DrainSnapshot {
    let names = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    DrainSnapshot {
        position: StorePosition::new(era, revision),
        domains: names(domains),
        missing: names(missing),
    }
}
