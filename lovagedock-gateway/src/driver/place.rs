//! Places a request and records the work that was sent to each endpoint.

use std::time::Duration;

use lovagedock::{
    CostParameters, PlacementChoice, PlacementOutcome, PlacementRequest, RequestEvent, SentWork,
    SpanMember, SpanPart, prelude::*,
};
use rand::Rng;

use super::RequestDriver;
use crate::suspects::TRIAL_RETRY_DELAY;

impl RequestDriver {
    pub(super) fn place(&mut self, excluded: &[EndpointId]) -> PlacementOutcome {
        if let Some(remaining) = self.quarantined_for() {
            self.record_step("refused: engines end under it");
            return refused_placement(ResultCode::Quarantined, remaining);
        }
        if !self.shared.suspects.try_start_trial(self.now(), &self.call) {
            self.record_step("refused: engines end under some of its parts");
            return refused_placement(ResultCode::Quarantined, TRIAL_RETRY_DELAY);
        }
        let choice = self.choose(excluded);
        self.placement_outcome(choice)
    }

    pub(crate) fn choose(&self, excluded: &[EndpointId]) -> Option<PlacementChoice> {
        let now = self.now();
        let request = PlacementRequest {
            id: self.call.id,
            organisation: self.call.organisation.clone(),
            tier: self.call.tier,
            prompt_tokens: self.call.prompt.tokens,
            answer_tokens: self.call.prompt.answer_tokens,
            remaining: self.deadline.saturating_sub(now),
            prefix_hashes: &self.call.prompt.prefix_hashes,
            own_domain: self.shared.context.domain.clone(),
            excluded,
        };
        let fleet = &self.shared.context.fleet;
        fleet.place(now, &self.call.pool, &request, &mut rand::rng())
    }

    fn placement_outcome(&mut self, choice: Option<PlacementChoice>) -> PlacementOutcome {
        match choice {
            None => refused_placement(ResultCode::NotConfigured, Duration::ZERO),
            Some(PlacementChoice::Refuse {
                code,
                retry_after,
                reason,
            }) => {
                self.record_step(format!("refused with code {}: {reason}", code.number()));
                refused_placement(code, retry_after)
            }
            Some(PlacementChoice::One {
                endpoint,
                predicted_first_token,
                predicted_prefill,
                reason,
            }) => {
                self.record_step(format!(
                    "placed on {endpoint}: {reason}, first token predicted in {predicted_first_token:?}"
                ));
                let tokens = self.call.prompt.tokens;
                self.record_sent(&endpoint, tokens, predicted_prefill);
                match self.incarnation(&endpoint) {
                    Some(incarnation) => PlacementOutcome::One {
                        endpoint,
                        incarnation,
                    },
                    None => refused_placement(ResultCode::EndpointUnreachable, Duration::ZERO),
                }
            }
            Some(PlacementChoice::Span {
                members, reason, ..
            }) => {
                let parts = self.span_parts(members);
                if parts.is_empty() {
                    return refused_placement(ResultCode::EndpointUnreachable, Duration::ZERO);
                }
                self.record_step(format!("placed on {} engines: {reason}", parts.len()));
                PlacementOutcome::Span(parts)
            }
        }
    }

    /// The engines of a span with the incarnations of their sidecars; empty if one has no session.
    pub(crate) fn span_parts(&mut self, members: Vec<SpanMember>) -> Vec<SpanPart> {
        let mut parts = Vec::with_capacity(members.len());
        for member in members {
            let Some(incarnation) = self.incarnation(&member.endpoint) else {
                return Vec::new();
            };
            parts.push(SpanPart {
                endpoint: member.endpoint,
                incarnation,
                tokens: member.tokens,
            });
        }
        for part in &parts {
            let prefill = CostParameters::ASSUMED.prefill(part.tokens, 0);
            self.record_sent(&part.endpoint, part.tokens, prefill);
        }
        parts
    }

    pub(crate) fn record_sent(
        &mut self,
        endpoint: &EndpointId,
        tokens: TokenCount,
        prefill: Duration,
    ) {
        let long_tokens = self
            .shared
            .context
            .config
            .load()
            .fleet
            .placement
            .long_tokens;
        let long = self.call.prompt.tokens >= long_tokens;
        let work = SentWork {
            requests: 1,
            long_requests: u32::from(long),
            tokens: tokens + self.call.prompt.answer_tokens,
            prefill,
            long_prefill: if long { prefill } else { Duration::ZERO },
        };
        self.shared
            .context
            .fleet
            .record_work_sent(self.now(), endpoint, work);
        self.sent_to.push(endpoint.clone());
    }

    pub(crate) fn incarnation(&self, endpoint: &EndpointId) -> Option<Incarnation> {
        self.shared.context.fleet.get(endpoint)?.incarnation
    }

    /// Remaining quarantine of the request; `None` if it is not quarantined.
    fn quarantined_for(&self) -> Option<Duration> {
        self.shared.suspects.quarantined_for(self.now(), &self.call)
    }

    pub(super) fn ask_retry(&self) -> RequestEvent {
        let is_quarantined = self.quarantined_for().is_some();
        let granted = !is_quarantined && self.shared.consume_retry(&self.call.service, self.now());
        self.record_step(match granted {
            true => "retry granted",
            false => "retry denied: budget exhausted or request quarantined",
        });
        RequestEvent::RetryAnswered {
            granted,
            jitter_permille: rand::rng().next_u32() as u16 % 1_000,
        }
    }
}

fn refused_placement(code: ResultCode, retry_after: Duration) -> PlacementOutcome {
    PlacementOutcome::Refused { code, retry_after }
}
