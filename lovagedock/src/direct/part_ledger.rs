//! Detection of parts of prompts that end the engine processes that answer them.

mod releases;
mod trials;

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use super::{
    part_record::{EndRecord, LedgerTime, PROCESS_START, PartRecord, ledger_time},
    part_update::{PartEnd, PartReport, PartUpdate, PromptPart, PromptParts},
    recent::RecentSet,
    refusals::RequestFingerprint,
    release_log::ReleaseLog,
    resend_queue::ResendQueue,
    suspect_update::ProcessTag,
};
use crate::ids::Timestamp;

/// Duration of the first quarantine. After it, one request at a time is sent to find out whether
/// the part still ends engines, and each further quarantine lasts twice as long, up to the maximum.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
const MAX_QUARANTINE: Duration = Duration::from_secs(4 * 3600);

/// Number of doublings after which a quarantine has its maximum duration.
const MAX_DOUBLINGS: u32 = 5;

/// Maximum number of trials in one quarantine during which a process may end. Operators accept that
/// three requests are sent after the part is known.
const MAX_FAILED_TRIALS: usize = 3;

/// Time for which evidence is kept after the latest end, or after the quarantine if that ends
/// later.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);

/// Time and number for which answered parts are remembered, to contradict evidence of peers that
/// arrives late.
const ANSWERED_TIME: Duration = Duration::from_secs(60);
const MAX_ANSWERED: usize = 4096;

/// Maximum number of parts with evidence.
const MAX_PARTS: usize = 2048;

/// Maximum number of parts that a gateway reports to the store.
const MAX_REPORTS: usize = 256;

/// Maximum number of updates in one message, and of ends in each of them: 2 KB in all.
const MAX_PER_MESSAGE: usize = 8;
const MAX_ENDS_SENT: usize = 6;

/// Interval at which quarantines are sent again, for gateways that started since, and the maximum
/// number sent each time.
const QUARANTINE_RESEND_INTERVAL: Duration = Duration::from_secs(5);
const MAX_QUARANTINES_RESENT: usize = 4;

/// What is known about a request by the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartVerdict {
    /// No process has ended under one of the parts since it was last answered.
    Clear,
    /// Processes ended under one of the parts.
    Suspect,
    /// Processes ended under several parts, one of which the request does not have, or may have
    /// ended by another cause, or a quarantine has ended. The request may be sent if no other one
    /// is sent for the same reason, see [`PartLedger::try_start_trial`].
    Doubtful,
    /// The request must not be sent to engines for this time.
    Quarantined(Duration),
}

#[derive(Clone, Copy, Debug)]
struct TrialRecord {
    request: RequestFingerprint,
    until: LedgerTime,
    rank: u64,
}

/// An update with times instead of ages, as it waits to be sent.
#[derive(Clone, Debug, PartialEq)]
enum WaitingPartUpdate {
    Ended(PromptParts, ProcessTag),
    Answered(PromptPart),
    Trial(PromptParts),
    Quarantined(PromptPart),
}

/// Parts of prompts under which processes ended, at this gateway and at its peers.
///
/// A part that ends each engine that begins to answer it may come in requests no two of which are
/// alike, beside other parts that sound requests share. So ends are counted for each part of the
/// request, and an answer that has begun clears all parts of its prompt from the ends before it.
/// The parts that remain are in quarantine after three ends under at least two requests.
///
/// If no answer tells the parts of the ended requests apart, all of them are in quarantine
/// together. A request that lacks one of them is sent as a trial, one at a time: it either clears
/// its parts, or shows that the part that it lacks is not the cause. A request that lacks none is
/// tried later, once, as the engines may have ended by another cause.
///
/// Ends at the same moment have one cause, which is rarely a request. So an end adds weight only if
/// its request was sent after the ends before it.
#[derive(Clone, Debug)]
pub struct PartLedger {
    records: HashMap<PromptPart, PartRecord>,
    answered: RecentSet,
    released: ReleaseLog,
    /// Processes whose ends are attributed to whole requests.
    attributed: HashMap<ProcessTag, RequestFingerprint>,
    trials: HashMap<PromptPart, TrialRecord>,
    /// Whether peers that may be serving are silent, so that they cannot confirm a trial.
    has_silent_peers: bool,
    /// Rank of this gateway among those that start a trial at the same moment; the lowest goes
    /// first.
    rank: u64,
    unsent: ResendQueue<WaitingPartUpdate>,
    requeued_at: LedgerTime,
    requeue_offset: usize,
}

