//! Endpoints that leave: what runs is not cut off, and nothing new begins there.

mod promise_support;

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use lovagedock_standin::{
    engine::{JournalEvent, RunningEngine},
    fleet::LocalFleet,
};
use promise_support::{
    caller,
    caller::{Call, Reply, get_json, post},
    engines, generations, plan, running_engine, start, starts_at, until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
/// Callers that call again and again.
const CALLERS: u64 = 12;
/// Starts on each engine before something begins to leave, and on the others afterwards.
const WARM_STARTS: usize = 4;

/// Callers that go on until they are told to stop, half streamed and half whole.
struct SteadyLoad {
    stop: Arc<AtomicBool>,
    marked: Arc<AtomicBool>,
    /// Callers whose calls from before the mark have ended.
    turned: Arc<AtomicU64>,
    callers: Vec<JoinHandle<Answers>>,
}

/// Answers to the calls that began before the mark, and to those that began after it.
#[derive(Default)]
struct Answers {
    before: Vec<Reply>,
    after: Vec<Reply>,
}

impl SteadyLoad {
    fn start(fleet: &LocalFleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let marked = Arc::new(AtomicBool::new(false));
        let turned = Arc::new(AtomicU64::new(0));
        let callers = (0..CALLERS).map(|number| {
            let caller = caller(fleet, number as usize % 2);
            let stop = Arc::clone(&stop);
            let marked = Arc::clone(&marked);
            let turned = Arc::clone(&turned);
            tokio::spawn(async move {
                let mut answers = Answers::default();
                let mut is_after = false;
                for count in 0.. {
                    if !is_after && marked.load(Ordering::SeqCst) {
                        is_after = true;
                        turned.fetch_add(1, Ordering::SeqCst);
                    }
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    let prompt = format!("{PROMPT} {number} {count}");
                    let call = match number % 2 {
                        0 => Call::streamed(&prompt, 20),
                        _ => Call::whole(&prompt, 20),
                    };
                    let reply = caller.call(&call).await;
                    match is_after {
                        false => answers.before.push(reply),
                        true => answers.after.push(reply),
                    }
                }
                answers
            })
        });
        Self {
            callers: callers.collect(),
            stop,
            marked,
            turned,
        }
    }

    /// Sets the mark: calls that begin from now on are told apart from those before.
    fn mark(&self) {
        self.marked.store(true, Ordering::SeqCst);
    }

    /// Waits until every call that began before the mark has ended.
    async fn turn_over(&self) {
        until(async || self.turned.load(Ordering::SeqCst) == CALLERS).await;
    }

    /// Stops and returns every answer.
    async fn end(self) -> Vec<Reply> {
        let answers = self.end_in_parts().await;
        answers.before.into_iter().chain(answers.after).collect()
    }

    /// Stops and returns every answer, by when its call began.
    async fn end_in_parts(self) -> Answers {
        self.stop.store(true, Ordering::SeqCst);
        let mut all = Answers::default();
        for caller in self.callers {
            let answers = caller.await.expect("the calls are judged");
            all.before.extend(answers.before);
            all.after.extend(answers.after);
        }
        all
    }
}

fn counts(fleet: &LocalFleet) -> Vec<usize> {
    engines(fleet).into_iter().map(starts_at).collect()
}

async fn warm(fleet: &LocalFleet) {
    until(async || counts(fleet).iter().all(|count| *count >= WARM_STARTS)).await;
}

/// Waits until the other engines have started more, so that a start on the first one would show.
async fn others_go_on(fleet: &LocalFleet) {
    let before: usize = counts(fleet)[1..].iter().sum();
    let enough = before + 5 * WARM_STARTS;
    until(async || counts(fleet)[1..].iter().sum::<usize>() >= enough).await;
}

/// Ids of the requests that an engine has started.
fn ids_started_at(engine: &RunningEngine) -> HashSet<String> {
    let entries = engine.journal.entries().into_iter();
    let started = entries.filter(|entry| entry.event == JournalEvent::Started);
    started.map(|entry| entry.request_id).collect()
}

fn assert_all_whole(replies: &[Reply]) {
    assert!(!replies.is_empty());
    for reply in replies {
        assert!(reply.is_whole(), "{reply:?}");
    }
}

/// An operator drains an endpoint under load. Callers notice nothing: what waits there goes
/// elsewhere, what runs ends, and the engine starts nothing once the sidecar has the order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_endpoint_cuts_nothing_off_and_starts_nothing() {
    let fleet = start(plan().with_concurrency(2)).await;
    let load = SteadyLoad::start(&fleet);
    warm(&fleet).await;
    let sidecar = fleet.endpoints[0].sidecar.as_ref().expect("it runs");
    let engine = engines(&fleet)[0];
    post(sidecar.admin_address(), "/drain").await;
    // A start that was decided before the order may reach the engine after it, even while the engine
    // is empty; the sidecar counts it as running from the decision on.
    until(async || {
        let load = &get_json(sidecar.admin_address(), "/status").await["load"];
        load["running"] == 0 && load["queued"] == 0
    })
    .await;
    until(async || engine.handle.allocated_blocks() == 0).await;
    let after = starts_at(engine);
    others_go_on(&fleet).await;
    assert_eq!(starts_at(engine), after, "a start after the drain");
    assert_all_whole(&load.end().await);
}

