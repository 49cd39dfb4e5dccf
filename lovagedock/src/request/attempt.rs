//! One attempt of a request.

use crate::{
    codes::RanState,
    ids::{AttemptNumber, EndpointId, Incarnation},
};

/// The attempt that a request waits for, and what is known of it.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) number: AttemptNumber,
    pub(super) endpoint: EndpointId,
    pub(super) incarnation: Incarnation,
    /// Endpoints of the span, first the one that decodes; empty without a span.
    pub(super) span: Vec<EndpointId>,
    /// Whether a submit was sent.
    pub(super) submitted: bool,
    /// Whether the sidecar took it.
    pub(super) accepted: bool,
    /// Whether a frame or a verdict showed that the work started.
    pub(super) started: bool,
    /// Whether a verdict said that it ran to an end.
    pub(super) ended: bool,
    /// Whether the life of the sidecar that had it is known to be over.
    pub(super) incarnation_ended: bool,
    /// Resumes because of missing frames, and revokes.
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

    /// Whether it ran, if nothing more is heard of it.
    pub(super) fn ran(&self) -> RanState {
        if self.started {
            return RanState::Yes;
        }
        // The engines of a span compute before the submit, so a span never counts as not run.
        if self.submitted || !self.span.is_empty() {
            return RanState::Unknown;
        }
        RanState::No
    }

    pub(super) fn is_on(&self, endpoint: &EndpointId, incarnation: Incarnation) -> bool {
        self.endpoint == *endpoint && self.incarnation == incarnation
    }
}

/// Of two facts about one request, the one that says more was done.
pub(super) fn merge_ran_states(one: RanState, other: RanState) -> RanState {
    match (one, other) {
        (RanState::Yes, _) | (_, RanState::Yes) => RanState::Yes,
        (RanState::Unknown, _) | (_, RanState::Unknown) => RanState::Unknown,
        (RanState::No, RanState::No) => RanState::No,
    }
}
