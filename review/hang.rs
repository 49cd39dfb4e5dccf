//! Engines read bodies slowly, and a gateway holds more of them than its output memory.

use std::{
    io,
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Channel, Deployment, Ending, EngineWork, ErrorKind, Head, Record, Request, keep_channels,
    stream_route, unsafe_route,
};

/// Half of the configuration's `maxBodyBytes`.
const BODY_BYTES: usize = 2_097_152;
/// Callers, each with a kept channel and one long request, and the time between two of them.
const CALLERS: usize = 36;
const INTERVAL: Duration = Duration::from_millis(120);
/// A slow engine takes 4.2 s for a body, and its whole answer is there 1.1 s later.
const SLOW_READ: usize = 500_000;
/// The route's `timeoutMs`.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time past it from which an answer is missing, and the number that breaks the rule, beside a
/// quarter of all.
const SLACK: Duration = Duration::from_millis(500);
const MISSING: usize = 8;

static SLOW: AtomicBool = AtomicBool::new(false);

fn work(head: &Head) -> EngineWork {
    let is_stream = head.first.contains("/pufi791/");
    EngineWork {
        read_per_s: (is_stream && SLOW.load(Ordering::Relaxed)).then_some(SLOW_READ),
        first: Duration::from_millis(if is_stream { 60 } else { 30 }),
        events: if is_stream { 21 } else { 0 },
        gap: Duration::from_millis(45),
    }
}

/// Sends small unsafe requests on a kept channel beside the long ones. Shown in the record; not part
/// of the check.
fn look_up(record: &Record, mut channel: Channel) {
    for number in 0..25 {
        let id = format!("{:016x}", 0xb000 + number);
        let request = Request {
            method: "POST",
            path: "/puxa403/2f",
            id: &id,
            deadline_ms: 2_500,
            tokens: None,
            body: b"{}",
        };
        let sent = Instant::now();
        let result = request.send(&mut channel).and_then(|()| {
            let head = channel.read_head(sent + Duration::from_secs(3))?;
            let head = head.ok_or(ErrorKind::UnexpectedEof)?;
            channel.read_body(&head, |latest| latest + Duration::from_secs(1))?;
            Ok(head)
        });
        let took = sent.elapsed().as_secs_f64();
        let status = result.as_ref().map(Head::status);
        record.line(&format!(
            "small unsafe request {id}: {status:?} after {took:.3} s"
        ));
        match result {
            Ok(head) if head.get("connection") != "close" => {}
            Ok(_) | Err(_) => return,
        }
        thread::sleep(Duration::from_millis(700));
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    SLOW.store(trouble, Ordering::Relaxed);
    let routes = [stream_route(10_000), unsafe_route()];
    let deployment = Deployment::start(record, &routes, work)?;
    let gateway = &deployment.gateways[0];
    let body = vec![b'p'; BODY_BYTES];
    let callers = keep_channels(record, gateway, CALLERS)?;
    let small = Channel::connect(gateway.callers)?;
    record.line("each caller has a kept channel; the long requests follow");

    let endings = Mutex::new(Vec::new());
    thread::scope(|scope| {
        scope.spawn(|| look_up(record, small));
        for (number, mut caller) in callers.into_iter().enumerate() {
            let (body, endings) = (&body, &endings);
            scope.spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                let ending = caller.call(&format!("{:016x}", 0xa000 + number), body);
                endings.lock().unwrap().push(ending);
            });
        }
        scope.spawn(|| {
            for _ in 0..9 {
                thread::sleep(Duration::from_secs(2));
                let is_ready = gateway.is_ready();
                let memory = gateway.memory_kb("VmRSS") / 1024;
                record.line(&format!("gateway says ready: {is_ready}; {memory} MiB"));
            }
        });
    });
    let endings = endings.into_inner().unwrap();
    let served = endings
        .iter()
        .filter(|(ending, _)| *ending == Ending::Answered(200));
    let is_missing = |(_, took): &&(Ending, Duration)| *took > TIMEOUT + SLACK;
    let (served, missing) = (served.count(), endings.iter().filter(is_missing).count());
    let answered = deployment.answered();
    let answered = answered.iter().filter(|id| id.starts_with("000000000000a"));
    record.line(&format!(
        "{CALLERS} long requests: engines have answered {} whole, callers got {served}; {missing} \
         had no final answer 0.5 s after timeoutMs",
        answered.count()
    ));
    Ok(missing < MISSING || missing * 4 <= CALLERS)
}