/// SIGTERM reaches a sidecar under load. The process ends by itself, after everything on it has
/// ended and was delivered; no caller sees it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_sidecar_cuts_nothing_off() {
    let mut fleet = start(plan().with_concurrency(2)).await;
    let load = SteadyLoad::start(&fleet);
    warm(&fleet).await;
    let sidecar = fleet.endpoints[0].sidecar.take().expect("it runs");
    fleet.endpoints[0].daemon.shutdown.trigger();
    sidecar.wait().await.expect("it ends");
    let after = starts_at(engines(&fleet)[0]);
    others_go_on(&fleet).await;
    assert_eq!(starts_at(engines(&fleet)[0]), after);
    assert_all_whole(&load.end().await);
}

/// An idle endpoint is drained, brought back, and stopped while it works. The first drain had
/// ended at once; if its end counted for the second, the process would stop in the middle of the
/// answer, and a call that must not run twice would be lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_that_was_called_off_does_not_end_the_next() {
    let mut fleet = start(plan()).await;
    for endpoint in &fleet.endpoints {
        let admin = endpoint.sidecar.as_ref().expect("it runs").admin_address();
        post(admin, "/drain").await;
        post(admin, "/undrain").await;
    }
    let calling = caller(&fleet, 0).spawn(Call::once(PROMPT, 200));
    let place = running_engine(&fleet).await;
    let sidecar = fleet.endpoints[place].sidecar.take().expect("it runs");
    fleet.endpoints[place].daemon.shutdown.trigger();
    sidecar.wait().await.expect("it ends");
    let reply = calling.await.expect("the call is judged");
    assert!(reply.is_whole(), "{reply:?}");
}

/// A gateway is stopped under load, as its balancer stops to choose it. What it has admitted ends
/// whole; what comes later is refused as not run, or finds no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_gateway_cuts_nothing_off() {
    let mut fleet = start(plan()).await;
    let leaving = caller(&fleet, 0);
    let calling: Vec<_> = (0..8)
        .map(|number| leaving.spawn(Call::whole(&format!("{PROMPT} {number}"), 100)))
        .collect();
    until(async || counts(&fleet).iter().sum::<usize>() == 8).await;
    fleet.gateways[0].daemon.shutdown.trigger();
    let late = leaving.call(&Call::whole(PROMPT, 5)).await;
    assert!(!late.is_whole(), "{late:?}");
    if let Some(problem) = late.problem() {
        assert_eq!((problem.code, problem.ran.as_str()), (2008, "no"));
    }
    for call in calling {
        let reply = call.await.expect("the call is judged");
        assert!(reply.is_whole(), "{reply:?}");
    }
    let gateway = fleet.gateways.remove(0);
    gateway.gateway.wait().await.expect("it ends");
}

/// A gateway is stopped while the body of a request is still on its way. The request was admitted,
/// so the process waits for the rest of it and answers; uncounted, it would end under it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_gateway_waits_for_a_body_that_is_coming() {
    let mut fleet = start(plan()).await;
    let entry = fleet.gateways.remove(0);
    let address = entry.gateway.callers_address();
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let head = "POST /registry/receipts HTTP/1.1\r\nhost: gateway\r\n\
        authorization: Bearer secret\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{";
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the gateway reads");
    // Only makes it likely that the gateway has read the head; without it the call is refused.
    tokio::time::sleep(Duration::from_millis(300)).await;
    entry.daemon.shutdown.trigger();
    let ending = tokio::spawn(entry.gateway.wait());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!ending.is_finished(), "it ended under a request");
    stream.write_all(b"}").await.expect("the gateway reads on");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the answer ends");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let ended = ending.await.expect("it ran");
    ended.expect("it ends by itself");
}

/// The platform lists a host as leaving and nobody tells the sidecar on it. Once the lagging list
/// says so, gateways send nothing more there; what runs there ends whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_on_the_leaving_list_gets_no_new_work() {
    let fleet = start(plan().with_concurrency(2)).await;
    let load = SteadyLoad::start(&fleet);
    warm(&fleet).await;
    let host = &fleet.endpoints[0].host;
    post(fleet.platform.address, &format!("/v1/hosts/{host}/leaving")).await;
    let id = &fleet.endpoints[0].id;
    for gateway in 0..fleet.gateways.len() {
        let admin = fleet.gateways[gateway].gateway.admin_address();
        until(async || {
            let status = get_json(admin, "/status").await;
            let endpoints = status["endpoints"].as_array().expect("a list").clone();
            let entry = endpoints
                .into_iter()
                .find(|entry| entry["endpoint"] == **id);
            entry.expect("it is listed")["usable"] == false
        })
        .await;
    }
    load.mark();
    // What a gateway placed before it knew may reach the engine at any later time, even while the
    // engine is empty: on its way to the sidecar, queued there, or on its way from there.
    load.turn_over().await;
    let engine = engines(&fleet)[0];
    until(async || engine.handle.allocated_blocks() == 0).await;
    let after = starts_at(engine);
    others_go_on(&fleet).await;
    assert_eq!(starts_at(engine), after, "a start after the gateways knew");
    let answers = load.end_in_parts().await;
    assert_all_whole(&answers.before);
    assert_all_whole(&answers.after);
    // Calls that began after the gateways knew are told by their ids, so that one which starts
    // while the earlier ones still end is seen as well.
    let started: Vec<_> = engines(&fleet).into_iter().map(ids_started_at).collect();
    for reply in &answers.after {
        assert!(!started[0].contains(&reply.id), "new work: {reply:?}");
        let elsewhere = started[1..].iter().any(|ids| ids.contains(&reply.id));
        assert!(elsewhere, "started nowhere: {reply:?}");
    }
    assert!(generations(&fleet, 0).await.iter().all(|it| *it == 1));
}
