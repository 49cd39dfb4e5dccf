//! Each violation counter can count, and counts nothing in journals that keep the promises.

mod cases;
mod records;

use cases::{CASES, NONE};

#[test]
fn each_violation_is_counted_once_and_nothing_else_is() {
    for case in CASES {
        let counts = (case.journals)().count();
        assert_eq!(counts, case.expected, "{}", case.name);
    }
}

/// Counters that count calls; the others count starts, deliveries and blocks.
const CALL_COUNTERS: [&str; 5] = [
    "no_outcome_in_time",
    "cut_answers",
    "wrong_answers",
    "ran_after_not_run",
    "cut_by_shutdown",
];

#[test]
fn each_counted_call_is_named() {
    for case in CASES {
        let (counts, notes) = (case.journals)().examine();
        let named = counts.named();
        let calls = named
            .iter()
            .filter(|(name, _)| CALL_COUNTERS.contains(name));
        for (counter, count) in calls {
            let noted = notes.iter().filter(|note| note.counter == *counter);
            assert_eq!(noted.count() as u64, *count, "{}: {counter}", case.name);
        }
    }
}

#[test]
fn every_counter_has_a_case_that_moves_it() {
    for (index, (name, _)) in NONE.named().iter().enumerate() {
        let moved = CASES.iter().any(|case| case.expected.named()[index].1 > 0);
        assert!(moved, "{name}");
    }
}
