//! Faults of engines: each adapter tells truthfully whether the work ran.

mod support;

use std::{sync::Arc, time::Duration};

use tokio::task::JoinHandle;

use lovagedock::prelude::{RanState, format_request_id};
use lovagedock_sidecar::adapter::{
    AdapterOptions, EngineAdapter, EngineError, EngineRequest, SegmentHolder, SegmentRequest,
    build_adapter,
};
use lovagedock_standin::engine::{EngineFault, EngineOptions, JournalEvent, expected_answer};
use support::{
    Answer, Bench, ID, PROMPT, VENDORS, Verdict, answer, bench, bench_with, endless_request,
    first_bytes, read_answer, request, streamed_text, until, verdict,
};

const SHORT_IDLE: Duration = Duration::from_millis(500);

fn impatient(bench: &Bench, adapter: &str) -> Arc<dyn EngineAdapter> {
    let options = AdapterOptions::new(bench.engine.address).with_idle_timeout(SHORT_IDLE);
    build_adapter(adapter, &options).unwrap()
}

/// Only a silent engine has to be found by time.
fn adapter_for(bench: &Bench, adapter: &str, fault: EngineFault) -> Arc<dyn EngineAdapter> {
    match fault {
        EngineFault::Hang => impatient(bench, adapter),
        _ => bench.adapter.clone(),
    }
}

/// The fault comes before the request or after its first bytes. What was never connected did not
/// run; what breaks or goes silent after it was sent is of unknown fate or began.
#[tokio::test]
async fn engine_faults_and_their_verdicts() {
    struct Case {
        name: &'static str,
        fault: EngineFault,
        before: Verdict,
        after: Verdict,
    }
    let cases = [
        Case {
            name: "dies",
            fault: EngineFault::Crash,
            before: Verdict::Unreachable,
            after: Verdict::Lost,
        },
        Case {
            name: "hangs with open connections",
            fault: EngineFault::Hang,
            before: Verdict::Lost,
            after: Verdict::Lost,
        },
        Case {
            name: "crosses answers",
            fault: EngineFault::SwapsResponses,
            before: Verdict::Failed,
            after: Verdict::Failed,
        },
    ];
    for vendor in &VENDORS {
        for case in &cases {
            let name = format!("{} {}", vendor.adapter, case.name);
            let early = bench(vendor).await;
            early.engine.handle.set_fault(case.fault);
            let adapter = adapter_for(&early, vendor.adapter, case.fault);
            let error = answer(&*adapter, endless_request()).await.unwrap_err();
            assert_eq!(verdict(&error), case.before, "{name} before: {error}");

            let running = bench(vendor).await;
            let adapter = adapter_for(&running, vendor.adapter, case.fault);
            let mut stream = adapter.start(endless_request()).await.unwrap();
            first_bytes(&mut stream).await;
            running.engine.handle.set_fault(case.fault);
            let error = read_answer(stream).await.unwrap_err();
            assert_eq!(verdict(&error), case.after, "{name} after: {error}");
            assert_ne!(error.ran(), RanState::No);
        }
    }
}

/// Whole answers come in one piece; one that is crossed, cancelled or broken before that piece
/// reaches no caller.
#[tokio::test]
async fn a_whole_answer_fails_truthfully() {
    for vendor in &VENDORS {
        let crossed = bench(vendor).await;
        crossed.engine.handle.set_fault(EngineFault::SwapsResponses);
        let error = answer(&*crossed.adapter, request(PROMPT, 3, false)).await;
        assert_eq!(verdict(&error.unwrap_err()), Verdict::Failed);

        let cancelled = bench(vendor).await;
        let call = spawn_whole(&cancelled).await;
        cancelled.adapter.cancel(ID).await.unwrap();
        assert_eq!(verdict(&call.await.unwrap().unwrap_err()), Verdict::Failed);

        let broken = bench(vendor).await;
        let call = spawn_whole(&broken).await;
        broken.engine.handle.set_fault(EngineFault::Crash);
        assert_eq!(verdict(&call.await.unwrap().unwrap_err()), Verdict::Lost);
    }
}

/// Starts a whole answer that does not end by itself and waits until the engine runs it.
async fn spawn_whole(bench: &Bench) -> JoinHandle<Result<Answer, EngineError>> {
    let adapter = bench.adapter.clone();
    let endless = request(PROMPT, 300_000, false);
    let call = tokio::spawn(async move { answer(&*adapter, endless).await });
    until(async || bench.engine.handle.allocated_blocks() > 0).await;
    call
}

