//! Engines that die or hang under a request: what the caller sees, and how often it ran.

mod promise_support;

use std::time::Duration;

use lovagedock_standin::engine::EngineFault;
use promise_support::{
    caller::{Call, Caller, Ending, Problem},
    engines, plan, running_engine, service, start, starts, until,
};

const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
/// Long enough that the fault comes while the answer is made.
const TOKENS: u64 = 300;

/// How a call must end when its engine is lost.
#[derive(Clone, Copy, Debug)]
enum Expected {
    /// Another engine gives the whole answer.
    Whole,
    /// A problem in place of an answer.
    Refused { code: u64, ran: &'static str },
    /// The stream breaks and names a problem.
    Broken { code: u64, ran: &'static str },
}

struct EngineCase {
    name: &'static str,
    call: Call,
    /// Whether the fault comes after the first byte has reached the caller.
    after_first_byte: bool,
    expected: Expected,
    /// Starts over all engines.
    starts: usize,
}

fn cases() -> Vec<EngineCase> {
    let streamed = Call::streamed(PROMPT, TOKENS);
    let once = Call::once(PROMPT, TOKENS);
    vec![
        EngineCase {
            name: "streamed, after the first byte",
            call: streamed,
            after_first_byte: true,
            expected: Expected::Broken {
                code: 3002,
                ran: "yes",
            },
            starts: 1,
        },
        EngineCase {
            name: "whole answer that may be repeated",
            call: Call::whole(PROMPT, TOKENS),
            after_first_byte: false,
            expected: Expected::Whole,
            starts: 2,
        },
        EngineCase {
            name: "must not be repeated",
            call: once.clone(),
            after_first_byte: false,
            expected: Expected::Refused {
                code: 3001,
                ran: "unknown",
            },
            starts: 1,
        },
        EngineCase {
            name: "must not be repeated, with a key",
            call: once.with_key("trace-1"),
            after_first_byte: false,
            expected: Expected::Refused {
                code: 3001,
                ran: "unknown",
            },
            starts: 1,
        },
    ]
}

async fn play(fault: EngineFault, case: EngineCase) {
    let fleet = start(plan()).await;
    let caller = Caller::new(fleet.gateways[0].gateway.callers_address());
    let reply = if case.after_first_byte {
        let response = caller.open(&case.call).await.expect("a status");
        let engine = running_engine(&fleet).await;
        engines(&fleet)[engine].handle.set_fault(fault);
        promise_support::caller::read(&case.call, response).await
    } else {
        let calling = caller.spawn(case.call.clone());
        let engine = running_engine(&fleet).await;
        engines(&fleet)[engine].handle.set_fault(fault);
        calling.await.expect("the call is judged")
    };
    let name = case.name;
    match case.expected {
        Expected::Whole => assert!(reply.is_whole(), "{fault:?}, {name}: {reply:?}"),
        Expected::Refused { code, ran } => {
            let expected = Ending::Refused(Problem::new(code, ran));
            assert_eq!(reply.ending, expected, "{fault:?}, {name}");
        }
        Expected::Broken { code, ran } => {
            let expected = Ending::Broken(Some(Problem::new(code, ran)));
            assert_eq!(reply.ending, expected, "{fault:?}, {name}");
        }
    }
    let starts: usize = starts(&fleet).values().sum();
    assert_eq!(starts, case.starts, "{fault:?}, {name}");
}

/// An engine dies while it works on a request. A caller that has bytes sees its stream break with
/// the reason; one that has none gets the answer of another engine, or, if the call must not run
/// twice, is told that it may have run. The engine cannot be asked any more, so nothing else is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_engine_ends_its_requests_truthfully() {
    let played = cases().into_iter();
    futures::future::join_all(played.map(|case| play(EngineFault::Crash, case))).await;
}

/// An engine hangs: its connections stay open and nothing moves. A whole answer gives no sign until
/// it is there, so without bounded looks at the engine its caller would wait until the deadline, a
/// minute later. The looks fail, the engine counts as down, and the request ends or goes elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hung_engine_ends_its_requests_truthfully() {
    let played = cases().into_iter();
    futures::future::join_all(played.map(|case| play(EngineFault::Hang, case))).await;
}

/// A service dies while it works on a receipt. Whether the receipt took effect is not known, so the
/// caller is told so, and the gateway must not send it again: the journal has it once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_service_leaves_the_outcome_unknown() {
    let fleet = start(plan().with_service_time(Duration::from_secs(30))).await;
    let caller = Caller::new(fleet.gateways[0].gateway.callers_address());
    let calling = caller.spawn(Call::receipt(5));
    until(async || !service(&fleet).journal.runs().is_empty()).await;
    service(&fleet).kill();
    let reply = calling.await.expect("the call is judged");
    let expected = Ending::Refused(Problem::new(3001, "unknown"));
    assert_eq!(reply.ending, expected);
    assert_eq!(service(&fleet).journal.runs().len(), 1);
}

/// A lawyer's client repeats an ownership trace whose engine died under it. The first outcome is
/// unknown, so the repeat with the same key must neither run nor look complete: it reads the same
/// failure, through another gateway, and long before the first request's deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keyed_repeat_after_a_death_does_not_run() {
    let fleet = start(plan()).await;
    let call = Call::once(PROMPT, TOKENS)
        .with_key("trace-2")
        .with_deadline_ms(600_000);
    let first = promise_support::caller(&fleet, 0).spawn(call.clone());
    let engine = running_engine(&fleet).await;
    engines(&fleet)[engine].handle.set_fault(EngineFault::Crash);
    let first = first.await.expect("the call is judged");
    assert_eq!(first.ending, Ending::Refused(Problem::new(3001, "unknown")));
    let again = promise_support::caller(&fleet, 1).call(&call).await;
    assert_eq!(again.ending, first.ending);
    assert_eq!(starts(&fleet).values().sum::<usize>(), 1);
}

/// Callers vanish, some before the status and some after the first bytes. Nobody reads what the
/// engines make for them; unless they are told to cancel, the engines hold the memory of these
/// requests to their end. No answer is as long as the wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_vanish_leave_no_memory_held() {
    let fleet = start(plan()).await;
    let caller = promise_support::caller(&fleet, 0);
    let endless = Call::streamed(PROMPT, 3_000).with_deadline_ms(600_000);
    let opened = caller.open(&endless).await.expect("a status");
    let silent = Call::whole(PROMPT, 3_000).with_deadline_ms(600_000);
    let waiting = caller.spawn(silent);
    until(async || starts(&fleet).len() == 2).await;
    drop(opened);
    waiting.abort();
    let held = || {
        engines(&fleet)
            .iter()
            .map(|engine| engine.handle.allocated_blocks())
            .sum::<u64>()
    };
    assert!(held() > 0);
    until(async || held() == 0).await;
}
