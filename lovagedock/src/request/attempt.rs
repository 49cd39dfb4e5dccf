//! One attempt of a request.

use crate::{
    codes::RanState,
    ids::{AttemptNumber, EndpointId, Incarnation},
};

/// The current attempt of a request and what is known about it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) number: AttemptNumber,
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
    /// Endpoints of the span, starting with the one that decodes; empty without a span.
    pub(super) span: Vec<EndpointId>,
    /// Whether a submit was sent.
    pub(super) submitted: bool,
    /// Whether the sidecar accepted it.
    pub(super) accepted: bool,
    /// Whether a frame or a revoke verdict showed that the engine started it.
    pub(super) started: bool,
    /// Whether a revoke verdict reported that it ran to its end.
    pub(super) ended: bool,
    /// Whether the sidecar incarnation that had it is known to have ended.
    pub(super) incarnation_ended: bool,
    /// Number of resumes because of missing frames, plus revokes.
    pub(super) repairs: u32,
}

impl Attempt {
    pub(super) fn new(
        number: AttemptNumber,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            number,
            endpoint,
            incarnation,
            span: Vec::new(),
            submitted: false,
            accepted: false,
            started: false,
            ended: false,
            incarnation_ended: false,
            repairs: 0,
        }
    }

    /// Whether the attempt ran, if no further message about it arrives.
    pub(super) fn ran(&self) -> RanState {
        if self.started {
            return RanState::Yes;
        }
        // The engines of a span prefill before the submit, so a span never counts as not run.
        if self.submitted || !self.span.is_empty() {
            return RanState::Unknown;
        }
        RanState::No
    }

    pub(super) fn is_on_incarnation(
        &self,
        endpoint: &EndpointId,
        incarnation: Incarnation,
    ) -> bool {
        self.endpoint == *endpoint && self.incarnation == incarnation
    }
}

/// Combines the states of two attempts: `Yes` wins over `Unknown`, and `Unknown` over `No`.
pub(super) fn merge_ran_states(one: RanState, other: RanState) -> RanState {
    match (one, other) {
        (RanState::Yes, _) | (_, RanState::Yes) => RanState::Yes,
        (RanState::Unknown, _) | (_, RanState::Unknown) => RanState::Unknown,
        (RanState::No, RanState::No) => RanState::No,
    }
}
