//! Records of callers and stand-ins that break no promise by themselves.

use std::time::Duration;

use lovagedock::{LengthBucket, RanState, RequestId, ResultCode};
use lovagedock_standin::load::{
    AnswerCheck, CallOutcome, CallRecord, CallerJournal, ConfigChange, DrainRecord, DrainTarget,
    ExcludedTarget, ExecutionJournal, ExecutionRecord, FleetJournal, LeakRecord, ViolationCounts,
    ViolationDetail, ViolationLimits, count_violations, list_violations,
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
        outcome: CallOutcome::Complete,
        answer: AnswerCheck::Complete,
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
        outcome: CallOutcome::Problem {
            code: code.number(),
            ran,
        },
        answer: AnswerCheck::Prefix,
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

pub(crate) fn leave(target: DrainTarget, at: Duration) -> DrainRecord {
    DrainRecord {
        target,
        started_at: at,
        ended_at: None,
    }
}

pub(crate) fn engine_leaves(at: Duration) -> DrainRecord {
    leave(DrainTarget::Endpoint("engine-1".into()), at)
}

pub(crate) fn rules_out(excluded: ExcludedTarget, at: Duration) -> ConfigChange {
    ConfigChange {
        accepted_at: at,
        reverted_at: None,
        excluded,
    }
}

#[derive(Default)]
pub(crate) struct Journals {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) starts: Vec<ExecutionRecord>,
    pub(crate) leaks: Vec<LeakRecord>,
    pub(crate) drains: Vec<DrainRecord>,
    pub(crate) changes: Vec<ConfigChange>,
}

impl Journals {
    pub(crate) fn count(self) -> ViolationCounts {
        self.examine().0
    }

    pub(crate) fn examine(self) -> (ViolationCounts, Vec<ViolationDetail>) {
        let callers = CallerJournal { calls: self.calls };
        let executions = ExecutionJournal {
            starts: self.starts,
            leaks: self.leaks,
        };
        let fleet = FleetJournal {
            drains: self.drains,
            changes: self.changes,
        };
        let limits = ViolationLimits::default();
        (
            count_violations(&callers, &executions, &fleet, &limits),
            list_violations(&callers, &executions, &fleet, &limits),
        )
    }
}
