//! Tells an engine whose process ended from one whose connection broke.

use lovagedock::{DirectEndpoint, EndEvidence};

use super::DirectCall;
use crate::direct::liveness::{ProcessState, process_state};

impl DirectCall {
    /// Finds out whether the process of the endpoint that answers ended while it had the request, and
    /// counts that; returns whether it ended or is out of reach.
    ///
    /// A connection that breaks says nothing of the process: it may have been reset, or the answer was
    /// lost. Counted all the same, a link that resets connections would put sound requests into
    /// quarantine.
    pub(super) async fn examine_lead(&self, lead: &DirectEndpoint) -> bool {
        let is_certain = match self.process_state(lead).await {
            ProcessState::Running => return false,
            ProcessState::Ended => true,
            ProcessState::OutOfReach => false,
        };
        let streamed = self.stream.streamed_for();
        self.note_ended(lead, EndEvidence::new(is_certain, streamed));
        true
    }

    /// The same for an endpoint that read a part of the prompt.
    ///
    /// It may have ended before it was asked: with a failure domain lost, each attempt of a long prompt
    /// finds another helper gone. So it counts as weak, and six of them would be needed.
    pub(super) async fn examine_helper(&self, helper: &DirectEndpoint) {
        if self.process_state(helper).await != ProcessState::Running {
            self.note_ended(helper, EndEvidence::Weak);
        }
    }

    fn note_ended(&self, endpoint: &DirectEndpoint, evidence: EndEvidence) {
        self.note_process_end(&endpoint.process, evidence);
        self.board
            .record_process_end(self.fingerprint, &endpoint.process, evidence);
    }

    async fn process_state(&self, endpoint: &DirectEndpoint) -> ProcessState {
        if self.board.is_replaced(&endpoint.process) {
            return ProcessState::Ended;
        }
        match process_state(endpoint.address).await {
            // The address may have been given to another process since.
            ProcessState::Running if self.board.is_unlisted(&endpoint.process) => {
                ProcessState::OutOfReach
            }
            state => state,
        }
    }
}
