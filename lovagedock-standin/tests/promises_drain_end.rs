//! Drains that end before the requests do: what callers are told, and what operators see.

mod promise_support;

use std::{io, net::SocketAddr, time::Duration};

use lovagedock_gateway::CallerLimits;
use lovagedock_standin::{
    FaultCommand, FaultKind,
    fleet::{FleetPlan, LocalFleet, RunningGateway},
};
use promise_support::{
    caller,
    caller::{Call, Caller},
    engines,
    log::LogLines,
    plan, service, start, starts_at, until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    runtime::{Builder, Runtime},
    task::JoinHandle,
};

const PROMPT: &str = "The brig Salamander, lost off Aqaba in the winter gales.";
const DRAIN: Duration = Duration::from_millis(1_500);
/// Well inside the drain; makes it likely that what was sent before has been read.
const PAUSE: Duration = Duration::from_millis(500);
/// Tokens of an answer that no engine finishes within the drain.
const LONG_ANSWER: u64 = 20_000;
/// Tokens of an answer of which the kernel's buffers take a part and the gateway's queues the rest.
const HUGE_ANSWER: u64 = 1_100_000;

/// A gateway in a runtime of its own: when it has ended, its connections break as those of a process
/// do.
struct OwnProcess {
    runtime: Runtime,
    gateway: RunningGateway,
}

impl OwnProcess {
    async fn start(fleet: &LocalFleet, plan: &FleetPlan) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let mut spec = fleet.config.gateways[0].clone();
        spec.id = "g3".into();
        let (plan, url) = (plan.clone(), fleet.platform.url());
        let starting =
            runtime.spawn(async move { plan.start_gateway(&spec, url, Vec::new()).await });
        let gateway = starting.await.expect("it ran").expect("it starts");
        until(async || gateway.gateway.is_connected()).await;
        Self { runtime, gateway }
    }

    fn address(&self) -> SocketAddr {
        self.gateway.gateway.callers_address()
    }

    /// Asks it to stop; the task ends with the process.
    fn stop(self) -> JoinHandle<()> {
        self.gateway.daemon.shutdown.trigger();
        tokio::spawn(async move {
            self.gateway.gateway.wait().await.expect("it ends");
            self.runtime.shutdown_background();
        })
    }
}

fn draining_plan(drain: Duration) -> FleetPlan {
    let limits = CallerLimits {
        drain_ms: drain.as_millis() as u64,
        ..CallerLimits::default()
    };
    plan().with_limits(limits)
}

/// Sends the head of a call and so many bytes of its body.
async fn begin_call(stream: &mut TcpStream, body: &str, sent: usize) {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: gateway\r\nauthorization: Bearer secret\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{}",
        body.len(),
        &body[..sent]
    );
    stream.write_all(head.as_bytes()).await.expect("it reads");
}

async fn read_all(stream: &mut TcpStream) -> Result<String, io::Error> {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8(answer).expect("text"))
}

fn completion(tokens: u64) -> String {
    format!(r#"{{"model":"reader","prompt":"{PROMPT}","max_tokens":{tokens}}}"#)
}

fn huge_answer_plan(drain: Duration) -> FleetPlan {
    let mut plan = draining_plan(drain).with_time_scale(5_000.0);
    for endpoint in &mut plan.config.pools[0].endpoints {
        endpoint.memory_tokens = 2 * HUGE_ANSWER;
    }
    plan
}

/// Calls for a huge answer and reads no more of it than its first byte.
async fn begin_huge_answer(process: &OwnProcess) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4_096).expect("a small buffer");
    let connecting = socket.connect(process.address());
    let mut stream = connecting.await.expect("it listens");
    let body = completion(HUGE_ANSWER);
    begin_call(&mut stream, &body, body.len()).await;
    let first = stream.read_u8().await.expect("the answer begins");
    assert_eq!(first, b'H');
    stream
}

struct BodyCase {
    what: &'static str,
    /// Whether the rest of the body comes while the gateway drains.
    rest_comes: bool,
    status: &'static str,
    /// What it may say of having run.
    ran: &'static [&'static str],
}

const BODY_CASES: &[BodyCase] = &[
    BodyCase {
        what: "the body never comes",
        rest_comes: false,
        status: "HTTP/1.1 503",
        ran: &["no"],
    },
    BodyCase {
        what: "the body comes and the answer is too long",
        rest_comes: true,
        status: "HTTP/1.1 504",
        ran: &["yes", "unknown"],
    },
];

