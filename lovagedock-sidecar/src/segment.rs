//! Prefills one part of a prompt that is larger than any engine.

use std::borrow::Cow;

use lovagedock::{AnswerEnd, prelude::*};
use lovagedock_wire::{SegmentRange, SegmentReply, WorkMessage};
use serde::Deserialize;

use crate::{adapter::SegmentRequest, engine_task::engine_priority, state::SidecarState};

/// Prefills a part into memory that its attempt has reserved here.
pub(crate) async fn prefill(
    state: &SidecarState,
    work: &WorkMessage,
    range: SegmentRange,
    bytes_per_token: f64,
) -> SegmentReply {
    // Without the reservation the part would take memory that the ledger has promised to others.
    if !state.read(|core| core.holds_reservation(work.key)) {
        return refused("the reservation has lapsed");
    }
    let Some(prompt) = prompt_text(&work.body) else {
        return refused("the body has no prompt");
    };
    let request = SegmentRequest {
        request_id: work.key.request,
        priority: engine_priority(work.tier, work.prompt_tokens),
        start: range.start,
        tokens: range.tokens,
        prompt_part: part_of(&prompt, range, bytes_per_token).to_owned(),
    };
    match state.adapter.segment(request).await {
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

fn refused(detail: &str) -> SegmentReply {
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

fn part_of(prompt: &str, range: SegmentRange, bytes_per_token: f64) -> &str {
    let from = boundary(prompt, range.start, bytes_per_token);
    let until = boundary(prompt, range.start + range.tokens, bytes_per_token);
    &prompt[from..until]
}

/// The byte at which a token begins, moved back to the beginning of a character.
fn boundary(prompt: &str, token: TokenCount, bytes_per_token: f64) -> usize {
    let byte = (token as f64 * bytes_per_token) as usize;
    prompt.floor_char_boundary(byte.min(prompt.len()))
}
