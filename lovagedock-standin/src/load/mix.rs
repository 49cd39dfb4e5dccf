//! Mix of calls, read from a file.

use lovagedock::{LengthBucket, OrganisationId, ServiceId, TokenCount};
use rand::{Rng, RngExt};
use serde::Deserialize;

/// Mix of calls that the load generator sends, read from JSON with comments.
///
/// Rates and times are model time: a run is sped up by the time scale of the stand-in engines.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MixSpec {
    /// Name of the mix in reports.
    pub name: String,
    /// Model requests per second over all prompt lengths.
    pub model_requests_per_second: f64,
    /// Length of the first part of the run in percent. No long prompts are sent in it. Short
    /// prompts are sent at the same rate in both parts, so that their slowdown by long prompts can
    /// be measured.
    pub baseline_percent: u8,
    /// Service that gets the model requests.
    pub service: ServiceId,
    /// Value of the `model` field.
    pub model: String,
    /// Prompt lengths and their shares.
    pub buckets: Vec<BucketMix>,
    /// Organisations that send calls.
    pub organisations: Vec<CallerMix>,
    /// Model requests with an idempotency key.
    #[serde(default)]
    pub keyed: Vec<KeyedMix>,
    /// Calls of plain services.
    #[serde(default)]
    pub plain: Vec<PlainMix>,
}

impl MixSpec {
    /// Returns one line per invalid value.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.organisations.is_empty() {
            problems.push("organisations: must not be empty".to_owned());
        }
        if self.baseline_percent > 90 {
            problems.push("baseline_percent: must be at most 90".to_owned());
        }
        for caller in self.referenced_callers() {
            if !self.organisations.iter().any(|it| it.id == *caller) {
                problems.push(format!("callers: unknown organisation `{caller}`"));
            }
        }
        for (index, bucket) in self.buckets.iter().enumerate() {
            if bucket.length().is_none() {
                let name = &bucket.bucket;
                problems.push(format!("buckets[{index}].bucket: unknown length `{name}`"));
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

/// Requests of one bucket of prompt lengths.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BucketMix {
    /// Name of the bucket, such as `16k`.
    pub bucket: String,
    /// Organisations that send these requests; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Share of the model requests; shares are relative to their sum.
    pub share: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenRange,
    /// Tokens of the answer.
    pub answer_tokens: TokenRange,
    /// Requests with a streamed response, in percent.
    #[serde(default = "default_streamed_percent")]
    pub streamed_percent: u8,
    /// Prompts that begin with one of a few common texts, in percent.
    #[serde(default)]
    pub common_prefix_percent: u8,
    /// Deadline of a request in milliseconds.
    pub deadline_ms: u64,
}

impl BucketMix {
    /// The length bucket; `None` if the name is unknown.
    pub fn length(&self) -> Option<LengthBucket> {
        let mut lengths = LengthBucket::ALL.into_iter();
        lengths.find(|length| length.as_str() == self.bucket)
    }
}

/// Bounds of a number of tokens, both included: `[from, to]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TokenRange(pub TokenCount, pub TokenCount);

impl TokenRange {
    /// Samples a number from the range, uniformly.
    pub fn sample(self, random: &mut impl Rng) -> TokenCount {
        random.random_range(self.0..=self.1.max(self.0))
    }
}

/// Organisation that sends calls.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerMix {
    /// Id of the organisation.
    pub id: OrganisationId,
    /// API key of the organisation.
    pub key: String,
    /// Share of the calls; shares are relative to their sum.
    pub share: f64,
}

/// API path of model requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelPath {
    /// `/v1/chat/completions`.
    #[default]
    Chat,
    /// `/v1/completions`.
    Completions,
}

/// Model requests with an idempotency key. Every delivery must return the same answer.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyedMix {
    /// Called service.
    pub service: ServiceId,
    /// Value of the `model` field.
    pub model: String,
    /// API path of the requests.
    #[serde(default)]
    pub path: ModelPath,
    /// Organisations that send these requests; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Requests per second, redeliveries not counted.
    pub per_second: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: TokenRange,
    /// Tokens of the answer.
    pub answer_tokens: TokenRange,
    /// Requests with a streamed response, in percent.
    #[serde(default = "default_streamed_percent")]
    pub streamed_percent: u8,
    /// Requests that are sent again with the same key, in percent.
    pub repeat_percent: u8,
    /// Delay of the redelivery after the first delivery, in milliseconds: `[from, to]`.
    pub repeat_after_ms: (u64, u64),
    /// Deadline of a request in milliseconds.
    pub deadline_ms: u64,
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// Called service.
    pub service: ServiceId,
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path; `{n}` is replaced by the number of the call.
    pub path: String,
    /// Organisations that send these calls; empty means all.
    #[serde(default)]
    pub callers: Vec<OrganisationId>,
    /// Calls per second, redeliveries not counted.
    pub per_second: f64,
    /// Size of the body in bytes.
    #[serde(default)]
    pub body_bytes: usize,
    /// Whether the call must not run twice. Such a call has an idempotency key.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Calls that are sent again with the same key, in percent.
    #[serde(default)]
    pub repeat_percent: u8,
    /// Delay of the redelivery after the first delivery, in milliseconds: `[from, to]`.
    #[serde(default)]
    pub repeat_after_ms: (u64, u64),
    /// Deadline of a call in milliseconds.
    pub deadline_ms: u64,
}

fn default_streamed_percent() -> u8 {
    100
}
