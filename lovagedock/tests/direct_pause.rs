//! What a gateway does with what it believed before its process was stopped.
//!
//! A gateway is frozen for seconds with requests that wait. In the moment in which it wakes, its loads of
//! engines are as old as the stop, and what its peers have told since is still in its sockets.

use std::time::Duration;

use lovagedock::PauseDetector;

const INTERVAL: Duration = Duration::from_millis(250);

struct StoppageCase {
    name: &'static str,
    /// Time without a look, in milliseconds.
    gap_ms: u64,
    /// Time since the look that ended it.
    after_ms: u64,
    waits: bool,
    stopped: bool,
}

#[test]
fn placements_wait_for_messages_received_during_a_pause() {
    let cases = [
        StoppageCase {
            name: "looks come in time",
            gap_ms: 250,
            after_ms: 0,
            waits: false,
            stopped: false,
        },
        StoppageCase {
            name: "a busy process",
            gap_ms: 700,
            after_ms: 0,
            waits: false,
            stopped: false,
        },
        StoppageCase {
            name: "just woken",
            gap_ms: 2_600,
            after_ms: 0,
            waits: true,
            stopped: true,
        },
        StoppageCase {
            name: "a while after it woke",
            gap_ms: 2_600,
            after_ms: 61,
            waits: false,
            stopped: true,
        },
    ];
    for case in cases {
        let mut watch = PauseDetector::new();
        let start = Duration::from_secs(5);
        watch.record_tick(start, INTERVAL);
        watch.record_tick(start + INTERVAL, INTERVAL);
        let woke = start + INTERVAL + Duration::from_millis(case.gap_ms);
        let is_late = watch.remaining_wait(woke, INTERVAL).is_some();
        assert_eq!(is_late, case.stopped, "{}: before the look", case.name);
        let stopped = watch.record_tick(woke, INTERVAL).is_some();
        assert_eq!(stopped, case.stopped, "{}", case.name);
        let now = woke + Duration::from_millis(case.after_ms);
        assert_eq!(
            watch.remaining_wait(now, INTERVAL).is_some(),
            case.waits,
            "{}",
            case.name
        );
    }
}
