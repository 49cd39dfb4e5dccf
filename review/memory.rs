//! Engines read bodies slowly, and a gateway holds more of them than its machine's memory.

use std::{
    io,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Deployment, Ending, EngineWork, Head, Record, enforce_memory, keep_channels, stream_route,
    unsafe_route,
};

/// The configuration's `maxBodyBytes`.
const BODY_BYTES: usize = 4_194_304;
/// Callers, each with a kept channel and one long request, and the time between two of them.
const CALLERS: usize = 72;
const INTERVAL: Duration = Duration::from_millis(120);
/// A slow engine takes 5.2 s for a body.
const SLOW_READ: usize = 800_000;
/// Closed channels beyond which the rule is broken.
const LOST: usize = 3;

static SLOW: AtomicBool = AtomicBool::new(false);

fn work(head: &Head) -> EngineWork {
    let is_stream = head.first.contains("/pufi791/");
    EngineWork {
        read_per_s: (is_stream && SLOW.load(Ordering::Relaxed)).then_some(SLOW_READ),
        first: Duration::from_millis(60),
        events: 21,
        gap: Duration::from_millis(45),
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    SLOW.store(trouble, Ordering::Relaxed);
    let routes = [stream_route(15_000), unsafe_route()];
    let deployment = Deployment::start(record, &routes, work)?;
    let gateway = &deployment.gateways[0];
    let body = vec![b'p'; BODY_BYTES];
    let callers = keep_channels(record, gateway, CALLERS)?;
    record.line("each caller has a kept channel; the long requests follow");

    let endings = Mutex::new(Vec::new());
    let (ended, highest) = (AtomicBool::new(false), AtomicU64::new(0));
    thread::scope(|scope| {
        scope.spawn(|| enforce_memory(record, gateway, &ended, &highest));
        let threads = callers.into_iter().enumerate().map(|(number, mut caller)| {
            let (body, endings) = (&body, &endings);
            scope.spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                let id = format!("{:016x}", 0xa000 + number);
                let (ending, _) = caller.call(&id, body);
                endings.lock().unwrap().push((id, ending));
            })
        });
        let threads: Vec<_> = threads.collect();
        for thread in threads {
            let _ = thread.join();
        }
        ended.store(true, Ordering::Relaxed);
    });
    let endings = endings.into_inner().unwrap();
    let (got, answered) = (deployment.got(), deployment.answered());
    let closed = endings
        .iter()
        .filter(|(_, ending)| *ending == Ending::Closed);
    let lost: Vec<&String> = closed
        .map(|(id, _)| id)
        .filter(|id| got.contains(*id))
        .collect();
    let run = lost.iter().filter(|id| answered.contains(**id)).count();
    let served = endings
        .iter()
        .filter(|(_, ending)| *ending == Ending::Answered(200))
        .count();
    record.line(&format!(
        "{CALLERS} long requests: {served} served; {} had been passed on to engines when their \
         channels were closed without an answer, {run} of these had been run and answered whole; \
         the gateway's process held {} MiB at most",
        lost.len(),
        highest.load(Ordering::Relaxed) / 1024
    ));
    Ok(lost.len() <= LOST)
}
