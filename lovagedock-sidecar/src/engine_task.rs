//! Runs one request on the engine and reports its progress to the core.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use lovagedock::{AttemptKey, EndpointEvent, EngineAnswer, EngineResult, LengthBucket, prelude::*};
use lovagedock_wire::{AnswerHead, HeaderField, WorkMessage};
use tokio::time::timeout;

use crate::{
    adapter::{
        EngineEnd, EngineError, EngineEvent, EngineHead, EngineHeader, EngineRequest, SegmentHolder,
    },
    state::SidecarState,
};

/// Difference between the priorities of two adjacent length buckets. It exceeds the difference
/// between any two tiers.
const LENGTH_PRIORITY_STEP: i32 = 3;
/// Maximum length of an answer; equals the limit for a whole (not streamed) answer of a model
/// engine.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time limit for probing an engine after its connection broke. If the process of an engine on the
/// same host has ended, the connection is refused within a millisecond.
const EXIT_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// HTTP status of an engine that already has a request with the same id.
const CONFLICT_STATUS: u16 = 409;

/// Starts a request on the engine and reads its answer to the end.
pub(crate) async fn run(state: Arc<SidecarState>, key: AttemptKey, work: Arc<WorkMessage>) {
    let result = match stream_answer(&state, key, &work).await {
        Ok(end) => finished_result(&state, key, end),
        Err(EngineError::Lost { detail }) if has_exited(&state).await => {
            EngineResult::Ended { detail }
        }
        Err(error) => error_result(&error),
    };
    if let Some(record) = state.answers().get_mut(key.request) {
        record.engine_task = None;
    }
    state.decide(EndpointEvent::EngineEnded { key, result });
}

/// Whether the engine's process has ended, in which case its port refuses connections. A broken
/// connection alone does not show this. If every broken connection were reported to the gateways as
/// an end of the engine process, it would be counted against the request.
async fn has_exited(state: &Arc<SidecarState>) -> bool {
    let load_result = timeout(EXIT_PROBE_TIMEOUT, state.adapter.load()).await;
    matches!(load_result, Ok(Err(EngineError::Unreachable { .. })))
}

/// Priority of a request on an engine: shorter prompts first; for equal length buckets, the higher
/// tier first.
///
/// Engines prefill in chunks, the highest priority first. If the priority did not include the
/// length, a prompt of a thousand tokens that arrives after one of a million would wait for all
/// chunks of the long prompt. If the tier came before the length, the short prompt would still wait
/// whenever the long prompt has a higher tier. Tiers are respected by the queue of the sidecar. On
/// the engine, a short prompt delays a long prompt of any tier only a little.
pub(crate) fn engine_priority(tier: PriorityTier, prompt_tokens: TokenCount) -> i32 {
    let tier = match tier {
        PriorityTier::Batch => 0,
        PriorityTier::Standard => 1,
        PriorityTier::Interactive => 2,
    };
    let length_rank = LengthBucket::ALL.len() - 1 - LengthBucket::of(prompt_tokens).index();
    length_rank as i32 * LENGTH_PRIORITY_STEP + tier
}

async fn stream_answer(
    state: &Arc<SidecarState>,
    key: AttemptKey,
    work: &WorkMessage,
) -> Result<EngineEnd, EngineError> {
    let mut stream = state.adapter.start(engine_request(key, work)).await?;
    state.decide(EndpointEvent::EngineStarted(key));
    let mut remaining_bytes = MAX_ANSWER_BYTES;
    while let Some(event) = stream.next().await {
        match event? {
            EngineEvent::Head(head) => record_head(state, key, head),
            EngineEvent::Bytes(bytes) => {
                if let Some(record) = state.answers().get_mut(key.request) {
                    record.append(&bytes);
                }
                // The whole answer is kept until it was sent. A service that never ends its body,
                // or a caller that reads slowly, would otherwise fill the host's memory.
                remaining_bytes = remaining_bytes.saturating_sub(bytes.len());
                if remaining_bytes == 0 {
                    return Err(EngineError::failed(format!(
                        "the answer is longer than {MAX_ANSWER_BYTES} bytes"
                    )));
                }
                let length = bytes.len() as u64;
                state.decide(EndpointEvent::EngineBytes { key, length });
            }
            EngineEvent::End(end) => return Ok(end),
        }
    }
    Err(EngineError::Lost {
        detail: "the engine's answer was truncated".to_owned(),
    })
}

fn engine_request(key: AttemptKey, work: &WorkMessage) -> EngineRequest {
    EngineRequest {
        request_id: key.request,
        priority: engine_priority(work.tier, work.prompt_tokens),
        method: work.method.clone(),
        path: work.path.clone(),
        headers: work
            .headers
            .iter()
            .map(|field| EngineHeader {
                name: field.name.clone(),
                value: field.value.clone(),
            })
            .collect(),
        body: work.body.clone(),
        resume_offset: 0,
        segments: work
            .span
            .iter()
            .map(|holder| SegmentHolder {
                locator: holder.locator.clone(),
                tokens: holder.tokens,
            })
            .collect(),
    }
}

fn record_head(state: &SidecarState, key: AttemptKey, head: EngineHead) {
    let head = AnswerHead {
        status: head.status,
        headers: head
            .headers
            .into_iter()
            .map(|header| HeaderField {
                name: header.name,
                value: header.value,
            })
            .collect(),
    };
    if let Some(record) = state.answers().get_mut(key.request) {
        record.head = Some(head);
        record.notify_sinks();
    }
}

fn finished_result(state: &SidecarState, key: AttemptKey, end: EngineEnd) -> EngineResult {
    let mut answers = state.answers();
    let Some(record) = answers.get_mut(key.request) else {
        return EngineResult::Cancelled;
    };
    let (length, digest) = record.length_and_digest();
    EngineResult::Finished(EngineAnswer {
        length,
        digest,
        prompt_tokens: end.prompt_tokens,
        cached_tokens: end.cached_tokens,
        answer_tokens: end.answer_tokens,
    })
}

fn error_result(error: &EngineError) -> EngineResult {
    let detail = error.to_string();
    match error {
        // An earlier run under this id is on the engine. If it were reported as "not run", a call
        // that must not be repeated would be sent to another engine while that run continues.
        EngineError::Refused { status, .. } if *status == CONFLICT_STATUS => {
            EngineResult::Lost { detail }
        }
        EngineError::Refused { .. } if error.is_invalid_request() => {
            EngineResult::Invalid { detail }
        }
        EngineError::Refused { .. } | EngineError::Unreachable { .. } => {
            EngineResult::Refused { detail }
        }
        EngineError::Lost { .. } => EngineResult::Lost { detail },
        EngineError::Failed { .. } => EngineResult::Failed { detail },
    }
}
