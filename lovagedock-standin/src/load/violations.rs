//! Counts broken promises in the journals of one run.
//!
//! The product's word about itself is taken only where it is the promise: what it told the caller.
//! Whether that was true is read from the stand-ins' journals, joined by request id.

use std::{collections::HashMap, ops::AddAssign, time::Duration};

use lovagedock::{EndpointId, RanState, RequestId, Timestamp};
use serde::Serialize;

use super::journal::{
    AnswerCheck, CallEnding, CallRecord, CallerJournal, ExecutionJournal, ExecutionRecord,
    FleetJournal, LeaveRecord, LeavingParty, RuledOut,
};

/// Number of times that each promise was broken; all are always reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// Sent, and neither finished nor failed by its deadline.
    pub no_outcome_in_time: u64,
    /// Clean end on an incomplete answer.
    pub cut_answers: u64,
    /// Bytes that are not those of the request's own answer.
    pub wrong_answers: u64,
    /// Refused as not run, yet a stand-in saw it start.
    pub ran_after_not_run: u64,
    /// Starts of non-idempotent work after its first.
    pub ran_twice: u64,
    /// Redeliveries with other bytes than the first delivery.
    pub differing_redelivery: u64,
    /// Starts on an endpoint that had been leaving for longer than the limit.
    pub work_after_leaving: u64,
    /// Requests in flight that an orderly departure cut off.
    pub cut_by_shutdown: u64,
    /// Starts that a configuration had ruled out for longer than the limit.
    pub stale_config: u64,
    /// Blocks held with no request left.
    pub leaked_blocks: u64,
}

impl ViolationCounts {
    /// All violations together.
    pub fn total(&self) -> u64 {
        self.named().iter().map(|(_, count)| count).sum()
    }

    /// Each counter with its name in reports.
    pub fn named(&self) -> [(&'static str, u64); 10] {
        [
            ("no_outcome_in_time", self.no_outcome_in_time),
            ("cut_answers", self.cut_answers),
            ("wrong_answers", self.wrong_answers),
            ("ran_after_not_run", self.ran_after_not_run),
            ("ran_twice", self.ran_twice),
            ("differing_redelivery", self.differing_redelivery),
            ("work_after_leaving", self.work_after_leaving),
            ("cut_by_shutdown", self.cut_by_shutdown),
            ("stale_config", self.stale_config),
            ("leaked_blocks", self.leaked_blocks),
        ]
    }
}

impl AddAssign for ViolationCounts {
    fn add_assign(&mut self, other: Self) {
        self.no_outcome_in_time += other.no_outcome_in_time;
        self.cut_answers += other.cut_answers;
        self.wrong_answers += other.wrong_answers;
        self.ran_after_not_run += other.ran_after_not_run;
        self.ran_twice += other.ran_twice;
        self.differing_redelivery += other.differing_redelivery;
        self.work_after_leaving += other.work_after_leaving;
        self.cut_by_shutdown += other.cut_by_shutdown;
        self.stale_config += other.stale_config;
        self.leaked_blocks += other.leaked_blocks;
    }
}

/// Times within which a promise is not broken yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationLimits {
    /// How much later than its deadline an outcome may reach the caller; the way over the network
    /// and the scheduling of a busy machine.
    pub outcome_grace: Duration,
    /// How long after it began to leave an endpoint may get new work.
    pub leaving: Duration,
    /// How long after its acceptance a configuration may not be in force.
    pub configuration: Duration,
}

impl Default for ViolationLimits {
    fn default() -> Self {
        Self {
            outcome_grace: Duration::from_secs(1),
            leaving: Duration::from_secs(5),
            configuration: Duration::from_secs(6),
        }
    }
}

/// Counts every kind of violation in the journals of one run.
pub fn count_violations(
    callers: &CallerJournal,
    executions: &ExecutionJournal,
    fleet: &FleetJournal,
    limits: &ViolationLimits,
) -> ViolationCounts {
    let joined = JoinedJournals::new(callers, executions);
    ViolationCounts {
        no_outcome_in_time: joined.count_calls(|call| outcome_is_late(call, limits)),
        cut_answers: joined.count_calls(is_cut),
        wrong_answers: joined.count_calls(|call| call.answer == AnswerCheck::Different),
        ran_after_not_run: joined.count_calls(|call| joined.ran_though_refused(call)),
        ran_twice: joined.ran_twice(),
        differing_redelivery: joined.differing_redeliveries(),
        work_after_leaving: joined.work_after_leaving(fleet, limits),
        cut_by_shutdown: joined.count_calls(|call| joined.is_cut_by_shutdown(call, fleet)),
        stale_config: joined.stale_config(fleet, limits),
        leaked_blocks: executions.holdings.iter().map(|held| held.blocks).sum(),
    }
}

