//! Distinguishes an engine whose process ended from one whose connection broke.

use std::time::Duration;

use lovagedock::{DirectEndpoint, EndEvidence, PartEnd, ProcessEnd};

use super::DirectCall;
use crate::direct::liveness::{ProcessState, probe_process};

impl DirectCall {
    /// Checks whether the process of the responding endpoint ended while it had the request, and
    /// records that. Returns whether the process ended or is unreachable.
    ///
    /// A broken connection alone is no evidence: it may have been reset, or the response may have
    /// been lost. If it were recorded as evidence, a link that resets connections would put
    /// harmless requests into quarantine.
    pub(super) async fn check_lead_process(&self, lead: &DirectEndpoint) -> bool {
        let is_certain = match self.probe_process(lead).await {
            ProcessState::Running => return false,
            ProcessState::Ended => true,
            ProcessState::Unreachable => false,
        };
        let streamed = self.stream.attempt_stream_time();
        self.record_process_end(lead, EndEvidence::new(is_certain, streamed));
        true
    }

    /// Checks whether the process of a helper, an endpoint that prefilled a part of the prompt,
    /// ended, and records that.
    ///
    /// The helper may have ended before it was asked: after the loss of a failure domain, each
    /// attempt of a long prompt finds another helper gone. The evidence therefore counts as weak,
    /// and a quarantine requires six such ends.
    pub(super) async fn check_helper_process(&self, helper: &DirectEndpoint) {
        if self.probe_process(helper).await != ProcessState::Running {
            self.record_process_end(helper, EndEvidence::Weak);
        }
    }

    fn record_process_end(&self, endpoint: &DirectEndpoint, evidence: EndEvidence) {
        self.log_process_end(&endpoint.process, evidence);
        self.state
            .record_process_end(self.fingerprint, &endpoint.process, evidence);
        if self.stream.is_answering() {
            // A part that ends processes does so before they answer.
            return;
        }
        let end = PartEnd {
            process: ProcessEnd::new(&endpoint.process, evidence).process,
            request: self.fingerprint,
            evidence,
            ran_for: self.sent_at.elapsed(),
            age: Duration::ZERO,
            is_trial: self.has_trial,
        };
        self.state.record_part_end(&self.parts.head.parts, end);
    }

    async fn probe_process(&self, endpoint: &DirectEndpoint) -> ProcessState {
        if self.state.is_replaced(&endpoint.process) {
            return ProcessState::Ended;
        }
        match probe_process(endpoint.address).await {
            // The address may have been reassigned to another process since.
            ProcessState::Running if self.state.is_unlisted(&endpoint.process) => {
                ProcessState::Unreachable
            }
            state => state,
        }
    }
}
