//! Records of callers and stand-ins that break no promise by themselves.

use std::time::Duration;

use lovagedock::{LengthBucket, RanState, RequestId, ResultCode};
use lovagedock_standin::load::{
    AnswerCheck, CallEnding, CallRecord, CallerJournal, ConfigChange, ExecutionJournal,
    ExecutionRecord, FleetJournal, HoldingRecord, LeaveRecord, LeavingParty, RuledOut,
    ViolationCounts, ViolationLimits, ViolationNote, count_violations, note_violations,
};

pub(crate) const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A complete call of request `id`, sent at 1 s and ended at 2 s.
pub(crate) fn call(id: RequestId) -> CallRecord {
    CallRecord {
        number: id as u64,
        request: Some(id),
        organisation: "outlets".into(),
        service: "counter".into(),
        bucket: Some(LengthBucket::K1),
        key: None,
        non_idempotent: false,
        gateway: "gateway-1".to_owned(),
        intended_at: seconds(1),
        sent_at: seconds(1),
        first_token_at: Some(seconds(1)),
        token_gaps: Vec::new(),
        ended_at: seconds(2),
        deadline: seconds(5),
        ending: CallEnding::Complete,
        answer: AnswerCheck::Whole,
        answer_digest: Some([1; 32]),
    }
}

pub(crate) fn keyed(id: RequestId, key: &str) -> CallRecord {
    CallRecord {
        key: Some(key.to_owned()),
        non_idempotent: true,
        ..call(id)
    }
}

pub(crate) fn refused(id: RequestId) -> CallRecord {
    failed(id, ResultCode::NoCapacity, RanState::No)
}

pub(crate) fn failed(id: RequestId, code: ResultCode, ran: RanState) -> CallRecord {
    CallRecord {
        ending: CallEnding::Problem {
            code: code.number(),
            ran,
        },
        answer: AnswerCheck::Beginning,
        answer_digest: None,
        ..call(id)
    }
}

/// Request `id` ran on `engine-1` from 1 s to 2 s.
pub(crate) fn start(id: RequestId) -> ExecutionRecord {
    start_at(id, seconds(1))
}

pub(crate) fn start_at(id: RequestId, at: Duration) -> ExecutionRecord {
    ExecutionRecord {
        request: id,
        key: None,
        endpoint: "engine-1".into(),
        started_at: at,
        ended_at: Some(at + seconds(1)),
    }
}

pub(crate) fn leave(party: LeavingParty, at: Duration) -> LeaveRecord {
    LeaveRecord {
        party,
        began_at: at,
        gone_at: None,
    }
}

pub(crate) fn engine_leaves(at: Duration) -> LeaveRecord {
    leave(LeavingParty::Endpoint("engine-1".into()), at)
}

pub(crate) fn rules_out(ruled_out: RuledOut, at: Duration) -> ConfigChange {
    ConfigChange {
        accepted_at: at,
        lifted_at: None,
        ruled_out,
    }
}

#[derive(Default)]
pub(crate) struct Journals {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) starts: Vec<ExecutionRecord>,
    pub(crate) holdings: Vec<HoldingRecord>,
    pub(crate) leaves: Vec<LeaveRecord>,
    pub(crate) changes: Vec<ConfigChange>,
}

impl Journals {
    pub(crate) fn count(self) -> ViolationCounts {
        self.examine().0
    }

    pub(crate) fn examine(self) -> (ViolationCounts, Vec<ViolationNote>) {
        let callers = CallerJournal { calls: self.calls };
        let executions = ExecutionJournal {
            starts: self.starts,
            holdings: self.holdings,
        };
        let fleet = FleetJournal {
            leaves: self.leaves,
            changes: self.changes,
        };
        let limits = ViolationLimits::default();
        (
            count_violations(&callers, &executions, &fleet, &limits),
            note_violations(&callers, &executions, &fleet, &limits),
        )
    }
}
