//! Connections between gateway and sidecar that go silent or break, and processes that are gone.

mod promise_support;

use std::time::Duration;

use lovagedock_daemon::DaemonContext;
use lovagedock_sidecar::Sidecar;
use lovagedock_standin::fleet::{FleetPlan, LocalFleet};
use promise_support::{
    caller,
    caller::{Call, Caller, Ending, Problem, Reply},
    engines, plan,
    relay::LinkFault,
    relay::TcpRelay,
    running_engine, service, start, start_behind_relays, starts, until,
};
use slog::{Discard, Logger, o};

const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
/// An answer that takes longer than it takes to find a silent connection.
const TOKENS: u64 = 300;
/// A call of the service that takes longer than that, too.
const SERVICE_TIME: Duration = Duration::from_secs(2);

fn slow_plan() -> FleetPlan {
    plan().with_service_time(SERVICE_TIME)
}

struct LinkCase {
    name: &'static str,
    call: Call,
    after_first_byte: bool,
}

fn link_cases() -> Vec<LinkCase> {
    vec![
        LinkCase {
            name: "streamed, after the first byte",
            call: Call::streamed(PROMPT, TOKENS),
            after_first_byte: true,
        },
        LinkCase {
            name: "whole answer",
            call: Call::whole(PROMPT, TOKENS),
            after_first_byte: false,
        },
        LinkCase {
            name: "must not be repeated, on an engine",
            call: Call::once(PROMPT, TOKENS),
            after_first_byte: false,
        },
        LinkCase {
            name: "must not be repeated, on a service",
            call: Call::receipt(5),
            after_first_byte: false,
        },
        LinkCase {
            name: "must not be repeated, with a key",
            call: Call::receipt(5).with_key("receipt-5"),
            after_first_byte: false,
        },
    ]
}

async fn started(fleet: &LocalFleet) {
    until(async || !starts(fleet).is_empty()).await;
}

/// Calls, lets `strike` happen while the call runs, and returns the answer.
async fn struck(fleet: &LocalFleet, case: &LinkCase, strike: impl AsyncFnOnce()) -> Reply {
    let caller = caller(fleet, 0);
    if !case.after_first_byte {
        let calling = caller.spawn(case.call.clone());
        started(fleet).await;
        strike().await;
        return calling.await.expect("the call is judged");
    }
    let response = caller.open(&case.call).await.expect("a status");
    started(fleet).await;
    strike().await;
    promise_support::caller::read(&case.call, response).await
}

async fn play_link(fault: LinkFault, case: LinkCase) {
    let (fleet, relays) = start_behind_relays(slow_plan()).await;
    let strike = async || relays.iter().for_each(|relay| relay.strike(fault));
    let reply = struck(&fleet, &case, strike).await;
    assert!(reply.is_whole(), "{fault:?}, {}: {reply:?}", case.name);
    let starts = starts(&fleet);
    let counts: Vec<usize> = starts.values().copied().collect();
    assert_eq!(
        counts,
        [1],
        "{fault:?}, {}: call {}, starts by id {starts:?}",
        case.name,
        reply.id
    );
}

/// All connections to the sidecars go silent for good while a call runs, and new ones work. The
/// caller notices nothing: the gateway misses a heartbeat, goes on with the answer from its offset
/// on a new connection, and the call has run once. The old connection never says that it is dead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_costs_no_answer() {
    let played = link_cases().into_iter();
    futures::future::join_all(played.map(|case| play_link(LinkFault::Silent, case))).await;
}

/// All connections to the sidecars break while a call runs. The same holds as for silent ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_connection_costs_no_answer() {
    let played = link_cases().into_iter();
    futures::future::join_all(played.map(|case| play_link(LinkFault::Cut, case))).await;
}

async fn play_cut_off(case: LinkCase) {
    let (fleet, relays) = start_behind_relays(slow_plan()).await;
    let strike = async || {
        relays.iter().for_each(TcpRelay::refuse_new);
        relays
            .iter()
            .for_each(|relay| relay.strike(LinkFault::Silent));
    };
    let reply = struck(&fleet, &case, strike).await;
    let problem = reply
        .problem()
        .unwrap_or_else(|| panic!("{}: {reply:?}", case.name));
    assert_ne!(problem.ran, "no", "{}: {reply:?}", case.name);
    assert_eq!(problem.code / 1000, 3, "{}: {reply:?}", case.name);
    let starts: Vec<usize> = starts(&fleet).into_values().collect();
    assert_eq!(starts, [1], "{}", case.name);
}

/// The connections go silent and no new one comes about, so nobody can ask what became of the
/// call. It runs on beyond the gateway's reach. The caller is told that it ran or may have run,
/// never that it did not, and long before its deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_is_cut_off_does_not_guess() {
    futures::future::join_all(link_cases().into_iter().map(play_cut_off)).await;
}