/// One call that a promise was broken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViolationNote {
    /// Name of the counter.
    pub counter: &'static str,
    /// Request id, if the caller knows it.
    pub request: Option<RequestId>,
    /// How the call ended for its caller.
    pub ending: CallEnding,
    /// Endpoints that started it, in the order of the journals.
    pub endpoints: Vec<EndpointId>,
}

/// Names the calls behind the counters that count calls, for whoever looks into them.
pub fn note_violations(
    callers: &CallerJournal,
    executions: &ExecutionJournal,
    fleet: &FleetJournal,
    limits: &ViolationLimits,
) -> Vec<ViolationNote> {
    let joined = JoinedJournals::new(callers, executions);
    let mut notes = Vec::new();
    for call in joined.calls {
        let broken = [
            ("no_outcome_in_time", outcome_is_late(call, limits)),
            ("cut_answers", is_cut(call)),
            ("wrong_answers", call.answer == AnswerCheck::Different),
            ("ran_after_not_run", joined.ran_though_refused(call)),
            ("cut_by_shutdown", joined.is_cut_by_shutdown(call, fleet)),
        ];
        let endpoints = joined.starts_of(call).iter();
        let endpoints: Vec<EndpointId> = endpoints.map(|start| start.endpoint.clone()).collect();
        let counters = broken.into_iter().filter(|(_, broken)| *broken);
        notes.extend(counters.map(|(counter, _)| ViolationNote {
            counter,
            request: call.request,
            ending: call.ending,
            endpoints: endpoints.clone(),
        }));
    }
    notes
}

struct JoinedJournals<'a> {
    calls: &'a [CallRecord],
    starts: &'a [ExecutionRecord],
    by_request: HashMap<RequestId, Vec<&'a ExecutionRecord>>,
    caller_of: HashMap<RequestId, &'a CallRecord>,
}

impl<'a> JoinedJournals<'a> {
    fn new(callers: &'a CallerJournal, executions: &'a ExecutionJournal) -> Self {
        let mut by_request: HashMap<RequestId, Vec<&ExecutionRecord>> = HashMap::new();
        for start in &executions.starts {
            by_request.entry(start.request).or_default().push(start);
        }
        let caller_of = callers
            .calls
            .iter()
            .filter_map(|call| Some((call.request?, call)))
            .collect();
        Self {
            calls: &callers.calls,
            starts: &executions.starts,
            by_request,
            caller_of,
        }
    }

    fn count_calls(&self, broken: impl Fn(&CallRecord) -> bool) -> u64 {
        self.calls.iter().filter(|call| broken(call)).count() as u64
    }

    fn count_starts(&self, broken: impl Fn(&ExecutionRecord) -> bool) -> u64 {
        self.starts.iter().filter(|start| broken(start)).count() as u64
    }

    fn starts_of(&self, call: &CallRecord) -> &[&'a ExecutionRecord] {
        let starts = call.request.and_then(|id| self.by_request.get(&id));
        starts.map_or(&[], Vec::as_slice)
    }

    fn ran_though_refused(&self, call: &CallRecord) -> bool {
        let refused = matches!(
            call.ending,
            CallEnding::Problem {
                ran: RanState::No,
                ..
            }
        );
        refused && !self.starts_of(call).is_empty()
    }

    /// A redelivery has another request id than the first delivery, and a call whose connection
    /// broke has none that its caller knows. So starts are grouped by the key where the stand-in
    /// or the caller knows it, and by request id otherwise.
    fn ran_twice(&self) -> u64 {
        let keyed: HashMap<&str, &CallRecord> = self
            .calls
            .iter()
            .filter(|call| call.non_idempotent)
            .filter_map(|call| Some((call.key.as_deref()?, call)))
            .collect();
        let mut starts_of_work: HashMap<WorkName<'_>, u64> = HashMap::new();
        for start in self.starts {
            let call = self.caller_of.get(&start.request).copied();
            let called_key = call.and_then(|call| call.key.as_deref());
            let work = match start.key.as_deref().or(called_key) {
                Some(key) if keyed.contains_key(key) => WorkName::Key(key),
                _ if call.is_some_and(|call| call.non_idempotent) => {
                    WorkName::Request(start.request)
                }
                _ => continue,
            };
            *starts_of_work.entry(work).or_default() += 1;
        }
        starts_of_work.values().map(|starts| starts - 1).sum()
    }

