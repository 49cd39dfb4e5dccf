//! Sessions between a gateway and a sidecar, over loopback and with both ends in this process.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use lovagedock::{
    AnswerEnd, AttemptKey, CostParameters, EndpointBacklog, LoadedReport, RevokeVerdict, prelude::*,
};
use lovagedock_wire::{
    AnswerHead, AnswerReceiver, AnswerSender, ConfigMessage, EndpointClient, EndpointHandler,
    HeaderField, LoadMessage, OrderMessage, OrderReply, PROTOCOL_VERSION, PeerIdentity,
    ReserveReply, SegmentRange, SegmentReply, SubmitReply, WorkMessage, serve_endpoint,
};
use tokio::{sync::Notify, task::LocalSet};

use crate::{
    meter::{cpu_start, heap_bytes},
    slope::SlopeSeries,
    traffic::CountedPair,
};

pub(crate) const CALL_TIME: Duration = Duration::from_secs(10);
const REPEATS: usize = 5;
/// Bytes of IP and TCP headers of a segment, with timestamps.
pub(crate) const SEGMENT_HEADER_BYTES: f64 = 52.0;
const CHUNK: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\" wreck\"}}]}\n\n";

/// What sessions cost.
pub(crate) struct WireSlopes {
    /// Bytes in both directions, over heartbeats.
    pub(crate) beat_bytes: SlopeSeries,
    /// Writes to the socket in both directions, over heartbeats.
    pub(crate) beat_writes: SlopeSeries,
    /// Processor time of both ends, over heartbeats.
    pub(crate) beat_cpu: SlopeSeries,
    /// Bytes of one heartbeat, over cached prefixes in the report.
    pub(crate) prefix_bytes: SlopeSeries,
    /// Bytes of opening, with greeting and first heartbeat, over sessions.
    pub(crate) open_bytes: SlopeSeries,
    /// Heap of both ends, over sessions.
    pub(crate) session_heap: SlopeSeries,
    /// Bytes beside body and answer, over requests of one chunk.
    pub(crate) request_bytes: SlopeSeries,
    /// Processor time of both ends, over requests of one chunk.
    pub(crate) request_cpu: SlopeSeries,
    /// Bytes beside the answer, over chunks of an answer.
    pub(crate) chunk_bytes: SlopeSeries,
    /// Processor time of both ends, over chunks of an answer.
    pub(crate) chunk_cpu: SlopeSeries,
}

impl WireSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let beats = [500, 2_000, 8_000];
        let prefixes = [1, 16, 64, 256];
        let sessions = [25, 50, 100, 200];
        let requests = [200, 800, 3_200];
        let chunks = [16, 64, 256, 1_024];
        Self {
            beat_bytes: SlopeSeries::new(
                "heartbeat with report, both directions",
                "heartbeats",
                "B",
            )
            .with_points(&beats, REPEATS, |n| run_beats(n, 0).bytes),
            beat_writes: SlopeSeries::new(
                "segments of a heartbeat, both directions",
                "heartbeats",
                "writes",
            )
            .with_points(&beats, REPEATS, |n| run_beats(n, 0).writes),
            beat_cpu: SlopeSeries::new(
                "processor time of a heartbeat, both ends",
                "heartbeats",
                "µs",
            )
            .with_points(&beats, REPEATS, |n| run_beats(n, 0).cpu_micros),
            prefix_bytes: SlopeSeries::new(
                "bytes of one heartbeat",
                "cached prefixes reported",
                "B",
            )
            .with_points(&prefixes, REPEATS, |n| run_beats(200, n).bytes / 200.0),
            open_bytes: SlopeSeries::new(
                "bytes to open sessions, with a first heartbeat",
                "sessions",
                "B",
            )
            .with_points(&sessions, REPEATS, |n| run_sessions(n).bytes),
            session_heap: SlopeSeries::new("heap of sessions, both ends", "sessions", "B")
                .with_points(&sessions, REPEATS, |n| run_sessions(n).heap),
            request_bytes: SlopeSeries::new(
                "bytes beside body and answer",
                "requests of one chunk",
                "B",
            )
            .with_points(&requests, REPEATS, |n| run_requests(n, 1).bytes),
            request_cpu: SlopeSeries::new(
                "processor time on the wire, both ends",
                "requests of one chunk",
                "µs",
            )
            .with_points(&requests, REPEATS, |n| run_requests(n, 1).cpu_micros),
            chunk_bytes: SlopeSeries::new("bytes beside the answer", "chunks of an answer", "B")
                .with_points(&chunks, REPEATS, |n| run_requests(20, n).bytes / 20.0),
            chunk_cpu: SlopeSeries::new(
                "processor time on the wire, both ends",
                "chunks of an answer",
                "µs",
            )
            .with_points(&chunks, REPEATS, |n| run_requests(20, n).cpu_micros / 20.0),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.beat_bytes,
            &self.beat_writes,
            &self.beat_cpu,
            &self.prefix_bytes,
            &self.open_bytes,
            &self.session_heap,
            &self.request_bytes,
            &self.request_cpu,
            &self.chunk_bytes,
            &self.chunk_cpu,
        ]
    }
}

