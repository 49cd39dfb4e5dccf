//! A request that ends each engine that starts it, brought again and again to a fleet with sidecars.
//!
//! A caller asks; the engine that starts the request dies, its connection breaks, and the gateway sends
//! the request to the next engine, which dies as well. The caller gets a failure and asks another
//! gateway. Counted by nobody, the request ends an engine with each attempt.

mod promise_support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use lovagedock_standin::engine::{EngineFault, RunningEngine};
use promise_support::{
    caller,
    caller::{Call, Ending},
    engines, plan, start, starts_at,
};
use tokio::time::sleep;

const PROMPT: &str = "The barque Harith, whose entry no engine survives.";
const TOKENS: u64 = 300;

/// Time for which an engine is dead, and time between two visits of the caller: peers tell each other
/// every second.
const DEAD_TIME: Duration = Duration::from_millis(100);
const VISIT_TIME: Duration = Duration::from_millis(1500);
const VISITS: usize = 8;

/// Engines that may end: three until the request is known for what it is, and three more for what was
/// on its way meanwhile.
const MOST_ENDS: usize = 6;

/// Ends an engine whenever it starts a request.
async fn end_on_start(engine: RunningEngine, ends: Arc<AtomicUsize>) {
    let mut seen = starts_at(&engine);
    loop {
        sleep(Duration::from_millis(2)).await;
        if starts_at(&engine) == seen {
            continue;
        }
        engine.handle.set_fault(EngineFault::Crash);
        ends.fetch_add(1, Ordering::SeqCst);
        sleep(DEAD_TIME).await;
        engine.handle.set_fault(EngineFault::None);
        seen = starts_at(&engine);
    }
}

/// Returns a prompt with a text that others share after one of its own.
fn prompt_with_shared_part(number: usize) -> String {
    let shared: String = (0..2000)
        .map(|line| format!("{line}: {PROMPT}\n"))
        .collect();
    format!("Visit {number} asks for more than the one before.\n{shared}\nVisit {number}.")
}

/// Guards against a part of prompts that ends one engine after another, in fleets with sidecars,
/// because no two requests with it are alike.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_ends_engines_behind_sidecars_is_stopped() {
    let fleet = start(plan()).await;
    let ends = Arc::new(AtomicUsize::new(0));
    for engine in engines(&fleet) {
        tokio::spawn(end_on_start(engine.clone(), Arc::clone(&ends)));
    }
    for visit in 0..VISITS {
        let caller = caller(&fleet, visit % fleet.gateways.len());
        let prompt = prompt_with_shared_part(visit);
        let reply = caller.call(&Call::whole(&prompt, TOKENS)).await;
        assert!(!matches!(reply.ending, Ending::Whole(_)), "{reply:?}");
        sleep(VISIT_TIME).await;
    }
    let ends = ends.load(Ordering::SeqCst);
    assert!((3..=MOST_ENDS).contains(&ends), "{ends} engines ended");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_ends_engines_behind_sidecars_is_stopped() {
    let fleet = start(plan()).await;
    let ends = Arc::new(AtomicUsize::new(0));
    for engine in engines(&fleet) {
        tokio::spawn(end_on_start(engine.clone(), Arc::clone(&ends)));
    }
    for visit in 0..VISITS {
        let caller = caller(&fleet, visit % fleet.gateways.len());
        let reply = caller.call(&Call::whole(PROMPT, TOKENS)).await;
        assert!(!matches!(reply.ending, Ending::Whole(_)), "{reply:?}");
        sleep(VISIT_TIME).await;
    }
    let ends = ends.load(Ordering::SeqCst);
    assert!((3..=MOST_ENDS).contains(&ends), "{ends} engines ended");
}
