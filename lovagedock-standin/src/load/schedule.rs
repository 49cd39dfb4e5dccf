//! Plans all calls of a run before it starts.

use std::time::Duration;

use lovagedock::{LengthBucket, OrganisationId, Timestamp, TokenCount};
use rand::{Rng, RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};

use super::{
    mix::{BucketMix, KeyedMix, MixSpec, ModelPath, PlainMix},
    prompt::PromptSeed,
};

/// Prompts of this length or longer are not sent in the first part of a run.
const LONG_BUCKET: LengthBucket = LengthBucket::K64;
/// Number of common texts with which prompts can begin.
const COMMON_TEXTS: u16 = 8;
/// Share of the second part of a run in which long prompts are sent. They are not sent later, so
/// that they can complete.
const LONG_SENDING_SHARE: f64 = 0.7;

/// Call that is sent at its planned time, independent of the outcome of other calls.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Number of the call in the order of time, from 0.
    pub number: u64,
    /// Planned time of the call.
    pub at: Timestamp,
    /// Index of the organisation in the mix.
    pub organisation: usize,
    /// Idempotency key; a redelivery has the key of the first delivery.
    pub key: Option<String>,
    /// Deadline of the call.
    pub deadline: Duration,
    /// Content of the call.
    pub body: CallBody,
}

/// Content of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallBody {
    /// A model request.
    Model(ModelCall),
    /// A call of a plain service.
    Plain {
        /// Index in [`MixSpec::plain`].
        plain: usize,
        /// Number in the path and the body; a redelivery has the number of the first delivery.
        subject: u64,
    },
}

/// Model request.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// Index in [`MixSpec::keyed`]; `None` for a request without an idempotency key.
    pub keyed: Option<usize>,
    /// API path of the request.
    pub path: ModelPath,
    /// Parameters of the prompt text.
    pub prompt: PromptSeed,
    /// Maximum number of answer tokens.
    pub answer_tokens: TokenCount,
    /// Whether the response is streamed.
    pub streamed: bool,
}

impl PlannedCall {
    /// Divides the planned time and the deadline by the time scale of the stand-in engines.
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.at = self.at.div_f64(time_scale);
        self.deadline = self.deadline.div_f64(time_scale);
        self
    }
}

/// Earliest time of a long prompt in a run of this duration.
pub fn long_start(mix: &MixSpec, duration: Duration) -> Timestamp {
    duration.mul_f64(f64::from(mix.baseline_percent) / 100.0)
}

/// Plans the calls of one run, in the order of time.
///
/// The same mix, seed and duration result in the same plan. Each bucket with a share gets at least
/// one request, so that no length is missing from a report.
pub fn plan_calls(mix: &MixSpec, seed: u64, duration: Duration) -> Vec<PlannedCall> {
    let mut planner = Planner {
        mix,
        seed,
        duration,
        random: ChaCha8Rng::seed_from_u64(seed),
        next_unique: 0,
        calls: Vec::new(),
    };
    planner.plan_unkeyed();
    for (index, keyed) in mix.keyed.iter().enumerate() {
        planner.plan_keyed(index, keyed);
    }
    for (index, plain) in mix.plain.iter().enumerate() {
        planner.plan_plain(index, plain);
    }
    let mut calls = planner.calls;
    calls.sort_by_key(|call| call.at);
    for (number, call) in calls.iter_mut().enumerate() {
        call.number = number as u64;
    }
    calls
}

struct Planner<'a> {
    mix: &'a MixSpec,
    seed: u64,
    duration: Duration,
    random: ChaCha8Rng,
    next_unique: u64,
    calls: Vec<PlannedCall>,
}