struct SidecarFake {
    load: LoadMessage,
    chunks: usize,
}

impl EndpointHandler for SidecarFake {
    fn hello(&self, _identity: PeerIdentity) -> PeerIdentity {
        identity("sidecar-of-engine-07312")
    }

    fn submit(
        &self,
        _work: WorkMessage,
        sender: AnswerSender,
    ) -> impl Future<Output = SubmitReply> + 'static {
        tokio::task::spawn_local(send_answer(sender, self.chunks));
        async { SubmitReply::Accepted }
    }

    fn resume(&self, _key: AttemptKey, _offset: u64, _sender: AnswerSender) -> bool {
        false
    }

    fn revoke(&self, _key: AttemptKey) -> RevokeVerdict {
        RevokeVerdict::Revoked
    }

    fn cancel(&self, _key: AttemptKey) {}

    fn heartbeat(&self, sequence: u64, _generation: Generation) -> LoadMessage {
        LoadMessage {
            sequence,
            ..self.load.clone()
        }
    }

    fn configure(&self, message: ConfigMessage) -> Generation {
        message.generation
    }

    fn reserve(&self, _key: AttemptKey, _tokens: TokenCount, _hold: Duration) -> ReserveReply {
        ReserveReply {
            granted: false,
            free_tokens: 0,
        }
    }

    fn release(&self, _key: AttemptKey) {}

    fn segment(
        &self,
        _work: WorkMessage,
        _range: SegmentRange,
    ) -> impl Future<Output = SegmentReply> + 'static {
        std::future::ready(SegmentReply {
            end: AnswerEnd::new(ResultCode::NoCapacity),
            locator: String::new(),
        })
    }

    fn drain(&self, _leaving: bool) -> u32 {
        0
    }

    fn order(&self, _message: OrderMessage) -> impl Future<Output = OrderReply> + 'static {
        std::future::ready(OrderReply {
            code: ResultCode::EngineRefused,
            detail: String::new(),
            report: LoadedReport::default(),
        })
    }
}

async fn send_answer(sender: AnswerSender, chunks: usize) {
    let head = AnswerHead {
        status: 200,
        headers: vec![header("content-type", "text/event-stream")],
    };
    sender.head(&head).await.expect("session");
    let bytes = Bytes::from_static(CHUNK);
    let mut offset = 0;
    for _ in 0..chunks {
        sender.chunk(offset, &bytes).await.expect("session");
        offset += bytes.len() as u64;
    }
    let end = AnswerEnd::complete(offset, [7; 32]);
    sender.done(&end).await.expect("session");
}

struct AnswerWaiter {
    done: Rc<Notify>,
}

impl AnswerReceiver for AnswerWaiter {
    fn head(&self, _head: AnswerHead) -> impl Future<Output = ()> + 'static {
        std::future::ready(())
    }

    fn chunk(&self, _offset: u64, _bytes: Bytes) -> impl Future<Output = ()> + 'static {
        std::future::ready(())
    }

    fn done(&self, _end: AnswerEnd) -> impl Future<Output = ()> + 'static {
        self.done.notify_one();
        async {}
    }
}

struct RunCost {
    bytes: f64,
    writes: f64,
    cpu_micros: f64,
}

struct WireBench {
    pair: CountedPair,
    sidecar: Rc<SidecarFake>,
}

impl WireBench {
    async fn new(prefixes: usize, chunks: usize) -> Self {
        Self {
            pair: CountedPair::new().await,
            sidecar: Rc::new(SidecarFake {
                load: load_message(prefixes),
                chunks,
            }),
        }
    }