/// An engine dies and comes back at the same address: the caller sees a lost request, the new
/// process knows nothing of it, and new work runs.
#[tokio::test]
async fn an_engine_that_died_comes_back_empty() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut stream = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut stream).await;
        bench.engine.handle.set_fault(EngineFault::Crash);
        read_answer(stream).await.unwrap_err();
        until(async || {
            matches!(
                bench.adapter.allocations().await,
                Err(EngineError::Unreachable { .. })
            )
        })
        .await;

        bench.engine.handle.set_fault(EngineFault::None);
        until(async || bench.adapter.allocations().await.is_ok()).await;
        assert!(bench.adapter.allocations().await.unwrap().is_empty());
        let again = answer(&*bench.adapter, request(PROMPT, 3, true)).await;
        assert_eq!(
            streamed_text(&again.unwrap().body),
            expected_answer(PROMPT, 3)
        );
        let id = format_request_id(ID);
        assert_eq!(bench.engine.journal.count(&id, JournalEvent::Lost), 1);
    }
}

/// Control calls to a silent engine end by the idle timeout instead of waiting for good.
#[tokio::test]
async fn a_silent_engine_fails_every_control_call() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        bench.engine.handle.set_fault(EngineFault::Hang);
        let adapter = impatient(&bench, vendor.adapter);
        let (cancel, account, load, export, events) = futures::join!(
            adapter.cancel(ID),
            adapter.allocations(),
            adapter.load(),
            adapter.export(ID),
            adapter.cache_events(0),
        );
        let errors = [
            cancel.err(),
            account.err(),
            load.err(),
            export.err(),
            events.err(),
        ];
        for error in errors {
            assert_eq!(verdict(&error.unwrap()), Verdict::Lost);
        }
    }
}

/// Answers that start late or come slowly are still whole: the fault costs time only.
#[tokio::test]
async fn late_and_slow_answers_are_whole() {
    let faults = [
        EngineFault::Late { delay_ms: 20 },
        EngineFault::Slow { factor: 5.0 },
    ];
    for vendor in &VENDORS {
        for fault in faults {
            let bench = bench(vendor).await;
            bench.engine.handle.set_fault(fault);
            let answer = answer(&*bench.adapter, request(PROMPT, 5, true)).await;
            assert_eq!(
                streamed_text(&answer.unwrap().body),
                expected_answer(PROMPT, 5)
            );
        }
    }
}

/// A request that waits behind another for memory hears keep-alives, so it is not taken for one
/// at a silent engine; the caller sees none of them.
#[tokio::test]
async fn waiting_is_not_silence() {
    for vendor in &VENDORS {
        let bench = bench(vendor).await;
        let mut first = bench.adapter.start(endless_request()).await.unwrap();
        first_bytes(&mut first).await;
        let second = EngineRequest {
            request_id: ID + 1,
            ..request(PROMPT, 200_000, true)
        };
        // Hundreds of keep-alives fit into the idle timeout.
        let idle = Duration::from_secs(1);
        let options = AdapterOptions::new(bench.engine.address).with_idle_timeout(idle);
        let adapter = build_adapter(vendor.adapter, &options).unwrap();
        let mut waiting = adapter.start(second).await.unwrap();
        let reader = tokio::spawn(async move { first_bytes(&mut waiting).await });
        tokio::time::sleep(idle * 3 / 2).await;
        bench.adapter.cancel(ID).await.unwrap();
        let bytes = reader.await.unwrap();
        assert!(bytes.starts_with("data: {"), "{bytes}");
    }
}

const PART_TOKENS: u64 = 6_000;
/// Holds one part and an answer, not two parts.
const SMALL_MEMORY: u64 = 8_000;

/// A prompt of two parts and the engines for it.
struct SpanBench {
    holder: Bench,
    decoder: Bench,
    prompt: String,
}

impl SpanBench {
    async fn new(vendor: &support::VendorCase, memory_tokens: u64) -> Self {
        let options = EngineOptions {
            memory_tokens,
            ..EngineOptions::default()
        };
        Self {
            holder: bench_with(vendor, options.clone()).await,
            decoder: bench_with(vendor, options).await,
            prompt: "span".repeat(2 * PART_TOKENS as usize),
        }
    }

    async fn hold_first_part(&self) -> SegmentHolder {
        let request = SegmentRequest {
            request_id: ID,
            priority: 0,
            start: 0,
            tokens: PART_TOKENS,
            prompt_part: self.prompt[..4 * PART_TOKENS as usize].to_owned(),
        };
        self.holder.adapter.segment(request).await.unwrap()
    }

    fn request(&self, max_tokens: u64, holder: SegmentHolder) -> EngineRequest {
        EngineRequest {
            segments: vec![holder],
            ..request(&self.prompt, max_tokens, true)
        }
    }
}

