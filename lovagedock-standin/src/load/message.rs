//! HTTP message of a planned call, and the expected answer.

use bytes::Bytes;
use lovagedock::{LengthBucket, ServiceId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    journal::AnswerCheck,
    mix::{MixSpec, ModelPath},
    prompt::prompt_text,
    schedule::{CallBody, ModelCall, PlannedCall},
};
use crate::{
    engine::{ChatMessage, chat_prompt, expected_answer},
    service::ServiceRun,
};

const USER_ROLE: &str = "user";
const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Call that is ready to be sent.
#[derive(Clone, Debug)]
pub(crate) struct CallMessage {
    pub(crate) service: ServiceId,
    pub(crate) bucket: Option<LengthBucket>,
    pub(crate) non_idempotent: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) streamed: bool,
    pub(crate) expected_answer: ExpectedAnswer,
}

/// Answer that a call must get.
#[derive(Clone, Debug)]
pub(crate) enum ExpectedAnswer {
    /// Text of a model's answer.
    Text(String),
    /// Description of the call that the plain service returns.
    Run {
        method: String,
        path: String,
        body_digest: String,
    },
}

impl CallMessage {
    /// Builds the message of a planned call.
    pub(crate) fn new(mix: &MixSpec, call: &PlannedCall) -> Self {
        match &call.body {
            CallBody::Model(call) => model_message(mix, call),
            CallBody::Plain { plain, subject } => plain_message(mix, *plain, *subject),
        }
    }
}

impl ExpectedAnswer {
    /// Compares the received content, which may be incomplete, with the expected answer.
    pub(crate) fn check(&self, content: &[u8]) -> AnswerCheck {
        match self {
            Self::Text(expected) if expected.as_bytes() == content => AnswerCheck::Complete,
            Self::Text(expected) if expected.as_bytes().starts_with(content) => AnswerCheck::Prefix,
            Self::Text(_) => AnswerCheck::Different,
            Self::Run {
                method,
                path,
                body_digest,
            } => match serde_json::from_slice::<ServiceRun>(content) {
                Ok(run)
                    if run.method == *method
                        && run.path == *path
                        && run.body_digest == *body_digest =>
                {
                    AnswerCheck::Complete
                }
                Ok(_) => AnswerCheck::Different,
                Err(error) if error.is_eof() => AnswerCheck::Prefix,
                Err(_) => AnswerCheck::Different,
            },
        }
    }
}

#[derive(Serialize)]
struct ModelBody<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[MessageBody<'a>; 1]>,
    max_tokens: u64,
    stream: bool,
}

#[derive(Serialize)]
struct MessageBody<'a> {
    role: &'a str,
    content: &'a str,
}

fn model_message(mix: &MixSpec, call: &ModelCall) -> CallMessage {
    let keyed = call.keyed.map(|index| &mix.keyed[index]);
    let text = prompt_text(call.prompt);
    let expected = match call.path {
        ModelPath::Chat => expected_answer(
            &chat_prompt(&[ChatMessage {
                role: USER_ROLE.to_owned(),
                content: text.clone(),
            }]),
            call.answer_tokens,
        ),
        ModelPath::Completions => expected_answer(&text, call.answer_tokens),
    };
    let body = ModelBody {
        model: keyed.map_or(&mix.model, |keyed| &keyed.model),
        prompt: (call.path == ModelPath::Completions).then_some(&text),
        messages: (call.path == ModelPath::Chat).then_some([MessageBody {
            role: USER_ROLE,
            content: &text,
        }]),
        max_tokens: call.answer_tokens,
        stream: call.streamed,
    };
    CallMessage {
        service: keyed.map_or(&mix.service, |keyed| &keyed.service).clone(),
        bucket: Some(LengthBucket::of(call.prompt.tokens)),
        non_idempotent: keyed.is_some(),
        method: "POST".to_owned(),
        path: match call.path {
            ModelPath::Chat => CHAT_PATH.to_owned(),
            ModelPath::Completions => COMPLETIONS_PATH.to_owned(),
        },
        body: serde_json::to_vec(&body).unwrap_or_default().into(),
        streamed: call.streamed,
        expected_answer: ExpectedAnswer::Text(expected),
    }
}

fn plain_message(mix: &MixSpec, index: usize, subject: u64) -> CallMessage {
    let plain = &mix.plain[index];
    let path = plain.path.replace("{n}", &subject.to_string());
    let mut body = format!("{{\"subject\":{subject},\"note\":\"");
    let end = "\"}";
    let padding = plain.body_bytes.saturating_sub(body.len() + end.len());
    body.extend(std::iter::repeat_n('x', padding));
    body.push_str(end);
    let body = match plain.body_bytes {
        0 => Bytes::new(),
        _ => Bytes::from(body),
    };
    CallMessage {
        service: plain.service.clone(),
        bucket: None,
        non_idempotent: plain.non_idempotent,
        method: plain.method.clone(),
        path: path.clone(),
        expected_answer: ExpectedAnswer::Run {
            method: plain.method.clone(),
            path,
            body_digest: format!("{:016x}", xxh3_64(&body)),
        },
        body,
        streamed: false,
    }
}

/// Text fields of a model's response, streamed or complete.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct ModelResponse {
    #[serde(default)]
    pub(crate) choices: Vec<ResponseChoice>,
}

impl ModelResponse {
    /// Text of the first choice.
    pub(crate) fn text(&self) -> &str {
        let Some(choice) = self.choices.first() else {
            return "";
        };
        let message = choice.delta.as_ref().or(choice.message.as_ref());
        match message {
            Some(message) => message.content.as_deref().unwrap_or(""),
            None => choice.text.as_deref().unwrap_or(""),
        }
    }
}

/// One choice of a response.
#[derive(Debug, Deserialize)]
pub(crate) struct ResponseChoice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<MessageText>,
    #[serde(default)]
    message: Option<MessageText>,
}

#[derive(Debug, Deserialize)]
struct MessageText {
    #[serde(default)]
    content: Option<String>,
}