impl Planner<'_> {
    /// Plans the requests without an idempotency key. Their number is fixed by the shares and only
    /// their times are random, so that two seeds differ in the order of arrivals but not in the
    /// amount of long work.
    fn plan_unkeyed(&mut self) {
        let mix = self.mix;
        let total_share: f64 = mix.buckets.iter().map(|bucket| bucket.share).sum();
        let baseline = self
            .duration
            .mul_f64(f64::from(mix.baseline_percent) / 100.0);
        for bucket in &mix.buckets {
            let Some(length) = bucket.length().filter(|_| bucket.share > 0.0) else {
                continue;
            };
            let rate = mix.model_requests_per_second * bucket.share / total_share;
            let (from, to) = match length >= LONG_BUCKET {
                true => {
                    let second_part = self.duration - baseline;
                    (baseline, baseline + second_part.mul_f64(LONG_SENDING_SHARE))
                }
                false => (Duration::ZERO, self.duration),
            };
            // The rate applies to the complete second part, although sending ends earlier.
            let sending = match length >= LONG_BUCKET {
                true => self.duration - baseline,
                false => self.duration,
            };
            let count = (rate * sending.as_secs_f64()).round().max(1.0) as u64;
            for _ in 0..count {
                let at = sample_between(&mut self.random, from, to);
                self.push_unkeyed(bucket, at);
            }
        }
        self.calls.shuffle(&mut self.random);
    }

    fn push_unkeyed(&mut self, bucket: &BucketMix, at: Timestamp) {
        let tokens = bucket.prompt_tokens.sample(&mut self.random);
        let common = sample_percent(&mut self.random, bucket.common_prefix_percent)
            .then(|| self.random.random_range(0..COMMON_TEXTS));
        let body = CallBody::Model(ModelCall {
            keyed: None,
            path: ModelPath::Chat,
            prompt: PromptSeed {
                unique: self.next_unique_seed(),
                common,
                tokens,
            },
            answer_tokens: bucket.answer_tokens.sample(&mut self.random),
            streamed: sample_percent(&mut self.random, bucket.streamed_percent),
        });
        let call = PlannedCall {
            number: 0,
            at,
            organisation: self.sample_organisation(&bucket.callers),
            key: None,
            deadline: Duration::from_millis(bucket.deadline_ms),
            body,
        };
        self.calls.push(call);
    }

    fn plan_keyed(&mut self, index: usize, keyed: &KeyedMix) {
        for at in self.arrivals(keyed.per_second) {
            let unique = self.next_unique_seed();
            let body = CallBody::Model(ModelCall {
                keyed: Some(index),
                path: keyed.path,
                prompt: PromptSeed {
                    unique,
                    common: None,
                    tokens: keyed.prompt_tokens.sample(&mut self.random),
                },
                answer_tokens: keyed.answer_tokens.sample(&mut self.random),
                streamed: sample_percent(&mut self.random, keyed.streamed_percent),
            });
            let call = PlannedCall {
                number: 0,
                at,
                organisation: self.sample_organisation(&keyed.callers),
                key: Some(format!("trace-{index}-{}-{unique}", self.seed)),
                deadline: Duration::from_millis(keyed.deadline_ms),
                body,
            };
            self.push_with_redelivery(call, keyed.repeat_percent, keyed.repeat_after_ms);
        }
    }

    fn plan_plain(&mut self, index: usize, plain: &PlainMix) {
        for at in self.arrivals(plain.per_second) {
            let subject = self.next_unique_seed();
            let key = plain
                .non_idempotent
                .then(|| format!("call-{index}-{}-{subject}", self.seed));
            let call = PlannedCall {
                number: 0,
                at,
                organisation: self.sample_organisation(&plain.callers),
                key,
                deadline: Duration::from_millis(plain.deadline_ms),
                body: CallBody::Plain {
                    plain: index,
                    subject,
                },
            };
            self.push_with_redelivery(call, plain.repeat_percent, plain.repeat_after_ms);
        }
    }

    /// Adds a call and, with the given probability, a redelivery of it. A redelivery simulates a
    /// caller that lost the response or did not wait for it.
    fn push_with_redelivery(
        &mut self,
        call: PlannedCall,
        repeat_percent: u8,
        after_ms: (u64, u64),
    ) {
        if sample_percent(&mut self.random, repeat_percent) {
            let after = self
                .random
                .random_range(after_ms.0..=after_ms.1.max(after_ms.0));
            let mut redelivery = call.clone();
            redelivery.at = call.at + Duration::from_millis(after);
            self.calls.push(redelivery);
        }
        self.calls.push(call);
    }

    /// Samples Poisson arrivals over the run. There is at least one if the rate is not zero.
    fn arrivals(&mut self, per_second: f64) -> Vec<Timestamp> {
        let Ok(gaps) = Exp::new(per_second) else {
            return Vec::new();
        };
        if per_second <= 0.0 {
            return Vec::new();
        }
        let mut arrivals = Vec::new();
        let mut seconds = gaps.sample(&mut self.random);
        while seconds < self.duration.as_secs_f64() {
            arrivals.push(Duration::from_secs_f64(seconds));
            seconds += gaps.sample(&mut self.random);
        }
        if arrivals.is_empty() {
            arrivals.push(sample_between(
                &mut self.random,
                Duration::ZERO,
                self.duration,
            ));
        }
        arrivals
    }

    /// Samples an organisation by share, from `callers` or from all organisations if it is empty.
    fn sample_organisation(&mut self, callers: &[OrganisationId]) -> usize {
        let candidates: Vec<(usize, f64)> = self
            .mix
            .organisations
            .iter()
            .enumerate()
            .filter(|(_, caller)| callers.is_empty() || callers.contains(&caller.id))
            .map(|(index, caller)| (index, caller.share))
            .collect();
        let total: f64 = candidates.iter().map(|(_, share)| share).sum();
        let mut remaining = self.random.random_range(0.0..total.max(f64::MIN_POSITIVE));
        for (index, share) in &candidates {
            remaining -= share;
            if remaining < 0.0 {
                return *index;
            }
        }
        candidates.last().map_or(0, |(index, _)| *index)
    }

    fn next_unique_seed(&mut self) -> u64 {
        self.next_unique += 1;
        (self.seed << 32) | self.next_unique
    }
}

fn sample_percent(random: &mut impl Rng, percent: u8) -> bool {
    random.random_range(0..100) < percent
}

fn sample_between(random: &mut impl Rng, from: Timestamp, to: Timestamp) -> Timestamp {
    let span = to.saturating_sub(from);
    from + span.mul_f64(random.random_range(0.0..1.0))
}
