//! Counts violated guarantees in the journals of one run.
//!
//! The response to the caller is the only output of the product that is used, because the response
//! is what the product guarantees. The journals of the stand-ins, joined by request id, show
//! whether the response was correct.

use std::{collections::HashMap, ops::AddAssign, time::Duration};

use lovagedock::{EndpointId, RanState, RequestId, Timestamp};
use serde::Serialize;

use super::journal::{
    AnswerCheck, CallOutcome, CallRecord, CallerJournal, DrainRecord, DrainTarget, ExcludedTarget,
    ExecutionJournal, ExecutionRecord, FleetJournal,
};

/// Number of violations of each guarantee. All counters are always reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ViolationCounts {
    /// Calls that were sent and neither completed nor failed by their deadline.
    pub no_outcome_in_time: u64,
    /// Responses that ended cleanly although the answer was incomplete.
    pub cut_answers: u64,
    /// Responses with bytes that do not belong to the answer to the request.
    pub wrong_answers: u64,
    /// Calls that were refused as not run although a stand-in recorded a start.
    pub ran_after_not_run: u64,
    /// Starts of non-idempotent work after the first one.
    pub ran_twice: u64,
    /// Redeliveries whose bytes differ from the first delivery.
    pub differing_redelivery: u64,
    /// Starts on an endpoint that had been draining for longer than the limit.
    pub work_after_leaving: u64,
    /// Requests in flight that were aborted by the drain of an endpoint or a gateway.
    pub cut_by_shutdown: u64,
    /// Starts that a configuration had excluded for longer than the limit.
    pub stale_config: u64,
    /// Blocks that are still allocated without a request.
    pub leaked_blocks: u64,
}

impl ViolationCounts {
    /// Total number of violations.
    pub fn total(&self) -> u64 {
        self.named().iter().map(|(_, count)| count).sum()
    }

    /// All counters with their names in reports.
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

/// Tolerances within which a guarantee does not count as violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViolationLimits {
    /// Maximum delay of an outcome after the deadline. It covers the network and the scheduling
    /// delays of a busy machine.
    pub outcome_grace: Duration,
    /// Time after the start of its drain in which an endpoint may still get new work.
    pub drain_grace: Duration,
    /// Maximum time from the acceptance of a configuration until it is in force.
    pub config_grace: Duration,
}

impl Default for ViolationLimits {
    fn default() -> Self {
        Self {
            outcome_grace: Duration::from_secs(1),
            drain_grace: Duration::from_secs(5),
            config_grace: Duration::from_secs(6),
        }
    }
}

/// Counts the violations of each guarantee in the journals of one run.
pub fn count_violations(
    callers: &CallerJournal,
    executions: &ExecutionJournal,
    fleet: &FleetJournal,
    limits: &ViolationLimits,
) -> ViolationCounts {
    let joined = JoinedJournals::new(callers, executions);
    ViolationCounts {
        no_outcome_in_time: joined.count_calls(|call| outcome_is_late(call, limits)),
        cut_answers: joined.count_calls(is_truncated),
        wrong_answers: joined.count_calls(|call| call.answer == AnswerCheck::Different),
        ran_after_not_run: joined.count_calls(|call| joined.ran_after_rejection(call)),
        ran_twice: joined.ran_twice(),
        differing_redelivery: joined.count_differing_redeliveries(),
        work_after_leaving: joined.work_after_leaving(fleet, limits),
        cut_by_shutdown: joined.count_calls(|call| joined.is_cut_by_shutdown(call, fleet)),
        stale_config: joined.stale_config(fleet, limits),
        leaked_blocks: executions.leaks.iter().map(|leak| leak.blocks).sum(),
    }
}

/// Call that is counted as a violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViolationDetail {
    /// Name of the counter.
    pub counter: &'static str,
    /// Request id, if the caller received it.
    pub request: Option<RequestId>,
    /// Outcome of the call for its caller.
    pub outcome: CallOutcome,
    /// Endpoints that started the request, in the order of the journals.
    pub endpoints: Vec<EndpointId>,
}

