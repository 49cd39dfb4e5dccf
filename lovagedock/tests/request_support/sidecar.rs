//! Model of a sidecar with successive incarnations. Each attempt has different answer bytes.

use std::collections::BTreeMap;

use lovagedock::{EndpointCore, prelude::*};

pub(crate) const FRAME_BYTES: u64 = 8;
pub(crate) const ANSWER_BYTES: u64 = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkState {
    Queued,
    Running,
    Ended,
    /// Started and stopped without a complete answer.
    Failed,
    Tombstone,
}

#[derive(Clone, Debug)]
pub(crate) struct Work {
    pub(crate) state: WorkState,
    /// Link on which frames are sent.
    pub(crate) link: usize,
    pub(crate) produced: u64,
}

pub(crate) struct SidecarModel {
    /// The real state machine, if it replaces the model.
    pub(crate) core: Option<EndpointCore>,
    pub(crate) incarnation: Incarnation,
    pub(crate) draining: bool,
    pub(crate) work: BTreeMap<AttemptNumber, Work>,
}

impl SidecarModel {
    pub(crate) fn new(incarnation: Incarnation) -> Self {
        Self {
            core: None,
            incarnation,
            draining: false,
            work: BTreeMap::new(),
        }
    }

    pub(crate) fn submit(
        &mut self,
        attempt: AttemptNumber,
        incarnation: Incarnation,
        link: usize,
    ) -> Result<(), ResultCode> {
        if incarnation != self.incarnation {
            return Err(ResultCode::StaleIncarnation);
        }
        if self.draining {
            return Err(ResultCode::Draining);
        }
        if self.work.contains_key(&attempt) {
            return Err(ResultCode::EngineRefused);
        }
        let work = Work {
            state: WorkState::Queued,
            link,
            produced: 0,
        };
        self.work.insert(attempt, work);
        Ok(())
    }

    pub(crate) fn revoke(
        &mut self,
        attempt: AttemptNumber,
        incarnation: Incarnation,
    ) -> RevokeVerdict {
        if incarnation != self.incarnation {
            return RevokeVerdict::OtherIncarnation;
        }
        let work = self.work.entry(attempt).or_insert(Work {
            state: WorkState::Tombstone,
            link: 0,
            produced: 0,
        });
        match work.state {
            WorkState::Running => RevokeVerdict::Running,
            WorkState::Ended | WorkState::Failed => RevokeVerdict::Ended,
            WorkState::Queued | WorkState::Tombstone => {
                work.state = WorkState::Tombstone;
                RevokeVerdict::Revoked
            }
        }
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptNumber, incarnation: Incarnation) {
        if incarnation == self.incarnation {
            let work = self.work.entry(attempt).or_insert(Work {
                state: WorkState::Tombstone,
                link: 0,
                produced: 0,
            });
            work.state = match work.state {
                WorkState::Queued | WorkState::Tombstone => WorkState::Tombstone,
                WorkState::Running | WorkState::Ended | WorkState::Failed => WorkState::Failed,
            };
        }
    }

    /// Returns the work that a resume may continue, and moves it to the new link.
    pub(crate) fn resume(
        &mut self,
        attempt: AttemptNumber,
        incarnation: Incarnation,
        link: usize,
    ) -> Option<Work> {
        let work = self
            .work
            .get_mut(&attempt)
            .filter(|_| incarnation == self.incarnation)?;
        if work.state == WorkState::Tombstone {
            return None;
        }
        work.link = link;
        Some(work.clone())
    }
}

/// Returns answer bytes of an attempt. They differ by attempt, as sampling makes them differ.
pub(crate) fn answer_bytes(attempt: AttemptNumber, from: u64, to: u64) -> Vec<u8> {
    (from..to)
        .map(|at| (at as u8).wrapping_mul(7) ^ (attempt as u8) << 5)
        .collect()
}

pub(crate) fn clean_end(attempt: AttemptNumber) -> AnswerEnd {
    let bytes = answer_bytes(attempt, 0, ANSWER_BYTES);
    AnswerEnd::complete(ANSWER_BYTES, *blake3::hash(&bytes).as_bytes())
}
