//! Parses the parts of a chat or completion request that placement needs.

use std::borrow::Cow;

use lovagedock::{ModelSpec, prefix_hashes, prelude::*, prompt_parts};
use serde::Deserialize;

use crate::call::PromptSummary;

/// Answer length that is assumed if the caller sets no limit.
const DEFAULT_ANSWER_TOKENS: TokenCount = 256;

/// The fields of a request body that the gateway reads; engines read the rest.
#[derive(Debug, Deserialize)]
pub(super) struct ModelBody<'a> {
    /// Requested model.
    #[serde(borrow)]
    pub(super) model: Cow<'a, str>,
    #[serde(borrow, default)]
    prompt: Option<PromptText<'a>>,
    #[serde(borrow, default)]
    messages: Vec<ChatMessage<'a>>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<TokenCount>,
    #[serde(default)]
    max_completion_tokens: Option<TokenCount>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum PromptText<'a> {
    One(#[serde(borrow)] Cow<'a, str>),
    Many(#[serde(borrow)] Vec<Cow<'a, str>>),
}

#[derive(Debug, Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow, default)]
    content: Option<MessageContent<'a>>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum MessageContent<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Parts(#[serde(borrow)] Vec<ContentPart<'a>>),
}

#[derive(Debug, Deserialize)]
struct ContentPart<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

impl ModelBody<'_> {
    /// Estimated prompt length, answer limit and prefix hashes, based on the model's bytes per
    /// token.
    pub(super) fn summary(&self, model: &ModelSpec) -> PromptSummary {
        let text = self.text();
        let tokens = (text.len() as f64 / model.bytes_per_token).ceil() as TokenCount;
        let answer_tokens = self
            .max_completion_tokens
            .or(self.max_tokens)
            .unwrap_or(DEFAULT_ANSWER_TOKENS);
        PromptSummary {
            tokens: tokens.max(1),
            answer_tokens: answer_tokens.max(1),
            prefix_hashes: prefix_hashes(text.as_bytes(), model.bytes_per_token).into(),
            parts: prompt_parts(text.as_bytes()),
            stream: self.stream,
        }
    }

    /// Whether the request contains a prompt or messages.
    pub(super) fn has_prompt(&self) -> bool {
        self.prompt.is_some() || !self.messages.is_empty()
    }

    fn text(&self) -> Cow<'_, str> {
        match &self.prompt {
            Some(PromptText::One(text)) => Cow::Borrowed(text),
            Some(PromptText::Many(texts)) => Cow::Owned(texts.concat()),
            None => Cow::Owned(self.messages_text()),
        }
    }

    fn messages_text(&self) -> String {
        let mut joined = String::new();
        for message in &self.messages {
            match &message.content {
                Some(MessageContent::Text(text)) => joined.push_str(text),
                Some(MessageContent::Parts(parts)) => {
                    for part in parts {
                        joined.push_str(part.text.as_deref().unwrap_or_default());
                    }
                }
                None => {}
            }
        }
        joined
    }
}
