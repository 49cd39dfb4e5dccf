//! Tests of engines that are slower than declared.

mod direct_support;

use lovagedock::{EndpointProcess, SlowdownTracker};

use direct_support::{VirtualPool, ms, short};

fn engine() -> EndpointProcess {
    EndpointProcess::new("engine-00", 1)
}

/// Guards against requests that are sent to an engine that takes four times as long although
/// nothing fails there.
///
/// The engine sends an event every 240 ms where 60 ms were expected. After a few events, its first
/// events are predicted four times as late, and short requests are placed elsewhere.
#[test]
fn a_slow_engine_is_found_by_its_events_and_avoided() {
    let mut tracker = SlowdownTracker::new();
    for event in 0..20 {
        tracker.record(ms(event * 240), &engine(), ms(240), ms(60));
    }
    let now = ms(20 * 240);
    let slowdown = tracker.slowdown(now, &engine());
    assert!((3.5..=4.0).contains(&slowdown), "{slowdown}");
    let pool = VirtualPool::new(3);
    let mut candidates = pool.candidates();
    candidates[0].load.slowdown = slowdown as f32;
    let placer = lovagedock::DirectPlacer::new(Some(&direct_support::PROFILE));
    let choice = placer.place(&short(), &candidates).expect("slots are free");
    assert_ne!(candidates[choice.lead].endpoint.process, engine());
}

/// Guards against an engine that counts as slow because it prefills a prompt between two events.
#[test]
fn single_long_gaps_do_not_count() {
    let mut tracker = SlowdownTracker::new();
    for event in 0..40 {
        let gap = if event % 3 == 0 { ms(500) } else { ms(62) };
        tracker.record(ms(event * 100), &engine(), gap, ms(60));
    }
    assert_eq!(tracker.slowdown(ms(4_000), &engine()), 1.0);
}

/// Guards against an engine that is avoided forever after it was slow, and against measurements of
/// an engine that is gone.
#[test]
fn a_measured_slowdown_decays() {
    let mut tracker = SlowdownTracker::new();
    for event in 0..20 {
        tracker.record(ms(event * 240), &engine(), ms(240), ms(60));
    }
    assert!(tracker.slowdown(ms(5_000), &engine()) > 3.0);
    assert_eq!(tracker.slowdown(ms(12_000), &engine()), 1.0);
    tracker.forget(&engine());
    assert_eq!(tracker.slowdown(ms(5_000), &engine()), 1.0);
}
