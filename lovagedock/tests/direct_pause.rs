//! Tests of decisions after a pause of the gateway's process.
//!
//! A gateway with waiting requests is paused for seconds. When it resumes, its loads of engines are
//! as old as the pause, and the messages that peers have sent since are still in its sockets.

use std::time::Duration;

use lovagedock::PauseDetector;

const INTERVAL: Duration = Duration::from_millis(250);

struct PauseCase {
    name: &'static str,
    /// Time without a tick, in milliseconds.
    gap_ms: u64,
    /// Time since the tick that ended the pause.
    after_ms: u64,
    waits: bool,
    paused: bool,
}

#[test]
fn placements_wait_for_messages_received_during_a_pause() {
    let cases = [
        PauseCase {
            name: "ticks on time",
            gap_ms: 250,
            after_ms: 0,
            waits: false,
            paused: false,
        },
        PauseCase {
            name: "a busy process",
            gap_ms: 700,
            after_ms: 0,
            waits: false,
            paused: false,
        },
        PauseCase {
            name: "just resumed",
            gap_ms: 2_600,
            after_ms: 0,
            waits: true,
            paused: true,
        },
        PauseCase {
            name: "some time after resuming",
            gap_ms: 2_600,
            after_ms: 61,
            waits: false,
            paused: true,
        },
    ];
    for case in cases {
        let mut detector = PauseDetector::new();
        let start = Duration::from_secs(5);
        detector.record_tick(start, INTERVAL);
        detector.record_tick(start + INTERVAL, INTERVAL);
        let resumed_at = start + INTERVAL + Duration::from_millis(case.gap_ms);
        let is_late = detector.remaining_wait(resumed_at, INTERVAL).is_some();
        assert_eq!(is_late, case.paused, "{}: before the tick", case.name);
        let paused = detector.record_tick(resumed_at, INTERVAL).is_some();
        assert_eq!(paused, case.paused, "{}", case.name);
        let now = resumed_at + Duration::from_millis(case.after_ms);
        assert_eq!(
            detector.remaining_wait(now, INTERVAL).is_some(),
            case.waits,
            "{}",
            case.name
        );
    }
}
