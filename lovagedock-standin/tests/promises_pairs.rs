//! Failures that come together, or twice.

mod promise_support;

use std::time::Duration;

use lovagedock_daemon::DaemonContext;
use lovagedock_sidecar::Sidecar;
use lovagedock_standin::{
    FaultCommand, FaultKind,
    engine::EngineFault,
    fleet::{FleetPlan, LocalFleet},
};
use promise_support::{
    caller,
    caller::{Call, Ending, Problem, post},
    engines, plan,
    relay::{LinkFault, TcpRelay},
    running_engine, service, start, start_behind_relays, starts, starts_at, until,
};
use slog::{Discard, Logger, o};

const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
const TOKENS: u64 = 300;
const SERVICE_TIME: Duration = Duration::from_secs(2);

fn slow_plan() -> FleetPlan {
    plan().with_service_time(SERVICE_TIME)
}

fn silence(relays: &[TcpRelay]) {
    relays
        .iter()
        .for_each(|relay| relay.strike(LinkFault::Silent));
}

/// Waits until the relays have new connections from the gateways and the resumed answers.
async fn connections_beyond(relays: &[TcpRelay], before: usize) {
    until(async || relays.iter().map(TcpRelay::accepted).sum::<usize>() > before).await;
}

async fn receipt_begins(fleet: &LocalFleet) {
    until(async || !service(fleet).journal.runs().is_empty()).await;
}

/// The connections go silent, and those that replace them do too, under one long answer. Each time
/// the answer goes on from its offset; the caller reads it whole, made by one run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_twice() {
    let (fleet, relays) = start_behind_relays(plan()).await;
    let call = Call::streamed(PROMPT, 600);
    let response = caller(&fleet, 0).open(&call).await.expect("a status");
    let accepted = || relays.iter().map(TcpRelay::accepted).sum();
    let before = accepted();
    silence(&relays);
    connections_beyond(&relays, before).await;
    let again: usize = accepted();
    silence(&relays);
    connections_beyond(&relays, again).await;
    let reply = promise_support::caller::read(&call, response).await;
    assert!(reply.is_whole(), "{reply:?}");
    assert_eq!(starts(&fleet).into_values().collect::<Vec<_>>(), [1]);
}

/// The connection to a service's sidecar goes silent under a receipt, and the sidecar is killed and
/// started again. The new life answers the gateway that it cannot tell, and the gateway must take
/// that for "unknown" and not for "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_and_a_killed_sidecar() {
    let (mut fleet, relays) = start_behind_relays(slow_plan().with_drain(Duration::ZERO)).await;
    let calling = caller(&fleet, 0).spawn(Call::receipt(3));
    receipt_begins(&fleet).await;
    silence(&relays);
    let endpoint = fleet.endpoints.last_mut().expect("the service");
    endpoint.daemon.shutdown.trigger();
    let sidecar = endpoint.sidecar.take().expect("it runs");
    sidecar.wait().await.expect("it ends");
    endpoint.daemon = DaemonContext::new(Logger::root(Discard, o!()));
    let started = Sidecar::start(endpoint.settings.clone(), endpoint.daemon.clone()).await;
    endpoint.sidecar = Some(started.expect("it starts again"));
    let reply = calling.await.expect("the call is judged");
    let expected = Ending::Refused(Problem::new(3001, "unknown"));
    assert_eq!(reply.ending, expected);
    assert_eq!(service(&fleet).journal.runs().len(), 1);
}

/// The connection goes silent under a trace that must not run twice, and its sidecar gets SIGTERM
/// before the gateway has noticed. The sidecar may not end before the answer was fetched from it on
/// a new connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_and_a_stopped_sidecar() {
    let (mut fleet, relays) = start_behind_relays(plan()).await;
    let calling = caller(&fleet, 0).spawn(Call::once(PROMPT, TOKENS));
    let place = running_engine(&fleet).await;
    silence(&relays);
    fleet.endpoints[place].daemon.shutdown.trigger();
    let sidecar = fleet.endpoints[place].sidecar.take().expect("it runs");
    sidecar.wait().await.expect("it ends");
    let reply = calling.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
    assert_eq!(starts(&fleet).into_values().collect::<Vec<_>>(), [1]);
}

/// The connection goes silent while the store is down. A call without a key needs no store, and
/// gets its answer over a new connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_connection_and_a_store_that_is_down() {
    let (fleet, relays) = start_behind_relays(slow_plan()).await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    let calling = caller(&fleet, 0).spawn(Call::receipt(4));
    receipt_begins(&fleet).await;
    silence(&relays);
    let reply = calling.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
    assert_eq!(service(&fleet).journal.runs().len(), 1);
}

