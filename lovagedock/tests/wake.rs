//! A wake-up time is cleared once it is due.

use std::time::Duration;

use lovagedock::WakeTimer;

const MAX_DELAY: Duration = Duration::from_secs(60);

/// A task of a claim partition kept a wake-up time after it was due, although there was nothing
/// else to do. It woke up in a busy loop and used 33 s of processor time where 2 s were needed. A
/// due time must be returned only once.
#[test]
fn a_due_time_is_cleared() {
    let mut timer = WakeTimer::new();
    timer.set(Duration::from_secs(5));
    assert_eq!(
        timer.next(Duration::from_secs(1), MAX_DELAY),
        Duration::from_secs(5)
    );
    assert!(!timer.clear_if_due(Duration::from_secs(4)));
    assert!(timer.clear_if_due(Duration::from_secs(5)));
    assert!(!timer.clear_if_due(Duration::from_secs(6)));
    let next = timer.next(Duration::from_secs(6), MAX_DELAY);
    assert_eq!(next, Duration::from_secs(66));
}

#[test]
fn the_last_time_is_used_and_capped_at_the_maximum_delay() {
    let mut timer = WakeTimer::new();
    timer.set(Duration::from_secs(500));
    assert_eq!(timer.next(Duration::ZERO, MAX_DELAY), MAX_DELAY);
    timer.set(Duration::from_secs(2));
    assert_eq!(
        timer.next(Duration::ZERO, MAX_DELAY),
        Duration::from_secs(2)
    );
}
