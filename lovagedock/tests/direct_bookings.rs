//! Size classes of long prompts that are started too seldom, and the teams booked for them.

use std::time::Duration;

use lovagedock::{
    LengthBand, LengthOutcome, LengthShares, TeamBooking, TeamBookings, max_kept_endpoints,
    may_book_team, prelude::*,
};

const ROUTE: u32 = 1;
const NOW: Timestamp = Duration::from_secs(30);

struct OwedCase {
    name: &'static str,
    /// Prompts asked for and started, by length.
    counts: &'static [(TokenCount, u32, u32)],
    prompt: TokenCount,
    /// Whether prompts of the size of `prompt` are owed a start.
    is_owed: bool,
}

const OWED_CASES: &[OwedCase] = &[
    OwedCase {
        name: "nothing is known",
        counts: &[],
        prompt: 800_000,
        is_owed: false,
    },
    OwedCase {
        name: "all sizes are started",
        counts: &[(200_000, 40, 40), (800_000, 10, 10)],
        prompt: 800_000,
        is_owed: false,
    },
    OwedCase {
        name: "all sizes are started equally seldom",
        counts: &[(200_000, 40, 8), (800_000, 10, 2)],
        prompt: 800_000,
        is_owed: false,
    },
    OwedCase {
        name: "the largest are started less than half as often",
        counts: &[(200_000, 40, 40), (800_000, 10, 3)],
        prompt: 800_000,
        is_owed: true,
    },
    OwedCase {
        name: "the largest are owed, not those of another size",
        counts: &[(200_000, 40, 40), (800_000, 10, 3)],
        prompt: 200_000,
        is_owed: false,
    },
    OwedCase {
        name: "a size in the middle",
        counts: &[(200_000, 40, 40), (400_000, 20, 4), (800_000, 10, 8)],
        prompt: 400_000,
        is_owed: true,
    },
    OwedCase {
        name: "few prompts belong to the class below",
        counts: &[(200_000, 40, 40), (600_000, 10, 10), (990_000, 1, 0)],
        prompt: 990_000,
        is_owed: false,
    },
];

fn outcome(prompt: TokenCount, is_new: bool, is_started: bool) -> LengthOutcome {
    LengthOutcome {
        route: ROUTE,
        band: LengthBand::new(prompt),
        is_new,
        is_started,
    }
}

fn shares(counts: &[(TokenCount, u32, u32)]) -> LengthShares {
    let mut shares = LengthShares::new();
    for (prompt, asked, started) in counts {
        for index in 0..*asked {
            shares.record(NOW, outcome(*prompt, true, index < *started));
        }
    }
    shares
}

/// Guards against teams that are kept for sizes that do not fall behind.
#[test]
fn only_sizes_that_fall_behind_are_owed_a_start() {
    for case in OWED_CASES {
        let shares = shares(case.counts);
        let class = shares.size_class(NOW, ROUTE, LengthBand::new(case.prompt));
        let owed = shares.owed(NOW, ROUTE, class);
        assert_eq!(owed > 0.0, case.is_owed, "{}: {owed}", case.name);
    }
}

/// Guards against a prompt that counts twice because it returns after a refusal.
#[test]
fn a_returning_prompt_is_asked_for_once() {
    let mut shares = shares(&[(200_000, 40, 40), (800_000, 10, 0)]);
    let class = LengthBand::new(800_000);
    let before = shares.owed(NOW, ROUTE, class);
    shares.record(NOW, outcome(800_000, false, true));
    let after = shares.owed(NOW, ROUTE, class);
    // The share of all prompts that are started rises a little as well.
    assert!(after < before - 0.8, "{before} {after}");
}

/// Guards against counts that outlive the load that they come from.
#[test]
fn old_outcomes_count_less() {
    let shares = shares(&[(200_000, 40, 40), (800_000, 10, 0)]);
    let class = LengthBand::new(800_000);
    let owed = shares.owed(NOW, ROUTE, class);
    let later = shares.owed(NOW + Duration::from_secs(300), ROUTE, class);
    assert!(later < owed / 100.0, "{owed} {later}");
}

fn booking(class: TokenCount, width: usize, since: Timestamp) -> TeamBooking {
    TeamBooking {
        route: ROUTE,
        class: LengthBand::new(class),
        width,
        since,
        is_waiting: true,
    }
}

/// Guards against more teams that wait than prompts are owed a start.
#[test]
fn no_more_teams_are_booked_than_are_owed() {
    let mut bookings = TeamBookings::new();
    let large = booking(800_000, 12, NOW);
    assert_eq!(bookings.book(large, 0.0), None, "nothing is owed");
    let first = bookings.book(large, 1.4).expect("one is owed");
    bookings.set_peer(&"peer".into(), vec![large]);
    assert_eq!(bookings.book(large, 1.4), None, "one here and one there");
    assert_eq!(bookings.book(large, 2.0), None, "as many as are owed");
    bookings.start(first.key);
    assert!(bookings.book(large, 1.4).is_some(), "one team has started");
}

/// Guards against a team of a small prompt that takes the endpoints kept for a larger one, and against
/// endpoints that stay kept after a booking has ended or its gateway is gone.
#[test]
fn endpoints_are_kept_while_bookings_last() {
    let mut bookings = TeamBookings::new();
    let peer: GatewayId = "peer".into();
    let small = bookings.book(booking(400_000, 6, NOW), 1.0);
    let small = small.map(|team| team.key);
    bookings.set_peer(&peer, vec![booking(800_000, 12, NOW)]);
    assert_eq!(bookings.kept_from(NOW, None), 18);
    assert_eq!(bookings.kept_from(NOW, small), 12);
    let lost = NOW + Duration::from_secs(20);
    assert_eq!(bookings.kept_from(lost, small), 0, "its end was lost");
    bookings.forget_peer(&peer);
    assert_eq!(bookings.kept_from(NOW, None), 6);
    bookings.end(small.expect("one is owed"));
    assert_eq!(bookings.kept_from(NOW, None), 0);
}

/// Guards against a pool in which booked teams leave nothing to other long prompts.
#[test]
fn some_endpoints_are_never_kept() {
    for (outside, kept) in [(0, 0), (1, 0), (2, 1), (8, 6), (100, 75)] {
        assert_eq!(max_kept_endpoints(outside), kept, "{outside}");
    }
}

/// Guards against a booking for a prompt that will be late when its team has come together.
#[test]
fn a_prompt_books_early_or_not_at_all() {
    let objective = Duration::from_secs(4);
    assert!(may_book_team(Duration::from_millis(800), objective));
    assert!(!may_book_team(Duration::from_millis(900), objective));
}