    fn differing_redeliveries(&self) -> u64 {
        let mut first: HashMap<(&str, &str, &str), [u8; 32]> = HashMap::new();
        let mut differing = 0;
        for call in self.calls {
            let (Some(key), Some(digest)) = (&call.key, call.answer_digest) else {
                continue;
            };
            let name = (&*call.organisation, &*call.service, key.as_str());
            if *first.entry(name).or_insert(digest) != digest {
                differing += 1;
            }
        }
        differing
    }

    fn work_after_leaving(&self, fleet: &FleetJournal, limits: &ViolationLimits) -> u64 {
        self.count_starts(|start| {
            fleet.leaves.iter().any(|leave| {
                let party = LeavingParty::Endpoint(start.endpoint.clone());
                let until = leave.gone_at.unwrap_or(Timestamp::MAX);
                leave.party == party
                    && start.started_at > leave.began_at + limits.leaving
                    && start.started_at <= until
            })
        })
    }

    fn is_cut_by_shutdown(&self, call: &CallRecord, fleet: &FleetJournal) -> bool {
        let mut leaves = fleet.leaves.iter();
        is_cut_off(call) && leaves.any(|leave| self.was_in_flight(call, leave))
    }

    /// Whether the call was at the leaving party when the departure began.
    fn was_in_flight(&self, call: &CallRecord, leave: &LeaveRecord) -> bool {
        match &leave.party {
            LeavingParty::Gateway(name) => {
                *name == call.gateway
                    && call.sent_at <= leave.began_at
                    && call.ended_at > leave.began_at
            }
            LeavingParty::Endpoint(endpoint) => self.starts_of(call).iter().any(|start| {
                start.endpoint == *endpoint
                    && start.started_at <= leave.began_at
                    && start.ended_at.is_none_or(|ended| ended > leave.began_at)
            }),
        }
    }

    fn stale_config(&self, fleet: &FleetJournal, limits: &ViolationLimits) -> u64 {
        self.count_starts(|start| {
            fleet.changes.iter().any(|change| {
                let from = change.accepted_at + limits.configuration;
                let until = change.lifted_at.unwrap_or(Timestamp::MAX);
                let in_force = start.started_at > from && start.started_at < until;
                in_force && self.is_ruled_out(start, &change.ruled_out)
            })
        })
    }

    fn is_ruled_out(&self, start: &ExecutionRecord, ruled_out: &RuledOut) -> bool {
        match ruled_out {
            RuledOut::Endpoint(endpoint) => start.endpoint == *endpoint,
            RuledOut::Organisation(organisation) => self
                .caller_of
                .get(&start.request)
                .is_some_and(|call| call.organisation == *organisation),
        }
    }
}

#[derive(PartialEq, Eq, Hash)]
enum WorkName<'a> {
    Key(&'a str),
    Request(RequestId),
}

fn outcome_is_late(call: &CallRecord, limits: &ViolationLimits) -> bool {
    match call.ending {
        CallEnding::Nothing => true,
        CallEnding::Unsent => false,
        _ => call.ended_at > call.sent_at + call.deadline + limits.outcome_grace,
    }
}

fn is_cut(call: &CallRecord) -> bool {
    call.ending == CallEnding::Complete && call.answer == AnswerCheck::Beginning
}

/// Whether work that had begun was lost: neither delivered, nor refused as not run, nor out of its
/// own time.
fn is_cut_off(call: &CallRecord) -> bool {
    let out_of_time = call.ended_at >= call.sent_at + call.deadline;
    match call.ending {
        CallEnding::Complete | CallEnding::Unsent => false,
        CallEnding::Broken | CallEnding::Nothing => true,
        CallEnding::Problem { ran, .. } => ran != RanState::No && !out_of_time,
    }
}