/// Guards against a drain that ends without a word to a caller whose body is still coming.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_on_its_way_gets_a_word_at_the_drains_end() {
    for case in BODY_CASES {
        let plan = draining_plan(DRAIN);
        let fleet = start(plan.clone()).await;
        let process = OwnProcess::start(&fleet, &plan).await;
        let mut stream = TcpStream::connect(process.address())
            .await
            .expect("it listens");
        let body = completion(LONG_ANSWER);
        begin_call(&mut stream, &body, 1).await;
        tokio::time::sleep(PAUSE).await;
        let ending = process.stop();
        tokio::time::sleep(PAUSE).await;
        if case.rest_comes {
            let rest = &body.as_bytes()[1..];
            stream.write_all(rest).await.expect("it reads on");
        }
        let answer = read_all(&mut stream).await;
        let answer = answer.unwrap_or_else(|error| panic!("{}: {error}", case.what));
        assert!(answer.starts_with(case.status), "{}: {answer}", case.what);
        let says = |ran: &&str| answer.contains(&format!(r#""ran":"{ran}""#));
        assert!(case.ran.iter().any(says), "{}: {answer}", case.what);
        let reason = "the gateway is shutting down";
        assert!(answer.contains(reason), "{}: {answer}", case.what);
        ending.await.expect("it ends by itself");
    }
}

/// Guards against a drain that ends without a word to a call that waits for another with its key.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_waits_for_its_key_is_refused_at_the_drains_end() {
    let plan = draining_plan(DRAIN).with_service_time(4 * DRAIN);
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let call = Call::receipt(7).with_key("receipt-7");
    let first = caller(&fleet, 1).spawn(call.clone());
    until(async || !service(&fleet).journal.runs().is_empty()).await;
    let waiting = Caller::new(process.address()).spawn(call);
    tokio::time::sleep(PAUSE).await;
    let ending = process.stop();
    let told = waiting.await.expect("the call is judged");
    let problem = told
        .problem()
        .map(|problem| (problem.code, problem.ran.as_str()));
    assert_eq!(problem, Some((2008, "no")), "{told:?}");
    ending.await.expect("it ends by itself");
    assert!(first.await.expect("the call is judged").is_whole());
}

/// Guards against a drain that ends without a word on a run whose answer could not be recorded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_answer_is_not_recorded_is_told_at_the_drains_end() {
    let plan = draining_plan(DRAIN).with_service_time(PAUSE);
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let call = Call::receipt(7).with_key("receipt-7");
    let calling = Caller::new(process.address()).spawn(call);
    until(async || !service(&fleet).journal.runs().is_empty()).await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    let ending = process.stop();
    let told = calling.await.expect("the call is judged");
    let problem = told
        .problem()
        .map(|problem| (problem.code, problem.ran.as_str()));
    assert_eq!(problem, Some((3004, "yes")), "{told:?}");
    ending.await.expect("it ends by itself");
}

/// Guards against a request that is named and counted twice, as told and as not told.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_was_told_is_named_once() {
    let lines = LogLines::default();
    let mut plan = draining_plan(DRAIN).with_service_time(DRAIN * 4);
    plan.log = lines.logger();
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let call = Call::receipt(8).with_key("receipt-8");
    let calling = Caller::new(process.address()).spawn(call);
    until(async || !service(&fleet).journal.runs().is_empty()).await;
    // Its failure cannot be recorded, so that its task goes on after its caller was told.
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    let ending = process.stop();
    let told = calling.await.expect("the call is judged");
    assert!(told.problem().is_some(), "{told:?}");
    ending.await.expect("it ends by itself");
    assert_eq!(lines.count("request cut by the shutdown"), 1);
    assert_eq!(lines.count("request cut by the exit"), 0);
}

/// Guards against an answer that is lost with the process while its caller still reads it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_is_being_written_is_not_cut() {
    let plan = huge_answer_plan(Duration::from_secs(60));
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let mut stream = begin_huge_answer(&process).await;
    until(async || {
        engines(&fleet)
            .iter()
            .all(|engine| engine.handle.allocated_blocks() == 0)
    })
    .await;
    tokio::time::sleep(PAUSE).await;
    let ending = process.stop();
    tokio::time::sleep(PAUSE).await;
    let answer = read_all(&mut stream).await.expect("the connection ends");
    let length = answer.len();
    assert!(answer.ends_with("0\r\n\r\n"), "cut after {length} bytes");
    ending.await.expect("it ends by itself");
}

