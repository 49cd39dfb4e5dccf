//! The planner's state of one endpoint.

use super::{
    artifact::{ArtifactSet, LoadOrder},
    types::{OrderAnswer, OrderLimits},
};
use crate::{
    codes::{RanState, ResultCode},
    ids::Timestamp,
};

/// Maximum number of doublings of the retry pause. More would not change the pause, which is
/// capped.
const MAX_RETRY_DOUBLINGS: u32 = 16;

/// A call that has not ended.
#[derive(Debug)]
pub(super) struct SentCall {
    pub(super) sequence: u64,
    pub(super) order: Option<LoadOrder>,
}

impl SentCall {
    fn replaces_model(&self) -> bool {
        self.order.as_ref().is_some_and(LoadOrder::replaces_model)
    }
}

#[derive(Debug, Default)]
pub(super) struct PoolEndpoint {
    pub(super) call: Option<SentCall>,
    /// Artifacts in the last report of the endpoint. With `None`, the planner polls the endpoint.
    pub(super) loaded: Option<ArtifactSet>,
    pub(super) busy: bool,
    /// Whether the endpoint may be without a model, because the last load of one did not succeed.
    pub(super) model_failed: bool,
    pub(super) poll_at: Timestamp,
    pub(super) retry_at: Timestamp,
    failures: u32,
}

impl PoolEndpoint {
    /// Whether a load is in progress at the endpoint.
    pub(super) fn is_loading(&self) -> bool {
        let call = self.call.as_ref();
        self.busy || call.is_some_and(|call| call.order.is_some())
    }

    /// Whether its model is being replaced, possibly by the order of another lease holder.
    pub(super) fn is_replacing(&self) -> bool {
        let call = self.call.as_ref();
        self.busy || call.is_some_and(SentCall::replaces_model)
    }

    /// Resets the state, for instance for a new configuration. Calls in flight still count.
    pub(super) fn reset(&mut self) {
        let call = self.call.take();
        *self = Self {
            call,
            ..Self::default()
        };
    }

    pub(super) fn apply_answer(
        &mut self,
        now: Timestamp,
        sent: &SentCall,
        answer: OrderAnswer,
        limits: &OrderLimits,
    ) {
        let succeeded = answer.code == ResultCode::Complete;
        self.model_failed = match &answer.report {
            Some(report) => report.unsettled,
            // A poll got no reply. The endpoint is unreachable, so its host is considered lost with
            // everything that was loaded there. If the other engines waited for it, no pool that
            // has lost a host could change its model.
            None if sent.order.is_none() => false,
            None => {
                self.model_failed || (sent.replaces_model() && answer.code.ran() != RanState::No)
            }
        };
        let report = answer.report.unwrap_or_default();
        self.loaded = report.loaded;
        self.busy = report.busy;
        self.poll_at = now
            + match self.busy {
                true => limits.busy_poll_interval,
                false => limits.poll_interval,
            };
        if succeeded && self.loaded.is_some() {
            self.failures = 0;
            return;
        }
        self.retry_at = now + self.retry_pause(limits);
        self.failures += 1;
    }

    fn retry_pause(&self, limits: &OrderLimits) -> std::time::Duration {
        let doubled = 1 << self.failures.min(MAX_RETRY_DOUBLINGS);
        (limits.retry * doubled).min(limits.max_retry)
    }
}
