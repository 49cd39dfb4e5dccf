//! Trials: requests that are sent to find out whether their parts end engines.

use std::{collections::HashSet, time::Duration};

use super::{PartLedger, PartVerdict, TrialRecord, WaitingPartUpdate};
use crate::{
    direct::{
        part_record::{LedgerTime, PartRecord, ledger_time},
        part_update::{PromptPart, PromptParts},
        refusals::RequestFingerprint,
        suspect_update::{EndEvidence, ProcessTag},
    },
    ids::Timestamp,
};

/// Delay of a trial, and factor for each further part under which processes ended.
const TRIAL_DELAY: Duration = Duration::from_secs(1);
const TRIAL_DELAY_FACTOR: u32 = 4;

impl PartLedger {
    /// Starts a trial of a doubtful request, which is decided within `time`. Returns `false` if
    /// another trial has to be decided before.
    ///
    /// A peer may start one at the same moment. Before the request is sent, messages of peers have
    /// to be awaited and [`holds_trial`](Self::holds_trial) to be checked.
    pub fn try_start_trial(
        &mut self,
        now: Timestamp,
        request: RequestFingerprint,
        parts: &[PromptPart],
        time: Duration,
    ) -> bool {
        let now = ledger_time(now);
        let doubtful = self.doubtful_parts(now, parts);
        if doubtful.iter().any(|part| self.is_on_trial(now, *part)) {
            return false;
        }
        self.trials.retain(|_, trial| trial.until > now);
        let trial = TrialRecord {
            request,
            until: now + time,
            rank: self.rank,
        };
        for part in &doubtful {
            self.trials.insert(*part, trial);
        }
        self.unsent.push(now, WaitingPartUpdate::Trial(doubtful));
        true
    }

    /// Returns whether the trial of a request is still this gateway's, for all its doubtful parts.
    pub fn holds_trial(&self, now: Timestamp, parts: &[PromptPart]) -> bool {
        let now = ledger_time(now);
        let doubtful = self.doubtful_parts(now, parts);
        let mut trials = doubtful.iter().map(|part| self.trials.get(part));
        trials.all(|trial| trial.is_some_and(|trial| trial.rank == self.rank))
    }

    /// Returns whether a doubtful request has to wait until another trial is decided.
    pub fn awaits_trial(&self, now: Timestamp, parts: &[PromptPart]) -> bool {
        let now = ledger_time(now);
        let doubtful = self.doubtful_parts(now, parts);
        doubtful.iter().any(|part| self.is_on_trial(now, *part))
    }

    /// Returns whether a part of a request may be sound although it is in quarantine.
    ///
    /// All its ends may have been caused by other parts in quarantine, which the request does not
    /// have. Or some may have another cause, which no part explains; this is found out by one
    /// failed trial at most. If the part was answered shortly before, a failed trial may also have
    /// been caused by a part that does not have enough ends for a quarantine: of two parts that end
    /// engines at the same time, one may be known later than the part that all requests share.
    pub(super) fn may_be_sound(
        &self,
        now: LedgerTime,
        part: PromptPart,
        record: &PartRecord,
        parts: &[PromptPart],
    ) -> bool {
        let explained = self.explained_processes(parts, PartRecord::is_blamed);
        let mut ends = record.ends.iter();
        let is_explained = ends.all(|end| explained.contains(&end.process));
        if now < record.latest_end_at() + self.trial_delay(parts, is_explained) {
            return false;
        }
        if is_explained {
            return true;
        }
        // A further quarantine follows a failed trial.
        if record.quarantines > 1 || self.has_silent_peers {
            return false;
        }
        let was_sound = self.answered.contains(now, part);
        let explained = match was_sound {
            true => self.explained_processes(parts, |_| true),
            false => explained,
        };
        // A process that may only be unreachable has not shown anything.
        let failed = record.failed_trials();
        let mut failed = failed.filter(|trial| trial.evidence == EndEvidence::Strong);
        failed.all(|trial| {
            let other = self.attributed.get(&trial.process);
            explained.contains(&trial.process) || other.is_some_and(|other| *other != trial.request)
        })
    }

    /// Returns the time from the latest end under a part of a request until the request may be sent
    /// as a trial.
    ///
    /// A request with fewer parts under which processes ended is more likely to be sound and goes
    /// first: the parts that several requests share have few trials.
    fn trial_delay(&self, parts: &[PromptPart], is_explained: bool) -> Duration {
        let known = parts.iter();
        let known = known.filter(|part| self.records.contains_key(part));
        let known = known.count() as u32;
        match known.saturating_sub(u32::from(is_explained)) {
            0 => Duration::ZERO,
            unexplained => {
                let factor = TRIAL_DELAY_FACTOR.saturating_pow(unexplained - 1);
                TRIAL_DELAY.saturating_mul(factor)
            }
        }
    }

    /// Returns the processes that ended under other parts than those of a request.
    fn explained_processes(
        &self,
        parts: &[PromptPart],
        may_explain: impl Fn(&PartRecord) -> bool,
    ) -> HashSet<ProcessTag> {
        let others = self.records.iter();
        let others = others.filter(|(other, record)| may_explain(record) && !parts.contains(other));
        let ends = others.flat_map(|(_, other)| &other.ends);
        ends.map(|end| end.process).collect()
    }

    fn doubtful_parts(&self, now: LedgerTime, parts: &[PromptPart]) -> PromptParts {
        let known = parts.iter().filter(|part| {
            let record = self.records.get(part);
            record.is_some_and(|record| {
                self.record_verdict(now, **part, record, parts) == PartVerdict::Doubtful
            })
        });
        known.copied().collect()
    }

    fn is_on_trial(&self, now: LedgerTime, part: PromptPart) -> bool {
        let trial = self.trials.get(&part);
        trial.is_some_and(|trial| trial.until > now)
    }

    /// Returns whether a request was sent as the trial of one of its parts.
    pub(super) fn is_trial_request(
        &self,
        now: LedgerTime,
        parts: &[PromptPart],
        request: RequestFingerprint,
    ) -> bool {
        let mut trials = parts.iter().filter_map(|part| self.trials.get(part));
        trials.any(|trial| trial.until > now && trial.request == request)
    }
}