/// The engine under a whole answer dies, and so does the one that it goes to next. The third gives
/// the answer; the caller sees nothing but the time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_engines_die_one_after_the_other() {
    let fleet = start(plan()).await;
    let calling = caller(&fleet, 0).spawn(Call::whole(PROMPT, TOKENS));
    let first = running_engine(&fleet).await;
    engines(&fleet)[first].handle.set_fault(EngineFault::Crash);
    let others = || (0..promise_support::ENGINES).filter(|place| *place != first);
    let next = || others().find(|place| starts_at(engines(&fleet)[*place]) > 0);
    until(async || next().is_some()).await;
    let second = next().expect("another engine has started");
    engines(&fleet)[second].handle.set_fault(EngineFault::Crash);
    let reply = calling.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
}

/// The store goes down after a receipt was claimed and before its answer is recorded. The caller
/// must not see a clean end that a repeat could not read again: it is told that the receipt ran and
/// its answer was lost. The repeat, when the store is back, does not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_store_that_goes_down_between_claim_and_record() {
    let fleet = start(slow_plan()).await;
    let call = Call::receipt(9)
        .with_key("receipt-9")
        .with_deadline_ms(6_000);
    let calling = caller(&fleet, 0).spawn(call.clone());
    receipt_begins(&fleet).await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    let reply = calling.await.expect("the call is judged");
    let expected = Ending::Refused(Problem::new(3004, "yes"));
    assert_eq!(reply.ending, expected);
    fleet.platform.set_fault(FaultCommand::new(FaultKind::None));
    let again = caller(&fleet, 1).call(&call).await;
    assert!(
        !again.says_not_run() || again.problem().is_some_and(|it| it.code == 2007),
        "{again:?}"
    );
    assert_eq!(service(&fleet).journal.runs().len(), 1);
}

/// The engine under a keyed trace dies while the store is down, so that its failure cannot be
/// recorded. The caller is told "unknown". When the store is back, a repeat through another gateway
/// waits for the claim's end and does not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_dies_while_the_store_is_down() {
    let fleet = start(plan()).await;
    let call = Call::once(PROMPT, TOKENS)
        .with_key("trace-9")
        .with_deadline_ms(8_000);
    let calling = caller(&fleet, 0).spawn(call.clone());
    let place = running_engine(&fleet).await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    engines(&fleet)[place].handle.set_fault(EngineFault::Crash);
    let reply = calling.await.expect("the call is judged");
    let expected = Ending::Refused(Problem::new(3001, "unknown"));
    assert_eq!(reply.ending, expected);
    fleet.platform.set_fault(FaultCommand::new(FaultKind::None));
    let again = caller(&fleet, 1).call(&call).await;
    assert!(!again.is_whole(), "{again:?}");
    assert_eq!(starts(&fleet).into_values().collect::<Vec<_>>(), [1]);
}

/// Every host of a pool leaves at once. What runs ends whole; what comes is refused as not run, and
/// no engine starts it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_pool_leaves() {
    let fleet = start(plan()).await;
    let running = caller(&fleet, 0).spawn(Call::whole(PROMPT, TOKENS));
    running_engine(&fleet).await;
    for endpoint in &fleet.endpoints {
        let sidecar = endpoint.sidecar.as_ref().expect("it runs");
        post(sidecar.admin_address(), "/drain").await;
    }
    for number in 0..10 {
        let call = Call::whole(&format!("{PROMPT} {number}"), 5);
        let reply = caller(&fleet, number % 2).call(&call).await;
        assert!(reply.says_not_run(), "{reply:?}");
        assert!(!starts(&fleet).contains_key(&reply.id), "{reply:?}");
    }
    let reply = running.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
}

/// A gateway loses every sidecar. Its balancer must see that it is not ready, and whoever still
/// calls it is told at once that the call did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_without_any_sidecar_is_not_ready() {
    let (fleet, relays) = start_behind_relays(plan()).await;
    let gateway = &fleet.gateways[0].gateway;
    let ready = || async {
        let status = promise_support::caller::status(gateway.admin_address(), "/readyz").await;
        status.is_success()
    };
    assert!(ready().await);
    relays.iter().for_each(TcpRelay::refuse_new);
    silence(&relays);
    until(async || !ready().await).await;
    let reply = caller(&fleet, 0).call(&Call::whole(PROMPT, 5)).await;
    assert!(reply.says_not_run(), "{reply:?}");
    assert!(starts(&fleet).is_empty());
}