/// Lists the calls that are counted as violations, for diagnosis. Counters of starts, redeliveries
/// and blocks are not covered.
pub fn list_violations(
    callers: &CallerJournal,
    executions: &ExecutionJournal,
    fleet: &FleetJournal,
    limits: &ViolationLimits,
) -> Vec<ViolationDetail> {
    let joined = JoinedJournals::new(callers, executions);
    let mut details = Vec::new();
    for call in joined.calls {
        let is_violated = [
            ("no_outcome_in_time", outcome_is_late(call, limits)),
            ("cut_answers", is_truncated(call)),
            ("wrong_answers", call.answer == AnswerCheck::Different),
            ("ran_after_not_run", joined.ran_after_rejection(call)),
            ("cut_by_shutdown", joined.is_cut_by_shutdown(call, fleet)),
        ];
        let endpoints = joined.starts_for(call).iter();
        let endpoints: Vec<EndpointId> = endpoints.map(|start| start.endpoint.clone()).collect();
        let counters = is_violated
            .into_iter()
            .filter(|(_, is_violated)| *is_violated);
        details.extend(counters.map(|(counter, _)| ViolationDetail {
            counter,
            request: call.request,
            outcome: call.outcome,
            endpoints: endpoints.clone(),
        }));
    }
    details
}

struct JoinedJournals<'a> {
    calls: &'a [CallRecord],
    starts: &'a [ExecutionRecord],
    by_request: HashMap<RequestId, Vec<&'a ExecutionRecord>>,
    call_by_request: HashMap<RequestId, &'a CallRecord>,
}

impl<'a> JoinedJournals<'a> {
    fn new(callers: &'a CallerJournal, executions: &'a ExecutionJournal) -> Self {
        let mut by_request: HashMap<RequestId, Vec<&ExecutionRecord>> = HashMap::new();
        for start in &executions.starts {
            by_request.entry(start.request).or_default().push(start);
        }
        let call_by_request = callers
            .calls
            .iter()
            .filter_map(|call| Some((call.request?, call)))
            .collect();
        Self {
            calls: &callers.calls,
            starts: &executions.starts,
            by_request,
            call_by_request,
        }
    }

    fn count_calls(&self, is_violated: impl Fn(&CallRecord) -> bool) -> u64 {
        self.calls.iter().filter(|call| is_violated(call)).count() as u64
    }

    fn count_starts(&self, is_violated: impl Fn(&ExecutionRecord) -> bool) -> u64 {
        self.starts
            .iter()
            .filter(|start| is_violated(start))
            .count() as u64
    }

    fn starts_for(&self, call: &CallRecord) -> &[&'a ExecutionRecord] {
        let starts = call.request.and_then(|id| self.by_request.get(&id));
        starts.map_or(&[], Vec::as_slice)
    }

    fn ran_after_rejection(&self, call: &CallRecord) -> bool {
        let refused = matches!(
            call.outcome,
            CallOutcome::Problem {
                ran: RanState::No,
                ..
            }
        );
        refused && !self.starts_for(call).is_empty()
    }

    /// Counts the starts of non-idempotent work after the first one.
    ///
    /// A redelivery has another request id than the first delivery, and the caller does not know
    /// the id of a call whose connection broke. Starts are therefore grouped by the idempotency key
    /// if the stand-in or the caller knows it, and by request id otherwise.
    fn ran_twice(&self) -> u64 {
        let keyed: HashMap<&str, &CallRecord> = self
            .calls
            .iter()
            .filter(|call| call.non_idempotent)
            .filter_map(|call| Some((call.key.as_deref()?, call)))
            .collect();
        let mut starts_of_work: HashMap<WorkKey<'_>, u64> = HashMap::new();
        for start in self.starts {
            let call = self.call_by_request.get(&start.request).copied();
            let called_key = call.and_then(|call| call.key.as_deref());
            let work = match start.key.as_deref().or(called_key) {
                Some(key) if keyed.contains_key(key) => WorkKey::Key(key),
                _ if call.is_some_and(|call| call.non_idempotent) => {
                    WorkKey::Request(start.request)
                }
                _ => continue,
            };
            *starts_of_work.entry(work).or_default() += 1;
        }
        starts_of_work.values().map(|starts| starts - 1).sum()
    }