/// Guards against a request that a drain's end cuts and no log line names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_a_drains_end_cuts_is_named() {
    let lines = LogLines::default();
    let mut plan = draining_plan(DRAIN);
    plan.log = lines.logger();
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let metrics = process.gateway.daemon.metrics.clone();
    let calling = Caller::new(process.address()).spawn(Call::whole(PROMPT, LONG_ANSWER));
    promise_support::running_engine(&fleet).await;
    let ending = process.stop();
    let told = calling.await.expect("the call is judged");
    assert!(told.problem().is_some(), "{told:?}");
    ending.await.expect("it ends by itself");
    assert!(lines.has("request cut by the shutdown", "request", &told.id));
    let counted = r#"lovagedock_requests_cut_total{told="yes"}"#;
    assert!(metrics.render().contains(counted), "{}", metrics.render());
}

/// Guards against an unread answer that the end of the process cuts and no log line names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_the_exit_cuts_is_named() {
    let lines = LogLines::default();
    let mut plan = huge_answer_plan(DRAIN);
    plan.log = lines.logger();
    let fleet = start(plan.clone()).await;
    let process = OwnProcess::start(&fleet, &plan).await;
    let metrics = process.gateway.daemon.metrics.clone();
    let stream = begin_huge_answer(&process).await;
    process.stop().await.expect("it ends by itself");
    drop(stream);
    assert_eq!(lines.count("request cut by the exit"), 1);
    let counted = r#"lovagedock_requests_cut_total{told="no"}"#;
    assert!(metrics.render().contains(counted), "{}", metrics.render());
}

/// Guards against a request that a sidecar's end cuts and no log line names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_a_sidecars_exit_cuts_is_named() {
    let lines = LogLines::default();
    let mut plan = plan().with_drain(PAUSE);
    plan.log = lines.logger();
    let mut fleet = start(plan).await;
    let calling = caller(&fleet, 0).spawn(Call::once(PROMPT, LONG_ANSWER));
    let place = promise_support::running_engine(&fleet).await;
    let sidecar = fleet.endpoints[place].sidecar.take().expect("it runs");
    let daemon = &fleet.endpoints[place].daemon;
    daemon.shutdown.trigger();
    sidecar.wait().await.expect("it ends");
    let told = calling.await.expect("the call is judged");
    let ran = told.problem().map(|problem| problem.ran.as_str());
    assert!(matches!(ran, Some("yes" | "unknown")), "{told:?}");
    assert!(lines.has("request cut by the exit", "request", &told.id));
    let metrics = daemon.metrics.render();
    assert!(metrics.contains("lovagedock_sidecar_requests_cut_total"));
}

/// Guards against a gateway that looks for an ended sidecar until the deadline of its call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_a_sidecars_exit_cuts_is_told_at_once() {
    let mut fleet = start(plan().with_drain(Duration::from_millis(100))).await;
    let call = Call::once(PROMPT, LONG_ANSWER).with_deadline_ms(1_900);
    let calling = caller(&fleet, 0).spawn(call);
    let place = promise_support::running_engine(&fleet).await;
    let sidecar = fleet.endpoints[place].sidecar.take().expect("it runs");
    fleet.endpoints[place].daemon.shutdown.trigger();
    sidecar.wait().await.expect("it ends");
    let told = calling.await.expect("the call is judged");
    let problem = told.problem().expect("it is told");
    assert!(matches!(problem.code, 3001 | 3002), "{told:?}");
    assert_ne!(problem.ran, "no");
}

/// Guards against a stopping sidecar that takes work again once its drain is called off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_drain_of_a_stopping_sidecar_is_not_called_off() {
    let mut fleet = start(plan().with_concurrency(2)).await;
    let running = caller(&fleet, 0).spawn(Call::whole(PROMPT, 300));
    let place = promise_support::running_engine(&fleet).await;
    let sidecar = fleet.endpoints[place].sidecar.take().expect("it runs");
    fleet.endpoints[place].daemon.shutdown.trigger();
    let admin = sidecar.admin_address();
    until(async || draining(admin).await).await;
    promise_support::caller::post(admin, "/undrain").await;
    assert!(draining(admin).await, "it takes work again");
    sidecar.wait().await.expect("it ends");
    assert!(running.await.expect("the call is judged").is_whole());
    assert_eq!(starts_at(engines(&fleet)[place]), 1);
}

async fn draining(admin: SocketAddr) -> bool {
    let status = promise_support::caller::get_json(admin, "/status").await;
    status["load"]["draining"] == true
}
