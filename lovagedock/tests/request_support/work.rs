//! The sidecars' side of a schedule: attempts start, send answers and fail.

use lovagedock::{RequestEvent, prelude::*};

use super::{
    FaultKind,
    sidecar::{ANSWER_BYTES, FRAME_BYTES, WorkState, answer_bytes, clean_end},
    simulation::{Message, RequestSimulation, Step},
};

impl RequestSimulation {
    pub(super) fn receive(&mut self, link: usize, message: Message) {
        if self.real_sidecars {
            return self.receive_core(link, message);
        }
        let endpoint = self.links[link].endpoint;
        match message {
            Message::Submit(attempt, incarnation) => {
                let event = match self.sidecars[endpoint].submit(attempt, incarnation, link) {
                    Ok(()) => {
                        let delay = 2 * self.delay();
                        self.after(delay, Step::Begin(endpoint, incarnation, attempt));
                        RequestEvent::SubmitAccepted {
                            attempt,
                            incarnation,
                        }
                    }
                    Err(code) => RequestEvent::SubmitRefused {
                        attempt,
                        end: AnswerEnd::new(code),
                    },
                };
                self.send(link, Step::ToGateway(link, event, Vec::new()));
            }
            Message::Revoke(attempt, incarnation) => {
                let verdict = self.sidecars[endpoint].revoke(attempt, incarnation);
                let sidecar_incarnation = self.sidecars[endpoint].incarnation;
                let event = RequestEvent::RevokeAnswered {
                    attempt,
                    incarnation: sidecar_incarnation,
                    verdict,
                };
                self.send(link, Step::ToGateway(link, event, Vec::new()));
            }
            Message::Cancel(attempt, incarnation) => {
                self.sidecars[endpoint].cancel(attempt, incarnation)
            }
            Message::Resume(attempt, incarnation, offset) => {
                self.resume(link, attempt, incarnation, offset)
            }
        }
    }

    pub(super) fn resume(
        &mut self,
        link: usize,
        attempt: AttemptNumber,
        incarnation: Incarnation,
        offset: u64,
    ) {
        let endpoint = self.links[link].endpoint;
        let work = self.sidecars[endpoint].resume(attempt, incarnation, link);
        let found = work.is_some();
        self.after(
            1,
            Step::ToGateway(
                link,
                RequestEvent::ResumeAnswered { attempt, found },
                vec![],
            ),
        );
        let Some(work) = work.filter(|work| work.state != WorkState::Queued) else {
            return;
        };
        if offset == 0 {
            self.after(
                2,
                Step::ToGateway(link, RequestEvent::Head { attempt }, vec![]),
            );
        }
        if work.produced > offset {
            self.after(3, chunk(link, attempt, offset, work.produced));
        }
        let end = match work.state {
            WorkState::Ended => clean_end(attempt),
            WorkState::Failed => AnswerEnd::new(ResultCode::EngineFailed),
            _ => return,
        };
        self.after(
            4,
            Step::ToGateway(link, RequestEvent::End { attempt, end }, vec![]),
        );
    }

    pub(super) fn begin(
        &mut self,
        endpoint: usize,
        incarnation: Incarnation,
        attempt: AttemptNumber,
    ) {
        if self.real_sidecars {
            return self.begin_core(endpoint, incarnation, attempt);
        }
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
        self.after(
            1,
            Step::ToGateway(link, RequestEvent::Head { attempt }, vec![]),
        );
        let delay = self.delay();
        self.after(delay, Step::Produce(endpoint, incarnation, attempt));
    }

    pub(super) fn produce(
        &mut self,
        endpoint: usize,
        incarnation: Incarnation,
        attempt: AttemptNumber,
    ) {
        if self.real_sidecars {
            return self.produce_core(endpoint, incarnation, attempt);
        }
        let sidecar = &mut self.sidecars[endpoint];
        let Some(work) = sidecar.work.get_mut(&attempt) else {
            return;
        };
        if sidecar.incarnation != incarnation || work.state != WorkState::Running {
            return;
        }
        let (link, from) = (work.link, work.produced);
        if from == ANSWER_BYTES {
            work.state = WorkState::Ended;
            let event = RequestEvent::End {
                attempt,
                end: clean_end(attempt),
            };
            self.after(1, Step::ToGateway(link, event, vec![]));
            return;
        }
        work.produced += FRAME_BYTES;
        let frame = chunk(link, attempt, from, from + FRAME_BYTES);
        self.send_frame(frame);
        let delay = self.delay().max(2);
        self.after(delay, Step::Produce(endpoint, incarnation, attempt));
    }

    pub(super) fn send_frame(&mut self, mut frame: Step) {
        match self.next_frame.take() {
            Some(FaultKind::DropFrame) => return,
            Some(FaultKind::RepeatFrame) => self.after(1, frame.clone()),
            Some(FaultKind::DelayFrame) => {
                self.after(40, frame);
                return;
            }
            Some(FaultKind::CorruptFrame) => {
                self.corrupted = true;
                if let Step::ToGateway(_, _, bytes) = &mut frame {
                    bytes[0] ^= 1;
                }
            }
            _ => {}
        }
        self.after(1, frame);
    }

    pub(super) fn fail_running(&mut self, endpoint: usize) {
        if self.real_sidecars {
            return self.fail_core(endpoint);
        }
        let mut ends = Vec::new();
        for (attempt, work) in &mut self.sidecars[endpoint].work {
            if work.state == WorkState::Running {
                work.state = WorkState::Failed;
                ends.push((*attempt, work.link));
            }
        }
        for (attempt, link) in ends {
            let end = AnswerEnd::new(ResultCode::EngineFailed);
            self.after(
                2,
                Step::ToGateway(link, RequestEvent::End { attempt, end }, vec![]),
            );
        }
    }
}

pub(super) fn chunk(link: usize, attempt: AttemptNumber, from: u64, to: u64) -> Step {
    let event = RequestEvent::Chunk {
        attempt,
        offset: from,
        length: to - from,
    };
    Step::ToGateway(link, event, answer_bytes(attempt, from, to))
}