/// A sidecar is killed while its engine works on a trace that must not run twice, and starts again
/// as another life. The new life cannot know of the trace, so the caller is told "unknown". The
/// engine goes on with it for nobody; the new life finds it in the engine's account and frees it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_sidecar_leaves_no_second_run_and_no_memory() {
    let mut fleet = start(plan().with_drain(Duration::ZERO)).await;
    let long = Call::once(PROMPT, 3_000).with_deadline_ms(600_000);
    let calling = caller(&fleet, 0).spawn(long);
    let place = running_engine(&fleet).await;
    restart(&mut fleet, place).await;
    let reply = calling.await.expect("the call is judged");
    let expected = Ending::Refused(Problem::new(3001, "unknown"));
    assert_eq!(reply.ending, expected);
    assert_eq!(starts(&fleet).into_values().collect::<Vec<_>>(), [1]);
    let engine = engines(&fleet)[place].handle.clone();
    until(async || engine.allocated_blocks() == 0).await;
}

/// The same death under a call that may be repeated: the caller gets a whole answer all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_sidecar_costs_no_repeatable_answer() {
    let mut fleet = start(plan().with_drain(Duration::ZERO)).await;
    let calling = caller(&fleet, 0).spawn(Call::whole(PROMPT, TOKENS));
    let place = running_engine(&fleet).await;
    restart(&mut fleet, place).await;
    let reply = calling.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
}

/// Kills a sidecar and starts it again at its address.
async fn restart(fleet: &mut LocalFleet, place: usize) {
    let endpoint = &mut fleet.endpoints[place];
    endpoint.daemon.shutdown.trigger();
    let sidecar = endpoint.sidecar.take().expect("it runs");
    sidecar.wait().await.expect("it ends");
    endpoint.daemon = DaemonContext::new(Logger::root(Discard, o!()));
    let started = Sidecar::start(endpoint.settings.clone(), endpoint.daemon.clone()).await;
    endpoint.sidecar = Some(started.expect("it starts again"));
}

/// A gateway is killed while a receipt runs, and the caller repeats it with the same key through
/// another gateway. The claim in the store outlives the gateway, so the receipt never runs again:
/// the repeat waits, and is told in the end that an answer was lost, or gets the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_gateway_does_not_repeat_a_keyed_call() {
    let plan = plan().with_service_time(Duration::from_millis(500));
    let fleet = start(plan.clone()).await;
    let doomed = tokio::runtime::Runtime::new().expect("a runtime");
    let mut spec = fleet.config.gateways[0].clone();
    spec.id = "g3".into();
    let url = fleet.platform.url();
    let starting = doomed.spawn(async move { plan.start_gateway(&spec, url, Vec::new()).await });
    let gateway = starting.await.expect("it ran").expect("it starts");
    until(async || gateway.gateway.is_connected()).await;
    let call = Call::receipt(7)
        .with_key("receipt-7")
        .with_deadline_ms(3_000);
    let first = Caller::new(gateway.gateway.callers_address()).spawn(call.clone());
    until(async || !service(&fleet).journal.runs().is_empty()).await;
    doomed.shutdown_background();
    drop(gateway);
    let first = first.await.expect("the call is judged");
    assert_eq!(first.ending, Ending::Disconnected);
    let survivor = caller(&fleet, 1);
    let mut again = survivor.call(&call).await;
    for _ in 0..20 {
        if again.problem().is_none_or(|problem| problem.code != 2007) {
            break;
        }
        again = survivor.call(&call).await;
    }
    let told = again.problem().map(|problem| problem.code);
    assert!(again.is_whole() || told == Some(3004), "{again:?}");
    assert_eq!(service(&fleet).journal.runs().len(), 1);
}

/// Guards against work that runs in another fleet, whose sidecar has got the address and has the same
/// name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_of_another_fleet_gets_no_work() {
    let (mut fleet, mut other) = (start(plan()).await, start(plan()).await);
    for (known, foreign) in fleet.endpoints.iter_mut().zip(&mut other.endpoints) {
        for endpoint in [&mut *known, &mut *foreign] {
            endpoint.daemon.shutdown.trigger();
            let sidecar = endpoint.sidecar.take().expect("it runs");
            sidecar.wait().await.expect("it ends");
        }
        foreign.settings.gateways.address = known.settings.gateways.address;
        foreign.daemon = DaemonContext::new(Logger::root(Discard, o!()));
        let started = Sidecar::start(foreign.settings.clone(), foreign.daemon.clone()).await;
        foreign.sidecar = Some(started.expect("it starts at the other address"));
    }
    let call = Call::whole(PROMPT, TOKENS).with_deadline_ms(3_000);
    let reply = caller(&fleet, 0).spawn(call).await;
    let reply = reply.expect("the call is judged");
    assert_eq!(starts(&other), [].into(), "{reply:?}");
    assert!(!reply.is_whole(), "{reply:?}");
}
