//! Renders answers as server-sent events or as one JSON document.

use std::sync::Arc;

use lovagedock::prelude::TokenCount;

use super::{
    answer::answer_text,
    protocol::{
        CachedUsage, ChoiceText, CompletionChoice, CompletionMessage, CompletionResponse,
        CompletionUsage,
    },
};

/// Last event of a streamed response.
pub(crate) const STREAM_END: &str = "data: [DONE]\n\n";
/// SSE comment that shows a waiting caller that the engine is alive.
pub(crate) const KEEP_ALIVE: &str = ": keep-alive\n\n";

const FINISH_REASON: &str = "length";

/// Parameters that determine the text of an answer.
#[derive(Clone, Debug)]
pub(crate) struct AnswerSource {
    pub(crate) request_id: Arc<str>,
    pub(crate) model: String,
    pub(crate) chat: bool,
    pub(crate) digest: u64,
    pub(crate) prompt_tokens: TokenCount,
    pub(crate) max_tokens: TokenCount,
}

impl AnswerSource {
    /// Renders one event with the answer tokens in `start..end`.
    pub(crate) fn event(&self, start: TokenCount, end: TokenCount, cached: TokenCount) -> String {
        let text = answer_text(self.digest, start, end);
        let choice = match self.chat {
            true => ChoiceText::Delta(assistant(text)),
            false => ChoiceText::Text(text),
        };
        let object = match self.chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        let finished = end >= self.max_tokens;
        format!("data: {}\n\n", self.json(object, choice, finished, cached))
    }

    /// Renders the answer from token `start` on as one JSON document.
    pub(crate) fn completion_json(&self, start: TokenCount, cached: TokenCount) -> String {
        let text = answer_text(self.digest, start, self.max_tokens);
        let choice = match self.chat {
            true => ChoiceText::Message(assistant(text)),
            false => ChoiceText::Text(text),
        };
        let object = match self.chat {
            true => "chat.completion",
            false => "text_completion",
        };
        self.json(object, choice, true, cached)
    }

    fn json(
        &self,
        object: &'static str,
        text: ChoiceText,
        finished: bool,
        cached: TokenCount,
    ) -> String {
        let choice = CompletionChoice {
            index: 0,
            text,
            finish_reason: finished.then_some(FINISH_REASON),
        };
        let response = CompletionResponse {
            id: &self.request_id,
            object,
            created: 0,
            model: &self.model,
            choices: [choice],
            usage: finished.then(|| self.usage(cached)),
        };
        serde_json::to_string(&response).unwrap_or_default()
    }

    fn usage(&self, cached: TokenCount) -> CompletionUsage {
        CompletionUsage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.max_tokens,
            total_tokens: self.prompt_tokens + self.max_tokens,
            prompt_tokens_details: CachedUsage {
                cached_tokens: cached,
            },
        }
    }
}

fn assistant(content: String) -> CompletionMessage {
    CompletionMessage {
        role: "assistant",
        content,
    }
}
