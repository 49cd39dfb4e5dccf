//! Share of a request's organisation in an overloaded service.

use lovagedock::{
    DirectStep, FlowLane, ShareDecision, ShareRequest, organisation_tag, prelude::*, service_tag,
};

use super::DirectCall;

/// What has been recorded of a request for the shares of organisations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum ShareStage {
    /// Nothing.
    #[default]
    Unchecked,
    /// Its arrival; it may be placed.
    Admitted,
    /// Its placement.
    Placed,
    /// It is refused, since its organisation exceeds its share.
    Refused {
        /// Demand of the organisation at all gateways, in cost per second.
        demand: f64,
        /// Fair rate of the lane, in cost per second.
        fair_rate: f64,
    },
}

impl DirectCall {
    /// Refuses a new request whose organisation exceeds its share.
    pub(super) fn check_share(&mut self, now: Timestamp) -> Result<(), DirectStep> {
        // Few long prompts arrive in the averaging window, so one large prompt would exceed the share
        // of its organisation.
        let is_new = self.share == ShareStage::Unchecked
            && !self.queue.is_long()
            && self.machine.sent_count() == 0
            && self.parts.head.resume_after.is_none();
        if !is_new {
            return Ok(());
        }
        // Its caller was told that there is capacity.
        if self.returning.is_on_time() {
            self.share = ShareStage::Admitted;
            return Ok(());
        }
        let request = self.share_request();
        let state = &self.state;
        match state.decide_share(&self.parts.service, &request, rand::random()) {
            ShareDecision::Admitted => {
                self.share = ShareStage::Admitted;
                Ok(())
            }
            ShareDecision::Refused { demand, fair_rate } => {
                self.share = ShareStage::Refused { demand, fair_rate };
                metrics::counter!("lovagedock_share_refusals_total").increment(1);
                Err(self.refuse(now, "its organisation exceeds its share"))
            }
        }
    }

    /// Records the first placement of a request.
    pub(super) fn count_share_served(&mut self) {
        if self.share == ShareStage::Admitted {
            self.share = ShareStage::Placed;
            self.state.record_share_served(&self.share_request());
        }
    }

    /// Records that a request is refused for lack of capacity. A returning request gets only what
    /// others leave, so its refusal does not show an overload.
    pub(super) fn count_overload(&self) {
        if self.share == ShareStage::Admitted && !self.queue.is_return() {
            let request = self.share_request();
            self.state
                .record_share_overload(&self.parts.service, &request);
        }
    }

    /// Records that a request has to wait for capacity.
    pub(super) fn count_wait(&self) {
        if self.share == ShareStage::Admitted && !self.queue.is_return() {
            self.state.record_share_wait(&self.share_request());
        }
    }

    /// Returns the demand of the organisation and the fair rate, if the request is refused because
    /// of them.
    pub(super) fn exceeded_share(&self) -> Option<(f64, f64)> {
        match self.share {
            ShareStage::Refused { demand, fair_rate } => Some((demand, fair_rate)),
            ShareStage::Unchecked | ShareStage::Admitted | ShareStage::Placed => None,
        }
    }

    fn share_request(&self) -> ShareRequest {
        let parts = &self.parts;
        let is_long = self.queue.is_long();
        let profile = parts.config.services.get(&parts.service);
        let engine = profile.and_then(|profile| profile.engine.as_ref());
        let prefill_time = engine
            .filter(|_| is_long)
            .map(|engine| engine.prefill_time(parts.head.prompt));
        ShareRequest {
            service: service_tag(&parts.service),
            lane: FlowLane::new(is_long),
            organisation: organisation_tag(parts.organisation.as_deref().unwrap_or_default()),
            cost: prefill_time.map_or(1.0, |time| time.as_secs_f64()),
            is_return: self.queue.is_return(),
        }
    }
}