impl Default for PartLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl PartLedger {
    /// Creates a ledger without evidence.
    pub fn new() -> Self {
        Self {
            records: HashMap::new(),
            answered: RecentSet::new(ANSWERED_TIME, MAX_ANSWERED),
            released: ReleaseLog::default(),
            attributed: HashMap::new(),
            trials: HashMap::new(),
            has_silent_peers: false,
            rank: 0,
            unsent: ResendQueue::default(),
            requeued_at: PROCESS_START,
            requeue_offset: 0,
        }
    }

    /// Sets the rank of this gateway, which no other gateway should have.
    pub fn with_rank(mut self, rank: u64) -> Self {
        self.rank = rank;
        self
    }

    /// Records that a process ended before it had begun to answer a request with these parts.
    /// Returns the parts that this put into quarantine.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        parts: &[PromptPart],
        end: PartEnd,
    ) -> PromptParts {
        let now = ledger_time(now);
        let end = PartEnd {
            is_trial: end.is_trial || self.is_trial_request(now, parts, end.request),
            ..end
        };
        let added = self.add_end(now, parts, end);
        for part in &added {
            if let Some(record) = self.records.get_mut(part) {
                record.is_own = true;
            }
        }
        if !added.is_empty() {
            let update = WaitingPartUpdate::Ended(parts.into(), end.process);
            self.unsent.push(now, update);
        }
        self.quarantine_due(now, &added)
    }

    /// Sets the processes whose ends are attributed to whole requests in quarantine, see
    /// [`SuspectLedger::attributed_processes`](super::SuspectLedger::attributed_processes). A trial
    /// that shared its process with such a request says nothing about its parts.
    pub fn set_attributed(
        &mut self,
        processes: impl IntoIterator<Item = (ProcessTag, RequestFingerprint)>,
    ) {
        self.attributed.clear();
        self.attributed.extend(processes);
    }

    /// Sets whether peers that may be serving are silent. Each of them would try a part that nothing
    /// explains.
    pub fn set_has_silent_peers(&mut self, has_silent_peers: bool) {
        self.has_silent_peers = has_silent_peers;
    }

    /// Records that an engine has begun to answer a request with these parts. Returns the parts
    /// whose quarantine this ended.
    pub fn record_answered(&mut self, now: Timestamp, parts: &[PromptPart]) -> PromptParts {
        let now = ledger_time(now);
        let mut released = PromptParts::new();
        for part in parts {
            self.answered.insert(now, *part);
            if !self.records.contains_key(part) {
                continue;
            }
            if self.clear_ends(now, *part) {
                released.push(*part);
            }
            self.unsent.push(now, WaitingPartUpdate::Answered(*part));
        }
        released
    }

    /// Returns whether a request with these parts may be sent.
    pub fn verdict(&self, now: Timestamp, parts: &[PromptPart]) -> PartVerdict {
        let now = ledger_time(now);
        let known = parts.iter();
        let known = known.filter_map(|part| Some((*part, self.records.get(part)?)));
        let verdicts = known.map(|(part, record)| self.record_verdict(now, part, record, parts));
        verdicts.max().unwrap_or(PartVerdict::Clear)
    }

    /// Applies a peer's update. Returns the parts that it put into quarantine.
    pub fn apply_update(&mut self, now: Timestamp, update: PartUpdate) -> PromptParts {
        let now = ledger_time(now);
        match update {
            PartUpdate::Ended { parts, end } => {
                let added = self.add_end(now, &parts, end);
                for part in &parts {
                    if self.is_quarantined(now, *part) {
                        // The peer may have started since the quarantine.
                        self.unsent.push(now, WaitingPartUpdate::Quarantined(*part));
                    }
                }
                self.quarantine_due(now, &added)
            }
            PartUpdate::Answered { part, age } => {
                let at = now.saturating_sub(age);
                if self.answered.time(part).is_none_or(|known| known < at) {
                    self.answered.insert(at, part);
                }
                self.clear_ends(at, part);
                PromptParts::new()
            }
            PartUpdate::Trial {
                parts,
                request,
                rank,
                time_left,
            } => {
                let trial = TrialRecord {
                    request,
                    until: now + time_left,
                    rank,
                };
                for part in parts {
                    let known = self.trials.get(&part);
                    if known.is_none_or(|known| known.until <= now || rank <= known.rank) {
                        self.trials.insert(part, trial);
                    }
                }
                PromptParts::new()
            }
            PartUpdate::Quarantined(report) => self.apply_report(now, report),
        }
    }

    /// Returns the parts in quarantine.
    pub fn quarantines(&self, now: Timestamp) -> impl Iterator<Item = PromptPart> {
        let now = ledger_time(now);
        let records = self.records.iter();
        let quarantined = records.filter(move |(_, record)| record.quarantined_until > now);
        quarantined.map(|(part, _)| *part)
    }

    /// Returns the number of processes that ended under a part since it was last answered.
    pub fn end_count(&self, part: PromptPart) -> usize {
        self.records
            .get(&part)
            .map_or(0, |record| record.ends.len())
    }

    /// Returns the number of parts with evidence.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no evidence against any part.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the updates that are due to be sent to peers.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<PartUpdate> {
        let now = ledger_time(now);
        if now.saturating_sub(self.requeued_at) >= QUARANTINE_RESEND_INTERVAL {
            self.requeued_at = now;
            self.requeue_quarantines(now);
        }
        let due = self.unsent.take_due(now, MAX_PER_MESSAGE);
        let updates = due.into_iter();
        let updates = updates.filter_map(|update| self.with_ages(now, update));
        updates.collect()
    }

    /// Sends all quarantines again with the next messages, because a gateway has started.
    pub fn resend_quarantines(&mut self) {
        self.requeued_at = Duration::ZERO;
    }

    /// Returns the evidence of this gateway that has to outlive it, strongest first: parts in
    /// quarantine and those with two ends, or every part if `all` is set.
    pub fn reports(&self, now: Timestamp, all: bool) -> Vec<PartReport> {
        let now = ledger_time(now);
        let is_kept = |record: &PartRecord| {
            record.is_own && (all || record.ends.len() > 1 || record.quarantined_until > now)
        };
        let kept = self.records.iter().filter(|(_, record)| is_kept(record));
        let mut kept: Vec<_> = kept.collect();
        kept.sort_by_key(|(part, record)| {
            Reverse((record.quarantined_until, record.weight(), **part))
        });
        kept.truncate(MAX_REPORTS);
        let reports = kept.into_iter();
        let reports = reports.map(|(part, record)| record.report(now, *part));
        reports.collect()
    }

    /// Restores the reports that a gateway stored; `is_own` marks those of this gateway's former
    /// process. Returns the parts that this put into quarantine.
    pub fn restore(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = PartReport>,
        is_own: bool,
    ) -> PromptParts {
        let now = ledger_time(now);
        let mut quarantined = PromptParts::new();
        for report in reports {
            let part = report.part;
            quarantined.extend(self.apply_report(now, report));
            if let Some(record) = self.records.get_mut(&part) {
                record.is_own |= is_own;
            }
        }
        quarantined
    }

    /// Removes expired evidence.
    pub fn forget_old(&mut self, now: Timestamp) {
        let now = ledger_time(now);
        self.records.retain(|_, record| {
            let since = record.changed_at.max(record.quarantined_until);
            now.saturating_sub(since) <= EVIDENCE_TIME
        });
        self.trials.retain(|_, trial| trial.until > now);
    }

    fn record_verdict(
        &self,
        now: LedgerTime,
        part: PromptPart,
        record: &PartRecord,
        parts: &[PromptPart],
    ) -> PartVerdict {
        if !record.is_blamed() {
            return PartVerdict::Suspect;
        }
        let remaining = record.quarantined_until.saturating_sub(now);
        let is_doubtful = remaining.is_zero()
            || (record.failed_trials().count() < MAX_FAILED_TRIALS
                && self.may_be_sound(now, part, record, parts));
        match is_doubtful {
            true => PartVerdict::Doubtful,
            false => PartVerdict::Quarantined(remaining),
        }
    }

    fn is_quarantined(&self, now: LedgerTime, part: PromptPart) -> bool {
        let record = self.records.get(&part);
        record.is_some_and(|record| record.quarantined_until > now)
    }

    /// Adds an end to each part that was not answered since. Returns the parts to which it adds
    /// evidence.
    fn add_end(&mut self, now: LedgerTime, parts: &[PromptPart], end: PartEnd) -> PromptParts {
        let report = end;
        let end = EndRecord {
            process: end.process,
            request: end.request,
            evidence: end.evidence,
            ran_for: end.ran_for,
            ended_at: now.saturating_sub(end.age),
            is_trial: end.is_trial,
        };
        let mut added = PromptParts::new();
        for part in parts {
            if self.is_outdated(now, *part, &report) {
                continue;
            }
            if self
                .answered
                .time(*part)
                .is_some_and(|at| at >= end.ended_at)
            {
                // The peer does not know of the answer.
                self.unsent.push(now, WaitingPartUpdate::Answered(*part));
                continue;
            }
            self.make_room(*part);
            let record = self.records.entry(*part).or_default();
            if record.add_end(end) {
                record.changed_at = now;
                added.push(*part);
            }
        }
        added
    }

    /// Puts parts into quarantine for which there is enough evidence, and returns them.
    fn quarantine_due(&mut self, now: LedgerTime, parts: &[PromptPart]) -> PromptParts {
        let mut quarantined = PromptParts::new();
        for part in parts {
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            if record.quarantined_until > now || !record.is_sufficient() {
                continue;
            }
            let time = FIRST_QUARANTINE * 2_u32.saturating_pow(record.quarantines);
            record.quarantined_until = now + time.min(MAX_QUARANTINE);
            record.quarantines = (record.quarantines + 1).min(MAX_DOUBLINGS);
            quarantined.push(*part);
            self.unsent.push(now, WaitingPartUpdate::Quarantined(*part));
        }
        quarantined
    }

    /// Removes the ends of a part that are not later than an answer. Returns whether this ended a
    /// quarantine.
    fn clear_ends(&mut self, answered_at: LedgerTime, part: PromptPart) -> bool {
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let was_blamed = record.is_blamed();
        record.ends.retain(|end| end.ended_at > answered_at);
        if record.ends.is_empty() {
            self.records.remove(&part);
            self.trials.remove(&part);
            return was_blamed;
        }
        if !record.is_sufficient() {
            record.quarantined_until = Duration::ZERO;
            record.quarantines = 0;
        }
        was_blamed && !record.is_blamed()
    }

    /// Applies a peer's evidence against a part. Returns the part if this put it into quarantine.
    fn apply_report(&mut self, now: LedgerTime, report: PartReport) -> PromptParts {
        let part = report.part;
        let was_quarantined = self.is_quarantined(now, part);
        for end in report.ends {
            self.add_end(now, &[part], end);
        }
        if let Some(record) = self.records.get_mut(&part) {
            let time = report.quarantined_for.min(MAX_QUARANTINE);
            // Some of the ends may precede an answer that the peer does not know of.
            if !time.is_zero() && record.is_sufficient() {
                record.quarantines = record.quarantines.max(1);
                record.quarantined_until = record.quarantined_until.max(now + time);
            }
        }
        self.quarantine_due(now, &[part]);
        match !was_quarantined && self.is_quarantined(now, part) {
            true => PromptParts::from_slice(&[part]),
            false => PromptParts::new(),
        }
    }

    fn with_ages(&self, now: LedgerTime, update: WaitingPartUpdate) -> Option<PartUpdate> {
        match update {
            WaitingPartUpdate::Ended(parts, process) => {
                // An answer may have cleared some of the parts since.
                let known = |part: &PromptPart| self.records.get(part)?.end_of(process);
                let end = parts.iter().find_map(known)?.with_age(now);
                let parts = parts.into_iter().filter(|part| known(part).is_some());
                Some(PartUpdate::Ended {
                    parts: parts.collect(),
                    end,
                })
            }
            WaitingPartUpdate::Answered(part) => {
                let age = now.saturating_sub(self.answered.time(part)?);
                Some(PartUpdate::Answered { part, age })
            }
            WaitingPartUpdate::Trial(parts) => {
                let trials = parts.iter().filter_map(|part| self.trials.get(part));
                let trial = trials.into_iter().find(|trial| trial.rank == self.rank)?;
                Some(PartUpdate::Trial {
                    request: trial.request,
                    rank: trial.rank,
                    time_left: trial.until.saturating_sub(now),
                    parts,
                })
            }
            WaitingPartUpdate::Quarantined(part) => {
                let record = self.records.get(&part)?;
                let mut report = record.report(now, part);
                let surplus = report.ends.len().saturating_sub(MAX_ENDS_SENT);
                report.ends.drain(..surplus);
                Some(PartUpdate::Quarantined(report))
            }
        }
    }

    fn requeue_quarantines(&mut self, now: LedgerTime) {
        let records = self.records.iter();
        let quarantined = records.filter(|(_, record)| record.quarantined_until > now);
        let mut parts: Vec<PromptPart> = quarantined.map(|(part, _)| *part).collect();
        if parts.is_empty() {
            return;
        }
        parts.sort_unstable();
        let offset = self.requeue_offset % parts.len();
        parts.rotate_left(offset);
        for part in parts.into_iter().take(MAX_QUARANTINES_RESENT) {
            let update = WaitingPartUpdate::Quarantined(part);
            self.unsent.push_once(now, update);
        }
        self.requeue_offset = offset + MAX_QUARANTINES_RESENT;
    }

    /// Makes room for another part by removing the one with the least evidence, and the oldest
    /// among equals.
    fn make_room(&mut self, part: PromptPart) {
        if self.records.len() < MAX_PARTS || self.records.contains_key(&part) {
            return;
        }
        let weakest = self.records.iter().min_by_key(|(_, record)| {
            (record.quarantined_until, record.weight(), record.changed_at)
        });
        if let Some(weakest) = weakest.map(|(part, _)| *part) {
            self.records.remove(&weakest);
        }
    }
}
