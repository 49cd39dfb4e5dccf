//! Properties of a request and the time limits that apply to it.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    ids::{OrganisationId, RequestId, ServiceId},
    retry::BackoffCurve,
};

/// The properties of a caller's request that affect the gateway's decisions.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Random id of the request.
    pub id: RequestId,
    /// Service that the request addresses.
    pub service: ServiceId,
    /// Organisation that the request belongs to.
    pub organisation: OrganisationId,
    /// Priority tier of the request.
    pub tier: PriorityTier,
    /// Whether the request must not run twice.
    pub non_idempotent: bool,
    /// Time from admission within which the caller gets the final result.
    pub deadline: Duration,
    /// Time limits and counts that bound recovery.
    pub timing: RequestTiming,
}

impl RequestSpec {
    /// Creates an idempotent request of standard priority without an organisation.
    pub fn new(id: RequestId, service: impl Into<ServiceId>, deadline: Duration) -> Self {
        Self {
            id,
            service: service.into(),
            organisation: OrganisationId::from(""),
            tier: PriorityTier::default(),
            non_idempotent: false,
            deadline,
            timing: RequestTiming::default(),
        }
    }

    /// Sets the organisation that the request belongs to.
    pub fn with_organisation(mut self, organisation: impl Into<OrganisationId>) -> Self {
        self.organisation = organisation.into();
        self
    }

    /// Sets the priority tier.
    pub fn with_tier(mut self, tier: PriorityTier) -> Self {
        self.tier = tier;
        self
    }

    /// Sets whether the request must not run twice.
    pub fn with_non_idempotent(mut self, non_idempotent: bool) -> Self {
        self.non_idempotent = non_idempotent;
        self
    }

    /// Sets the time limits and counts that bound recovery.
    pub fn with_timing(mut self, timing: RequestTiming) -> Self {
        self.timing = timing;
        self
    }
}

/// Time limits and counts that bound how a request recovers from failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTiming {
    /// How much earlier than the gateway a sidecar times out, so that its report on whether the
    /// request ran arrives before the deadline.
    pub answer_margin: Duration,
    /// How long to try to resume on a sidecar after its session was lost.
    pub resume_wait: Duration,
    /// How long to wait for the verdict of a revoke.
    pub revoke_wait: Duration,
    /// Pause before a resume or a revoke that failed to connect is sent again.
    pub reconnect_pause: Duration,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Maximum number of resumes because of missing frames plus revokes, for one attempt.
    pub max_repairs: u32,
    /// Backoff between attempts.
    pub backoff: BackoffCurve,
}

impl Default for RequestTiming {
    fn default() -> Self {
        Self {
            answer_margin: Duration::from_millis(50),
            resume_wait: Duration::from_secs(2),
            revoke_wait: Duration::from_secs(2),
            reconnect_pause: Duration::from_millis(200),
            max_attempts: 4,
            max_repairs: 3,
            backoff: BackoffCurve::default(),
        }
    }
}
