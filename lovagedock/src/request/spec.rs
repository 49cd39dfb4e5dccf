//! What a request is, and the times that apply to it.

use std::time::Duration;

use crate::{
    config::PriorityTier,
    ids::{OrganisationId, RequestId, ServiceId},
    retry::BackoffCurve,
};

/// A caller's request, as far as the gateway's decisions depend on it.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Random id of the request.
    pub id: RequestId,
    /// Service that it addresses.
    pub service: ServiceId,
    /// Organisation that it belongs to.
    pub organisation: OrganisationId,
    /// Importance of the request.
    pub tier: PriorityTier,
    /// Whether it must not run twice.
    pub non_idempotent: bool,
    /// Time from now within which the caller gets the final answer.
    pub deadline: Duration,
    /// Times and counts that bound recovery.
    pub timing: RequestTiming,
}

impl RequestSpec {
    /// An idempotent request of standard priority without an organisation.
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

    /// Sets the importance.
    pub fn with_tier(mut self, tier: PriorityTier) -> Self {
        self.tier = tier;
        self
    }

    /// Sets whether the request must not run twice.
    pub fn with_non_idempotent(mut self, non_idempotent: bool) -> Self {
        self.non_idempotent = non_idempotent;
        self
    }

    /// Sets the times and counts that bound recovery.
    pub fn with_timing(mut self, timing: RequestTiming) -> Self {
        self.timing = timing;
        self
    }
}

/// Times and counts that bound how a request recovers from failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTiming {
    /// How much earlier a sidecar has to give up than the gateway, so that its word on whether
    /// the request ran arrives in time.
    pub answer_margin: Duration,
    /// How long to try to resume on a sidecar after its session was lost.
    pub resume_wait: Duration,
    /// How long to wait for the verdict of a revoke.
    pub revoke_wait: Duration,
    /// Pause between two tries of a resume or a revoke that failed to connect.
    pub reconnect_pause: Duration,
    /// Most attempts for one request, the first included.
    pub max_attempts: u32,
    /// Most resumes because of missing frames, and most revokes, for one attempt.
    pub max_repairs: u32,
    /// Waits between attempts.
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
