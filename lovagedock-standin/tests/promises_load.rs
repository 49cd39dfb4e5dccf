//! More work than fits: what is refused did not run, and no memory is left held.

mod promise_support;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use lovagedock_daemon::DaemonContext;
use lovagedock_sidecar::Sidecar;
use lovagedock_standin::fleet::LocalFleet;
use promise_support::{
    caller,
    caller::{Call, Ending, Reply},
    engines, plan, start, starts, until,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Calls of the burst; far more than the fleet can finish within their time.
const BURST: u64 = 200;
const BURST_DEADLINE_MS: u64 = 2_000;
/// Long histories that pass through the engines.
const HISTORIES: u64 = 300;
const SEED: u64 = 7;

fn burst_call(number: u64) -> Call {
    let prompt = format!("entry {number} of the register");
    let call = match number % 4 {
        0 => Call::streamed(&prompt, 40),
        1 => Call::whole(&prompt, 40),
        2 => Call::once(&prompt, 40),
        _ => Call::receipt(number),
    };
    call.with_deadline_ms(BURST_DEADLINE_MS)
}

fn assert_truthful(fleet: &LocalFleet, replies: &[Reply]) {
    let starts = starts(fleet);
    for reply in replies {
        let ran = starts.get(&reply.id).copied().unwrap_or_default();
        assert!(!reply.id.is_empty(), "{reply:?}");
        if reply.says_not_run() {
            assert_eq!(ran, 0, "told \"not run\": {reply:?}");
        }
        if reply.is_whole() {
            assert!(ran >= 1, "{reply:?}");
        }
    }
}

/// A burst beyond what the fleet can finish in time. Some calls are refused: by placement, in the
/// queue, or at their deadline. Whoever was told "not run" finds no trace of the call in any
/// journal, and no call that must not be repeated has two.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_refused_as_not_run_did_not_run() {
    let plan = plan()
        .with_concurrency(2)
        .with_service_time(Duration::from_millis(150));
    let fleet = start(plan).await;
    let calls: Vec<_> = (0..BURST)
        .map(|number| caller(&fleet, number as usize % 2).spawn(burst_call(number)))
        .collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.push(call.await.expect("the call is judged"));
    }
    let refused = replies.iter().filter(|reply| reply.says_not_run()).count();
    let whole = replies.iter().filter(|reply| reply.is_whole()).count();
    let mut endings: BTreeMap<String, usize> = BTreeMap::new();
    for reply in &replies {
        let ending = match reply.problem() {
            Some(problem) => format!("{} {}", problem.code, problem.ran),
            None => format!("{:?}", reply.ending).chars().take(40).collect(),
        };
        *endings.entry(ending).or_default() += 1;
    }
    assert!(
        refused > 0 && whole > 0,
        "{refused} refused, {whole} whole: {endings:?}"
    );
    assert_truthful(&fleet, &replies);
    for (number, reply) in replies.iter().enumerate() {
        let runs = starts(&fleet).get(&reply.id).copied().unwrap_or_default();
        assert!(number % 4 < 2 || runs <= 1, "{number} ran {runs} times");
    }
}

/// A service never ends the body of an answer. The sidecar keeps an answer whole until it was taken,
/// so without a bound the body would fill the host; the caller sees the answer break off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endless_answer_breaks_off() {
    let mut fleet = start(plan().with_drain(Duration::ZERO)).await;
    let endpoint = fleet.endpoints.last_mut().expect("the service");
    endpoint.daemon.shutdown.trigger();
    let sidecar = endpoint.sidecar.take().expect("it runs");
    sidecar.wait().await.expect("it ends");
    endpoint.settings.engine.address = endless_service().await;
    endpoint.daemon = DaemonContext::new(Logger::root(Discard, o!()));
    let started = Sidecar::start(endpoint.settings.clone(), endpoint.daemon.clone()).await;
    endpoint.sidecar = Some(started.expect("it starts again"));
    fleet
        .wait_until_ready()
        .await
        .expect("the gateways find it");
    let caller = caller(&fleet, 0);
    let call = Call::receipt(1).with_deadline_ms(600_000);
    let mut reply = caller.call(&call).await;
    while matches!(reply.ending, Ending::Refused(_)) {
        // The gateway has not noticed the new life yet.
        reply = caller.call(&call).await;
    }
    assert_eq!(reply.ending, Ending::Broken(None));
}

/// Answers `/load` and sends an endless body to everything else.
async fn endless_service() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(answer_endlessly(stream));
        }
    });
    address
}

async fn answer_endlessly(mut stream: TcpStream) {
    let mut head = vec![0; 4_096];
    let Ok(length) = stream.read(&mut head).await else {
        return;
    };
    if head[..length].starts_with(b"GET /load") {
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
        let _ended = stream.write_all(answer).await;
        return;
    }
    let begun = stream
        .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        .await;
    let piece = vec![b'x'; 1 << 20];
    while begun.is_ok() && stream.write_all(&piece).await.is_ok() {}
}

/// Hundreds of long histories pass, many of whose callers vanish before the status or in the
/// middle of the answer. The engines' memory is the scarce thing: when all is over, no block of it
/// is held, by the engines' own account.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_histories_leave_no_block_held() {
    let fleet = start(plan().with_time_scale(400.0)).await;
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut calls = Vec::new();
    for number in 0..HISTORIES {
        let words: usize = random.random_range(2_000..20_000);
        let prompt = format!("history {number} {}", "of a long season ".repeat(words / 4));
        let call = match number % 2 {
            0 => Call::streamed(&prompt, 50),
            _ => Call::whole(&prompt, 50),
        };
        let patience = match random.random_range(0..3) {
            0 => None,
            _ => Some(Duration::from_millis(random.random_range(1..400))),
        };
        let caller = caller(&fleet, number as usize % 2);
        calls.push(tokio::spawn(async move {
            let calling = caller.call(&call);
            match patience {
                None => Some(calling.await),
                Some(patience) => tokio::time::timeout(patience, calling).await.ok(),
            }
        }));
    }
    let mut stayed = 0;
    for call in calls {
        let reply = call.await.expect("the call is judged");
        stayed += usize::from(reply.is_some_and(|reply| reply.is_whole()));
    }
    assert!(stayed > 0);
    let held = || {
        let engines = engines(&fleet).into_iter();
        engines
            .map(|engine| engine.handle.allocated_blocks())
            .sum::<u64>()
    };
    until(async || held() == 0).await;
    let reply = caller(&fleet, 0)
        .call(&Call::whole("a short entry", 5))
        .await;
    assert!(reply.is_whole(), "{reply:?}");
}
