//! Division of a prompt into segments for several engines.

use std::time::Duration;

use super::backoff::ReserveBackoff;
use crate::{
    ids::{AttemptNumber, EndpointId, Incarnation, RequestId, TokenCount},
    request::SpanPart,
};

/// Maximum share of an engine's memory that spans may hold, in percent. The rest is kept for
/// requests that fit one engine.
pub const SPAN_SHARE_PERCENT: u8 = 50;

/// A prompt that needs several engines.
#[derive(Clone, Debug)]
pub struct SpanPlan {
    /// The caller's request.
    pub request: RequestId,
    /// Attempt of the request that the span belongs to.
    pub attempt: AttemptNumber,
    /// Number of tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Time that is left for the whole request.
    pub remaining: Duration,
    /// Time limits and sizes.
    pub timing: SpanTiming,
}

/// Time limits and sizes of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanTiming {
    /// Maximum number of tokens per segment, so that other work can run between two segments.
    pub segment_tokens: TokenCount,
    /// Time after which a reservation expires at the sidecar unless it is renewed.
    pub hold: Duration,
    /// How long to wait for the answers to one round of reservations.
    pub answer_timeout: Duration,
    /// Share of the remaining time that may pass before all engines are reserved, in percent.
    pub reserve_percent: u32,
    /// Backoff between two rounds.
    pub backoff: ReserveBackoff,
}

impl Default for SpanTiming {
    fn default() -> Self {
        Self {
            segment_tokens: 16_384,
            hold: Duration::from_secs(3),
            answer_timeout: Duration::from_secs(1),
            reserve_percent: 30,
            backoff: ReserveBackoff::default(),
        }
    }
}

/// A part of a prompt that one engine prefills in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanSegment {
    /// Engine that prefills it and keeps its KV blocks.
    pub endpoint: EndpointId,
    /// Incarnation of the sidecar that holds the reservation. Any other incarnation must refuse.
    pub incarnation: Incarnation,
    /// First token.
    pub start: TokenCount,
    /// Number of tokens.
    pub tokens: TokenCount,
}

impl SpanPlan {
    /// Creates a plan with default time limits and sizes.
    pub fn new(
        request: RequestId,
        attempt: AttemptNumber,
        prompt_tokens: TokenCount,
        remaining: Duration,
    ) -> Self {
        Self {
            request,
            attempt,
            prompt_tokens,
            remaining,
            timing: SpanTiming::default(),
        }
    }

    /// Sets time limits and sizes.
    pub fn with_timing(mut self, timing: SpanTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns how long the span may try to reserve its engines.
    pub fn reserve_time_limit(&self) -> Duration {
        self.remaining * self.timing.reserve_percent / 100
    }

    /// Returns the segments in the order in which they are prefilled.
    ///
    /// The lead is the first of the parts, but its segments come last: it holds the end of the
    /// prompt, where decoding continues. If the parts have more room than the prompt needs, the
    /// lead gets fewer tokens.
    pub fn segments(&self, parts: &[SpanPart]) -> Vec<SpanSegment> {
        let order = parts.iter().skip(1).chain(parts.first());
        let mut segments = Vec::new();
        let mut start = 0;
        for part in order {
            let end = self.prompt_tokens.min(start + part.tokens);
            while start < end {
                let tokens = self.timing.segment_tokens.clamp(1, end - start);
                segments.push(SpanSegment {
                    endpoint: part.endpoint.clone(),
                    incarnation: part.incarnation,
                    start,
                    tokens,
                });
                start += tokens;
            }
        }
        segments
    }
}
