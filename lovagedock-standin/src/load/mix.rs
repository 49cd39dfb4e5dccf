//! What callers send, as a file.

use lovagedock::{LengthBucket, OrganisationId, ServiceId, TokenCount};
use rand::{Rng, RngExt};
use serde::Deserialize;

/// A mix of calls, read from JSON with comments.
///
/// Rates and times are model time: a run against stand-in engines that are sped up is sped up by
/// the same factor.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixSpec {
    /// Name in reports.
    pub name: String,
    /// Model requests a second, all lengths together.
    pub model_requests_per_second: f64,
    /// First part of the run, in percent, in which no long prompts are sent. The short ones come
    /// at the same rate in both parts, so that their slowdown can be told.
    pub baseline_percent: u8,
    /// Service of the model requests.
    pub service: ServiceId,
    /// Name in the `model` field.
    pub model: String,
    /// The lengths and their shares.
    pub buckets: Vec<BucketMix>,
    /// Who calls.
    pub organisations: Vec<CallerMix>,
    /// Model requests with an idempotency key.
    #[serde(default)]
    pub keyed: Vec<KeyedMix>,
    /// Calls of plain services.
    #[serde(default)]
    pub plain: Vec<PlainMix>,
}

impl MixSpec {
    /// What is wrong with the values; one line for each error.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.organisations.is_empty() {
            problems.push("organisations: at least one is needed".to_owned());
        }
        if self.baseline_percent > 90 {
            problems.push("baseline_percent: at most 90".to_owned());
        }
        for caller in self.referenced_callers() {
            if !self.organisations.iter().any(|it| it.id == *caller) {
                problems.push(format!("callers: no organisation `{caller}`"));
            }
        }
        for (index, bucket) in self.buckets.iter().enumerate() {
            if bucket.length().is_none() {
                let name = &bucket.bucket;
                problems.push(format!("buckets[{index}].bucket: no length `{name}`"));
            }
        }
        problems
    }

    fn referenced_callers(&self) -> impl Iterator<Item = &OrganisationId> {
        let buckets = self.buckets.iter().flat_map(|bucket| &bucket.callers);
        let keyed = self.keyed.iter().flat_map(|keyed| &keyed.callers);
        let plain = self.plain.iter().flat_map(|plain| &plain.callers);
        buckets.chain(keyed).chain(plain)
    }
}

/// Requests of one range of lengths.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BucketMix {
    /// Name of the bucket, such as `16k`.
    pub bucket: String,
    /// Organisations that send these; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Share of the model requests; shares are relative to their sum.
    pub share: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenRange,
    /// Tokens of the answer.
    pub answer_tokens: TokenRange,
    /// Requests with a streamed answer, in percent.
    #[serde(default = "default_streamed_percent")]
    pub streamed_percent: u8,
    /// Prompts that begin with one of a few common texts, in percent.
    #[serde(default)]
    pub common_prefix_percent: u8,
    /// Time that the request asks for, in milliseconds.
    pub deadline_ms: u64,
}

impl BucketMix {
    /// The bucket, when the name is that of one.
    pub fn length(&self) -> Option<LengthBucket> {
        let mut lengths = LengthBucket::ALL.into_iter();
        lengths.find(|length| length.as_str() == self.bucket)
    }
}

/// Bounds of a number of tokens, both included: `[from, to]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TokenRange(pub TokenCount, pub TokenCount);

impl TokenRange {
    /// Draws a number from the range.
    pub fn sample(self, random: &mut impl Rng) -> TokenCount {
        random.random_range(self.0..=self.1.max(self.0))
    }
}

/// An organisation that calls.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerMix {
    /// The organisation.
    pub id: OrganisationId,
    /// Its API key.
    pub key: String,
    /// Share of the calls; shares are relative to their sum.
    pub share: f64,
}

/// Interface of the model requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelPath {
    /// `/v1/chat/completions`.
    #[default]
    Chat,
    /// `/v1/completions`.
    Completions,
}

/// Model requests that must read the same each time that they are delivered.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedMix {
    /// Service that is called.
    pub service: ServiceId,
    /// Name in the `model` field.
    pub model: String,
    /// Interface that is used.
    #[serde(default)]
    pub path: ModelPath,
    /// Organisations that send these; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Requests a second, redeliveries not counted.
    pub per_second: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenRange,
    /// Tokens of the answer.
    pub answer_tokens: TokenRange,
    /// Requests with a streamed answer, in percent.
    #[serde(default = "default_streamed_percent")]
    pub streamed_percent: u8,
    /// Requests that are sent again with the same key, in percent.
    pub repeat_percent: u8,
    /// When they are sent again, in milliseconds after the first time; `[from, to]`.
    pub repeat_after_ms: (u64, u64),
    /// Time that the request asks for, in milliseconds.
    pub deadline_ms: u64,
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// Service that is called.
    pub service: ServiceId,
    /// Method, such as `GET`.
    pub method: String,
    /// Path; `{n}` stands for the number of the call.
    pub path: String,
    /// Organisations that send these; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Calls a second, repeats not counted.
    pub per_second: f64,
    /// Bytes of the body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether the call must not run twice; it then carries an idempotency key.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Calls that are sent again with the same key, in percent.
    #[serde(default)]
    pub repeat_percent: u8,
    /// When they are sent again, in milliseconds after the first time; `[from, to]`.
    #[serde(default)]
    pub repeat_after_ms: (u64, u64),
    /// Time that the call asks for, in milliseconds.
    pub deadline_ms: u64,
}

fn default_streamed_percent() -> u8 {
    100
}
