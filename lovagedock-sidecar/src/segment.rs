//! Prefills segments. A segment is one part of a prompt that does not fit on a single engine; a
//! span is a request whose segments are held by several engines.

use std::{borrow::Cow, collections::BTreeMap, time::Duration};

use lovagedock::{AnswerEnd, CostParameters, prelude::*};
use lovagedock_wire::{SegmentRange, SegmentReply, WorkMessage};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::{adapter::SegmentRequest, engine_task::engine_priority, state::SidecarState};

/// Prompt length from which the engine priority of a segment is computed.
///
/// A span holds memory on several engines until its segments, one after the other, have been
/// prefilled. With the priority of its whole length, each segment would wait behind all requests
/// that arrive meanwhile, on one engine after the other, and the prompt would miss its deadline.
const SEGMENT_PRIORITY_TOKENS: TokenCount = 64_000;

/// Prefills a segment into the memory that its attempt has reserved on this endpoint.
pub(crate) async fn prefill(
    state: &SidecarState,
    work: &WorkMessage,
    range: SegmentRange,
    bytes_per_token: f64,
) -> SegmentReply {
    // Without the reservation the segment would use memory that the core's memory ledger has
    // granted to other requests.
    if !state.read(|core| core.holds_reservation(work.key)) {
        return refused_reply("the reservation has expired");
    }
    let Some(prompt) = prompt_text(&work.body) else {
        return refused_reply("the body has no prompt");
    };
    let request = SegmentRequest {
        request_id: work.key.request,
        priority: engine_priority(work.tier, SEGMENT_PRIORITY_TOKENS),
        start: range.start,
        tokens: range.tokens,
        prompt_part: prompt_slice(&prompt, range, bytes_per_token).to_owned(),
    };
    let prefilled = {
        let _active = state
            .segments
            .begin(work.key.request, range, state.clock.now());
        state.adapter.segment(request).await
    };
    match prefilled {
        Ok(holder) => SegmentReply {
            end: AnswerEnd::new(ResultCode::Complete),
            locator: holder.locator,
        },
        Err(error) => SegmentReply {
            end: AnswerEnd::new(ResultCode::EngineFailed)
                .with_ran(error.ran())
                .with_detail(error.to_string()),
            locator: String::new(),
        },
    }
}

/// Segments that the engine is prefilling; the load report includes them.
///
/// They are not requests of this endpoint. If they were not counted, a report would show an idle
/// engine while it is busy with a long segment, and gateways would send it short prompts.
///
/// Lock order: no other lock is taken while this one is held.
#[derive(Default)]
pub(crate) struct ActiveSegments {
    by_request: Mutex<BTreeMap<RequestId, ActiveSegment>>,
}

struct ActiveSegment {
    range: SegmentRange,
    started_at: Timestamp,
}

impl ActiveSegments {
    /// Counts a segment until the guard is dropped, which also happens when its gateway
    /// disconnects.
    pub(crate) fn begin(
        &self,
        request: RequestId,
        range: SegmentRange,
        now: Timestamp,
    ) -> SegmentGuard<'_> {
        let segment = ActiveSegment {
            range,
            started_at: now,
        };
        self.by_request.lock().insert(request, segment);
        SegmentGuard {
            segments: self,
            request,
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.by_request.lock().len()
    }

    /// Predicted remaining prefill time of all segments.
    pub(crate) fn prefill_left(&self, now: Timestamp, cost: CostParameters) -> Duration {
        let segments = self.by_request.lock();
        let left = segments.values().map(|segment| {
            let end = segment.range.start + segment.range.tokens;
            let total = cost.or_assumed().prefill(end, segment.range.start);
            total.saturating_sub(now.saturating_sub(segment.started_at))
        });
        left.sum()
    }
}

/// Removes a segment from the count when it is dropped.
pub(crate) struct SegmentGuard<'a> {
    segments: &'a ActiveSegments,
    request: RequestId,
}

impl Drop for SegmentGuard<'_> {
    fn drop(&mut self) {
        self.segments.by_request.lock().remove(&self.request);
    }
}

fn refused_reply(detail: &str) -> SegmentReply {
    SegmentReply {
        end: AnswerEnd::new(ResultCode::EngineRefused).with_detail(detail),
        locator: String::new(),
    }
}

#[derive(Deserialize)]
struct PromptBody<'a> {
    #[serde(borrow, default)]
    prompt: Cow<'a, str>,
    #[serde(borrow, default)]
    messages: Vec<PromptMessage<'a>>,
}

#[derive(Deserialize)]
struct PromptMessage<'a> {
    #[serde(borrow, default)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

/// The prompt as the engine receives it; a chat has one line per message.
fn prompt_text(body: &[u8]) -> Option<String> {
    let body: PromptBody<'_> = serde_json::from_slice(body).ok()?;
    if !body.prompt.is_empty() {
        return Some(body.prompt.into_owned());
    }
    if body.messages.is_empty() {
        return None;
    }
    let lines = body.messages.iter();
    Some(
        lines
            .map(|message| format!("{}: {}\n", message.role, message.content))
            .collect(),
    )
}

fn prompt_slice(prompt: &str, range: SegmentRange, bytes_per_token: f64) -> &str {
    let start = token_boundary(prompt, range.start, bytes_per_token);
    let end = token_boundary(prompt, range.start + range.tokens, bytes_per_token);
    &prompt[start..end]
}

/// The estimated byte at which a token begins, moved back to the start of a character.
fn token_boundary(prompt: &str, token: TokenCount, bytes_per_token: f64) -> usize {
    let byte = (token as f64 * bytes_per_token) as usize;
    prompt.floor_char_boundary(byte.min(prompt.len()))
}
