//! Callers send bodies of the allowed size in small chunks.

use std::{
    io::{self, Write},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Channel, Deployment, Ending, EngineWork, Head, Record, Request, enforce_memory, keep_channels,
    stream_route, unsafe_route,
};

/// The configuration's `maxBodyBytes`.
const BODY_BYTES: usize = 4_194_304;
/// Callers that send a body of this size at the same moment, and the size of their chunks.
const UPLOADS: usize = 8;
const CHUNK_BYTES: usize = 2;
/// Bytes that such a caller writes to its channel in a second.
const WRITE_PER_S: usize = 1_500_000;
/// Callers with kept channels that send unsafe requests one after the other, and the time that the
/// application takes for one.
const CALLERS: usize = 12;
const APPLICATION_TIME: Duration = Duration::from_millis(200);
/// Time for which they go on.
const TIME: Duration = Duration::from_secs(15);
/// Closed channels beyond which the rule is broken.
const LOST: usize = 3;

fn work(head: &Head) -> EngineWork {
    let is_stream = head.first.contains("/pufi791/");
    EngineWork {
        read_per_s: None,
        first: match is_stream {
            true => Duration::from_millis(60),
            false => APPLICATION_TIME,
        },
        events: if is_stream { 21 } else { 0 },
        gap: Duration::from_millis(45),
    }
}

/// Returns the request as it is written to the channel.
fn request_bytes(id: &str, in_chunks: bool) -> Vec<u8> {
    let body = vec![b'p'; BODY_BYTES];
    let request = Request {
        method: "POST",
        path: "/pufi791/2f",
        id,
        deadline_ms: 15_000,
        tokens: Some((5_000, 966)),
        body: &body,
    };
    let head = request.head();
    if !in_chunks {
        return [head.as_bytes(), &body].concat();
    }
    let length = format!("Content-Length: {BODY_BYTES}");
    let mut bytes = head
        .replace(&length, "Transfer-Encoding: chunked")
        .into_bytes();
    for chunk in body.chunks(CHUNK_BYTES) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn write_paced(channel: &mut Channel, bytes: &[u8]) -> io::Result<()> {
    const PIECE: usize = 15_000;
    let started = Instant::now();
    for (number, piece) in bytes.chunks(PIECE).enumerate() {
        let due = started + Duration::from_secs_f64((number * PIECE) as f64 / WRITE_PER_S as f64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        channel.stream.write_all(piece)?;
    }
    Ok(())
}

/// Sends one request of this size and waits for its whole answer.
fn upload(record: &Record, mut channel: Channel, id: &str, bytes: &[u8]) {
    let sent = Instant::now();
    let until = sent + Duration::from_secs(15);
    let result = write_paced(&mut channel, bytes).and_then(|()| {
        record.line(&format!(
            "caller sent {id}, {} bytes on the channel",
            bytes.len()
        ));
        let head = channel.read_head(until)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        channel.read_body(&head, |_| until)?;
        Ok(head.status())
    });
    let took = sent.elapsed().as_secs_f64();
    record.line(&format!("caller {id}: {result:?} after {took:.3} s"));
}

/// Sends an unsafe request on a kept channel and waits for its whole answer.
fn look_up(record: &Record, channel: &mut Channel, id: &str) -> Ending {
    let request = Request {
        method: "POST",
        path: "/puxa403/2f",
        id,
        deadline_ms: 2_500,
        tokens: None,
        body: b"{}",
    };
    record.line(&format!("caller sends the unsafe request {id}"));
    let until = Instant::now() + Duration::from_secs(3);
    let result = request.send(channel).and_then(|()| {
        let head = channel.read_head(until)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        channel.read_body(&head, |_| until)?;
        Ok(head.status())
    });
    let ending = match result {
        Ok(status) => Ending::Answered(status),
        Err(error) => Ending::of(&error),
    };
    record.line(&format!("unsafe request {id}: {ending:?}"));
    ending
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let routes = [stream_route(15_000), unsafe_route()];
    let deployment = Deployment::start(record, &routes, work)?;
    let gateway = &deployment.gateways[0];
    let uploads: Vec<(String, Vec<u8>)> = (0..UPLOADS)
        .map(|number| {
            let id = format!("{:016x}", 0xc000 + number);
            let bytes = request_bytes(&id, trouble);
            (id, bytes)
        })
        .collect();
    let callers = keep_channels(record, gateway, CALLERS)?;
    record.line("the callers with kept channels go on; the large bodies follow");

    let endings = Mutex::new(Vec::new());
    let (ended, highest) = (AtomicBool::new(false), AtomicU64::new(0));
    let until = Instant::now() + TIME;
    thread::scope(|scope| {
        scope.spawn(|| enforce_memory(record, gateway, &ended, &highest));
        let mut threads = Vec::new();
        for (number, caller) in callers.into_iter().enumerate() {
            let endings = &endings;
            threads.push(scope.spawn(move || {
                let mut channel = caller.channel;
                for turn in 0..0x1000 {
                    let id = format!("{:016x}", 0xa000_0000 + number * 0x1000 + turn);
                    let ending = look_up(record, &mut channel, &id);
                    endings.lock().unwrap().push((id, ending));
                    if ending != Ending::Answered(200) || Instant::now() > until {
                        return;
                    }
                }
            }));
        }
        thread::sleep(Duration::from_secs(1));
        for (id, bytes) in &uploads {
            let Ok(channel) = Channel::connect(gateway.callers) else {
                continue;
            };
            threads.push(scope.spawn(move || upload(record, channel, id, bytes)));
        }
        for thread in threads {
            let _ = thread.join();
        }
        ended.store(true, Ordering::Relaxed);
    });
    let endings = endings.into_inner().unwrap();
    let got = deployment.got();
    let closed = endings
        .iter()
        .filter(|(_, ending)| *ending == Ending::Closed);
    let lost = closed.filter(|(id, _)| got.contains(id)).count();
    let served = endings
        .iter()
        .filter(|(_, ending)| *ending == Ending::Answered(200))
        .count();
    record.line(&format!(
        "requests on kept channels: {served} served; {lost} had been passed on to engines when \
         their channels were closed without an answer; the gateway's process held {} MiB at most",
        highest.load(Ordering::Relaxed) / 1024
    ));
    Ok(lost <= LOST)
}