#[tokio::test]
async fn a_span_is_prefilled_in_parts_and_decoded() {
    for vendor in &VENDORS {
        let span = SpanBench::new(vendor, SMALL_MEMORY).await;
        let alone = request(&span.prompt, 20, true);
        let refused = span.decoder.adapter.start(alone).await.err().unwrap();
        assert!(matches!(refused, EngineError::Refused { status: 413, .. }));

        let holder = span.hold_first_part().await;
        assert_eq!(holder.tokens, PART_TOKENS);
        let held = span.holder.adapter.allocations().await.unwrap();
        assert_eq!(held[0].tokens, PART_TOKENS);
        let answer = answer(&*span.decoder.adapter, span.request(20, holder)).await;
        let answer = answer.unwrap();
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(&span.prompt, 20)
        );
        assert_eq!(answer.end.prompt_tokens, 2 * PART_TOKENS);

        span.holder.adapter.cancel(ID).await.unwrap();
        assert_eq!(span.holder.engine.handle.allocated_blocks(), 0);
    }
}

/// Each engine prefills its part in several segments, one of them asked for twice, and the one
/// that decodes holds its own segments too: nothing is held twice, and a cancel frees it all.
#[tokio::test]
async fn a_part_comes_in_segments() {
    const SEGMENT_TOKENS: u64 = PART_TOKENS / 3;
    for vendor in &VENDORS {
        let span = SpanBench::new(vendor, SMALL_MEMORY).await;
        let mut holders = Vec::new();
        for start in [0, 1, 2, 2, 3, 4, 5].map(|index| index * SEGMENT_TOKENS) {
            let bench = match start < PART_TOKENS {
                true => &span.holder,
                false => &span.decoder,
            };
            let bytes = 4 * start as usize..4 * (start + SEGMENT_TOKENS) as usize;
            let segment = SegmentRequest {
                request_id: ID,
                priority: 0,
                start,
                tokens: SEGMENT_TOKENS,
                prompt_part: span.prompt[bytes].to_owned(),
            };
            holders.push(bench.adapter.segment(segment).await.unwrap());
        }
        // The repeated one is the same holder and the same tokens.
        assert_eq!(holders.remove(3), holders[2]);
        for bench in [&span.holder, &span.decoder] {
            let account = bench.adapter.allocations().await.unwrap();
            assert_eq!((account.len(), account[0].tokens), (1, PART_TOKENS));
        }

        let request = EngineRequest {
            segments: holders,
            ..request(&span.prompt, 20, true)
        };
        let answer = answer(&*span.decoder.adapter, request).await.unwrap();
        assert_eq!(
            streamed_text(&answer.body),
            expected_answer(&span.prompt, 20)
        );
        let id = format_request_id(ID);
        for bench in [&span.holder, &span.decoder] {
            assert_eq!(bench.engine.journal.count(&id, JournalEvent::Prefilled), 3);
            bench.adapter.cancel(ID).await.unwrap();
            assert_eq!(bench.engine.handle.allocated_blocks(), 0);
        }
        let decoder = &span.decoder.engine.journal;
        assert_eq!(decoder.count(&id, JournalEvent::Started), 1);
    }
}

/// The engine that holds the first part is lost, or drops the part, while another one decodes.
/// The caller sees a failure, never a short answer, and the decoder frees its memory.
#[tokio::test]
async fn losing_a_part_fails_the_span() {
    for vendor in &VENDORS {
        for dies in [true, false] {
            let span = SpanBench::new(vendor, 400_000).await;
            let holder = span.hold_first_part().await;
            let request = span.request(300_000, holder);
            let mut stream = span.decoder.adapter.start(request).await.unwrap();
            first_bytes(&mut stream).await;
            match dies {
                true => span.holder.engine.handle.set_fault(EngineFault::Crash),
                false => span.holder.adapter.cancel(ID).await.unwrap(),
            }
            let error = read_answer(stream).await.unwrap_err();
            assert_eq!(verdict(&error), Verdict::Failed);
            assert_eq!(span.decoder.engine.handle.allocated_blocks(), 0);
        }
    }
}

#[tokio::test]
async fn a_span_does_not_start_without_its_parts() {
    for vendor in &VENDORS {
        let span = SpanBench::new(vendor, SMALL_MEMORY).await;
        let holder = SegmentHolder {
            locator: span.holder.engine.address.to_string(),
            tokens: PART_TOKENS,
        };
        let request = span.request(20, holder);
        let error = span.decoder.adapter.start(request).await.err().unwrap();
        assert!(matches!(error, EngineError::Refused { status: 409, .. }));
        assert!(span.decoder.engine.journal.entries().is_empty());
    }
}
