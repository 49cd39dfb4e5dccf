//! Model of an engine for a sidecar that uses the real state machine.

use lovagedock::{EndpointEvent, EngineAnswer, EngineResult, RequestEvent, prelude::*};

use super::{
    core_sidecar::key,
    sidecar::{ANSWER_BYTES, FRAME_BYTES, WorkState, answer_bytes, clean_end},
    simulation::{RequestSimulation, Step},
};

impl RequestSimulation {
    /// Starts an attempt on the engine.
    pub(super) fn begin_core(
        &mut self,
        endpoint: usize,
        incarnation: Incarnation,
        attempt: AttemptNumber,
    ) {
        let sidecar = &mut self.sidecars[endpoint];
        let Some(work) = sidecar.work.get_mut(&attempt) else {
            return;
        };
        if sidecar.incarnation != incarnation || work.state != WorkState::Queued {
            return;
        }
        work.state = WorkState::Running;
        let link = work.link;
        self.starts.push(attempt);
        self.send_to_core(
            endpoint,
            link,
            EndpointEvent::EngineStarted(key(attempt, incarnation)),
        );
        self.after(
            1,
            Step::ToGateway(link, RequestEvent::Head { attempt }, vec![]),
        );
        let delay = self.delay();
        self.after(delay, Step::Produce(endpoint, incarnation, attempt));
    }

    pub(super) fn produce_core(
        &mut self,
        endpoint: usize,
        incarnation: Incarnation,
        attempt: AttemptNumber,
    ) {
        let sidecar = &mut self.sidecars[endpoint];
        let Some(work) = sidecar.work.get_mut(&attempt) else {
            return;
        };
        if sidecar.incarnation != incarnation || work.state != WorkState::Running {
            return;
        }
        let link = work.link;
        let key = key(attempt, incarnation);
        if work.produced == ANSWER_BYTES {
            work.state = WorkState::Ended;
            let result = EngineResult::Finished(finished(attempt));
            self.send_to_core(endpoint, link, EndpointEvent::EngineEnded { key, result });
            return;
        }
        work.produced += FRAME_BYTES;
        let length = FRAME_BYTES;
        self.send_to_core(endpoint, link, EndpointEvent::EngineBytes { key, length });
        let delay = self.delay().max(2);
        self.after(delay, Step::Produce(endpoint, incarnation, attempt));
    }

    pub(super) fn fail_core(&mut self, endpoint: usize) {
        let incarnation = self.sidecars[endpoint].incarnation;
        let works = self.sidecars[endpoint].work.iter_mut();
        let running = works.filter(|(_, work)| work.state == WorkState::Running);
        let failed: Vec<(AttemptNumber, usize)> = running
            .map(|(attempt, work)| {
                work.state = WorkState::Failed;
                (*attempt, work.link)
            })
            .collect();
        for (attempt, link) in failed {
            let key = key(attempt, incarnation);
            let result = EngineResult::Failed {
                detail: String::new(),
            };
            self.send_to_core(endpoint, link, EndpointEvent::EngineEnded { key, result });
        }
    }
}

fn finished(attempt: AttemptNumber) -> EngineAnswer {
    let bytes = answer_bytes(attempt, 0, ANSWER_BYTES);
    let end = clean_end(attempt);
    EngineAnswer {
        length: end.length,
        digest: *blake3::hash(&bytes).as_bytes(),
        prompt_tokens: 1_000,
        cached_tokens: 0,
        answer_tokens: 10,
    }
}
