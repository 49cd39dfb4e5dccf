//! Prefills one part of a prompt that is larger than any engine.

use std::{borrow::Cow, collections::BTreeMap, time::Duration};

use lovagedock::{AnswerEnd, CostParameters, prelude::*};
use lovagedock_wire::{SegmentRange, SegmentReply, WorkMessage};
use parking_lot::Mutex;
use serde::Deserialize;

use crate::{adapter::SegmentRequest, engine_task::engine_priority, state::SidecarState};

/// Length that a part of a span counts as for the engine's priority.
///
/// A span holds memory on several engines for as long as its parts take, one after the other. At
/// the rank of its whole length each part would wait behind all that comes meanwhile, on one
/// engine after the other, and the prompt would run out of time.
const SEGMENT_PRIORITY_TOKENS: TokenCount = 64_000;

/// Prefills a part into memory that its attempt has reserved here.
pub(crate) async fn prefill(
    state: &SidecarState,
    work: &WorkMessage,
    range: SegmentRange,
    bytes_per_token: f64,
) -> SegmentReply {
    // Without the reservation the part would take memory that the ledger has promised to others.
    if !state.read(|core| core.holds_reservation(work.key)) {
        return refused_reply("the reservation has lapsed");
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

/// Parts of spans that the engine prefills now; the load report counts them.
///
/// They are no requests of this endpoint. Without them a report shows an idle engine while it is
/// busy with a long part, and gateways send it the short prompts.
///
/// Lock order: a leaf.
#[derive(Default)]
pub(crate) struct ActiveSegments {
    parts: Mutex<BTreeMap<RequestId, ActiveSegment>>,
}

struct ActiveSegment {
    range: SegmentRange,
    started_at: Timestamp,
}

impl ActiveSegments {
    /// Counts a part until the guard is dropped, also when its gateway goes away.
    pub(crate) fn begin(
        &self,
        request: RequestId,
        range: SegmentRange,
        now: Timestamp,
    ) -> SegmentGuard<'_> {
        let part = ActiveSegment {
            range,
            started_at: now,
        };
        self.parts.lock().insert(request, part);
        SegmentGuard {
            segments: self,
            request,
        }
    }

    /// Number of parts.
    pub(crate) fn count(&self) -> usize {
        self.parts.lock().len()
    }

    /// Prefill time that is predicted to be left.
    pub(crate) fn prefill_left(&self, now: Timestamp, cost: CostParameters) -> Duration {
        let parts = self.parts.lock();
        let left = parts.values().map(|part| {
            let end = part.range.start + part.range.tokens;
            let total = cost.or_assumed().prefill(end, part.range.start);
            total.saturating_sub(now.saturating_sub(part.started_at))
        });
        left.sum()
    }
}

/// Ends the count of a part when it is dropped.
pub(crate) struct SegmentGuard<'a> {
    segments: &'a ActiveSegments,
    request: RequestId,
}

impl Drop for SegmentGuard<'_> {
    fn drop(&mut self) {
        self.segments.parts.lock().remove(&self.request);
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

/// The prompt as the engine sees it: a chat is one line for each message.
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

/// The byte at which a token begins, moved back to the beginning of a character.
fn token_boundary(prompt: &str, token: TokenCount, bytes_per_token: f64) -> usize {
    let byte = (token as f64 * bytes_per_token) as usize;
    prompt.floor_char_boundary(byte.min(prompt.len()))
}
