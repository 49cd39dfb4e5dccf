//! How a prompt is laid over several engines.

use std::time::Duration;

use super::backoff::ReserveBackoff;
use crate::{
    ids::{AttemptNumber, EndpointId, Incarnation, RequestId, TokenCount},
    request::SpanPart,
};

/// Largest share of an engine's memory that spans may hold, in percent; the rest stays for
/// requests that fit one engine.
pub const SPAN_SHARE_PERCENT: u8 = 50;

/// A prompt that needs several engines.
#[derive(Clone, Debug)]
pub struct SpanPlan {
    /// The caller's request.
    pub request: RequestId,
    /// Attempt of it that the span belongs to.
    pub attempt: AttemptNumber,
    /// Tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Time that is left for the whole request.
    pub remaining: Duration,
    /// Times and sizes.
    pub timing: SpanTiming,
}

/// Times and sizes that bound a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanTiming {
    /// Most tokens that one segment prefills, so that other work gets its turn between two.
    pub segment_tokens: TokenCount,
    /// Time after which a reservation lapses at the sidecar when it is not renewed.
    pub hold: Duration,
    /// How long to wait for the answers to one round of reservations.
    pub answer_timeout: Duration,
    /// Part of the remaining time that may pass before all engines are reserved, in percent.
    pub reserve_percent: u32,
    /// Pauses between two rounds.
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

/// One piece of a prompt that one engine prefills.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanSegment {
    /// Engine that prefills it and keeps its KV blocks.
    pub endpoint: EndpointId,
    /// Life of the sidecar that holds the reservation; another one must refuse.
    pub incarnation: Incarnation,
    /// First token.
    pub start: TokenCount,
    /// Number of tokens.
    pub tokens: TokenCount,
}

impl SpanPlan {
    /// A plan with default times and sizes.
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

    /// Sets times and sizes.
    pub fn with_timing(mut self, timing: SpanTiming) -> Self {
        self.timing = timing;
        self
    }

    /// How long the span may try to reserve its engines.
    pub fn reserve_time_limit(&self) -> Duration {
        self.remaining * self.timing.reserve_percent / 100
    }

    /// The segments in the order in which they are prefilled.
    ///
    /// The lead, first of the parts, comes last: it holds the end of the prompt, where the answer
    /// goes on. A prompt that is shorter than the parts leaves the lead the less to do.
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
