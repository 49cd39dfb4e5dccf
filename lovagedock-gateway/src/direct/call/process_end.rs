//! Tells an engine whose process ended from one whose connection broke.

use lovagedock::{DirectEndpoint, EndEvidence};

use super::DirectCall;
use crate::direct::liveness::{ProcessState, probe_process};

impl DirectCall {
    /// Finds out whether the process of the endpoint that answers ended while it had the request, and
    /// counts that; returns whether it ended or is out of reach.
    ///
    /// A connection that breaks says nothing of the process: it may have been reset, or the answer was
    /// lost. Counted all the same, a link that resets connections would put sound requests into
    /// quarantine.
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

    /// The same for an endpoint that read a part of the prompt.
    ///
    /// It may have ended before it was asked: with a failure domain lost, each attempt of a long prompt
    /// finds another helper gone. So it counts as weak, and six of them would be needed.
    pub(super) async fn check_helper_process(&self, helper: &DirectEndpoint) {
        if self.probe_process(helper).await != ProcessState::Running {
            self.record_process_end(helper, EndEvidence::Weak);
        }
    }

    fn record_process_end(&self, endpoint: &DirectEndpoint, evidence: EndEvidence) {
        self.log_process_end(&endpoint.process, evidence);
        self.state
            .record_process_end(self.fingerprint, &endpoint.process, evidence);
    }

    async fn probe_process(&self, endpoint: &DirectEndpoint) -> ProcessState {
        if self.state.is_replaced(&endpoint.process) {
            return ProcessState::Ended;
        }
        match probe_process(endpoint.address).await {
            // The address may have been given to another process since.
            ProcessState::Running if self.state.is_unlisted(&endpoint.process) => {
                ProcessState::Unreachable
            }
            state => state,
        }
    }
}