    /// Opens a session and sends its first heartbeat.
    async fn session(&self) -> EndpointClient {
        let (near, far) = self.pair.streams().await;
        tokio::task::spawn_local(serve_endpoint(far, Rc::clone(&self.sidecar)));
        let client = EndpointClient::new(near);
        let identity = identity("gateway-0731");
        client.hello(&identity, CALL_TIME).await.expect("welcome");
        client.heartbeat(0, 1, CALL_TIME).await.expect("report");
        client
    }

    fn cost(&self, cpu_micros: f64) -> RunCost {
        RunCost {
            bytes: self.pair.bytes(),
            writes: self.pair.writes(),
            cpu_micros,
        }
    }
}

fn run_beats(beats: usize, prefixes: usize) -> RunCost {
    block_on(async move {
        let bench = WireBench::new(prefixes, 0).await;
        let client = bench.session().await;
        bench.pair.reset();
        let start = cpu_start();
        for sequence in 1..=beats as u64 {
            let beat = client.heartbeat(sequence, 1, CALL_TIME);
            beat.await.expect("report");
        }
        bench.cost(start.elapsed().as_secs_f64() * 1e6)
    })
}

struct SessionCost {
    bytes: f64,
    heap: f64,
}

fn run_sessions(sessions: usize) -> SessionCost {
    block_on(async move {
        let bench = WireBench::new(0, 0).await;
        let first = bench.session().await;
        bench.pair.reset();
        let before = heap_bytes();
        let mut clients = Vec::with_capacity(sessions);
        for _ in 0..sessions {
            clients.push(bench.session().await);
        }
        let cost = SessionCost {
            bytes: bench.pair.bytes(),
            heap: heap_bytes() - before,
        };
        drop((first, clients));
        cost
    })
}

fn run_requests(requests: usize, chunks: usize) -> RunCost {
    let work = work_message();
    let payload = work.body.len() + chunks * CHUNK.len();
    let cost = block_on(async move {
        let bench = WireBench::new(0, chunks).await;
        let client = bench.session().await;
        bench.pair.reset();
        let start = cpu_start();
        for _ in 0..requests {
            let done = Rc::new(Notify::new());
            let waiter = AnswerWaiter {
                done: Rc::clone(&done),
            };
            let reply = client.submit(&work, waiter, CALL_TIME).await;
            assert_eq!(reply.expect("session"), SubmitReply::Accepted);
            done.notified().await;
        }
        bench.cost(start.elapsed().as_secs_f64() * 1e6)
    });
    RunCost {
        bytes: cost.bytes - (payload * requests) as f64,
        ..cost
    }
}

pub(crate) fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, work)
}

pub(crate) fn identity(name: &str) -> PeerIdentity {
    PeerIdentity {
        version: PROTOCOL_VERSION,
        name: name.to_owned(),
        incarnation: 0x1234_5678_9abc_def0,
        generation: 19_000,
    }
}

fn header(name: &str, value: &'static str) -> HeaderField {
    HeaderField {
        name: name.to_owned(),
        value: Bytes::from_static(value.as_bytes()),
    }
}

fn load_message(prefixes: usize) -> LoadMessage {
    LoadMessage {
        sequence: 1,
        memory_tokens: 2_000_000,
        free_tokens: 731_000,
        queued: 7,
        queued_tokens: 40_000,
        running: 31,
        running_long: 2,
        prefill_tokens_left: 12_000,
        backlog: EndpointBacklog {
            all: Duration::from_micros(731_042),
            short: Duration::from_micros(81_042),
        },
        cost: CostParameters::default(),
        generation: 19_000,
        cached_prefixes: (0..prefixes as u64)
            .map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect(),
        ..LoadMessage::default()
    }
}

fn work_message() -> WorkMessage {
    WorkMessage {
        key: AttemptKey {
            request: 0x1234_5678_9abc_def0_1234_5678_9abc_def0,
            attempt: 1,
            incarnation: 0x1234_5678_9abc_def0,
        },
        service: "summaries".into(),
        organisation: "organisation-07312".into(),
        tier: PriorityTier::Standard,
        weight: 1,
        remaining: Duration::from_secs(60),
        prompt_tokens: 1_000,
        answer_tokens: 400,
        non_idempotent: false,
        predicted: Duration::from_millis(300),
        span: Vec::new(),
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        headers: vec![
            header("content-type", "application/json"),
            header("accept", "text/event-stream"),
        ],
        body: Bytes::from(vec![b'x'; 4_096]),
    }
}