    fn count_differing_redeliveries(&self) -> u64 {
        let mut first_digests: HashMap<(&str, &str, &str), [u8; 32]> = HashMap::new();
        let mut differing = 0;
        for call in self.calls {
            let (Some(key), Some(digest)) = (&call.key, call.answer_digest) else {
                continue;
            };
            let call_key = (&*call.organisation, &*call.service, key.as_str());
            if *first_digests.entry(call_key).or_insert(digest) != digest {
                differing += 1;
            }
        }
        differing
    }

    fn work_after_leaving(&self, fleet: &FleetJournal, limits: &ViolationLimits) -> u64 {
        self.count_starts(|start| {
            fleet.drains.iter().any(|drain| {
                let target = DrainTarget::Endpoint(start.endpoint.clone());
                let until = drain.ended_at.unwrap_or(Timestamp::MAX);
                drain.target == target
                    && start.started_at > drain.started_at + limits.drain_grace
                    && start.started_at <= until
            })
        })
    }

    fn is_cut_by_shutdown(&self, call: &CallRecord, fleet: &FleetJournal) -> bool {
        let mut drains = fleet.drains.iter();
        is_aborted(call) && drains.any(|drain| self.was_in_flight(call, drain))
    }

    /// Whether the call was in flight at the target when its drain started.
    fn was_in_flight(&self, call: &CallRecord, drain: &DrainRecord) -> bool {
        match &drain.target {
            DrainTarget::Gateway(name) => {
                *name == call.gateway
                    && call.sent_at <= drain.started_at
                    && call.ended_at > drain.started_at
            }
            DrainTarget::Endpoint(endpoint) => self.starts_for(call).iter().any(|start| {
                start.endpoint == *endpoint
                    && start.started_at <= drain.started_at
                    && start.ended_at.is_none_or(|ended| ended > drain.started_at)
            }),
        }
    }

    fn stale_config(&self, fleet: &FleetJournal, limits: &ViolationLimits) -> u64 {
        self.count_starts(|start| {
            fleet.changes.iter().any(|change| {
                let from = change.accepted_at + limits.config_grace;
                let until = change.reverted_at.unwrap_or(Timestamp::MAX);
                let in_force = start.started_at > from && start.started_at < until;
                in_force && self.is_excluded(start, &change.excluded)
            })
        })
    }

    fn is_excluded(&self, start: &ExecutionRecord, excluded: &ExcludedTarget) -> bool {
        match excluded {
            ExcludedTarget::Endpoint(endpoint) => start.endpoint == *endpoint,
            ExcludedTarget::Organisation(organisation) => self
                .call_by_request
                .get(&start.request)
                .is_some_and(|call| call.organisation == *organisation),
        }
    }
}

#[derive(PartialEq, Eq, Hash)]
enum WorkKey<'a> {
    Key(&'a str),
    Request(RequestId),
}

fn outcome_is_late(call: &CallRecord, limits: &ViolationLimits) -> bool {
    match call.outcome {
        CallOutcome::NoOutcome => true,
        CallOutcome::Unsent => false,
        _ => call.ended_at > call.sent_at + call.deadline + limits.outcome_grace,
    }
}

fn is_truncated(call: &CallRecord) -> bool {
    call.outcome == CallOutcome::Complete && call.answer == AnswerCheck::Prefix
}

/// Whether work that had started was lost: it was neither delivered, nor refused as not run, nor
/// ended by its own deadline.
fn is_aborted(call: &CallRecord) -> bool {
    let deadline_passed = call.ended_at >= call.sent_at + call.deadline;
    match call.outcome {
        CallOutcome::Complete | CallOutcome::Unsent => false,
        CallOutcome::Broken | CallOutcome::NoOutcome => true,
        CallOutcome::Problem { ran, .. } => ran != RanState::No && !deadline_passed,
    }
}
