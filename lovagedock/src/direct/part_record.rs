//! Evidence against one part of prompts.

use std::time::Duration;

use smallvec::SmallVec;

use super::{
    part_update::{PartEnd, PartReport, PromptPart},
    refusals::RequestFingerprint,
    suspect_update::{EndEvidence, ProcessTag, STRONG_WEIGHT},
};
use crate::ids::Timestamp;

/// Total weight of evidence for a quarantine: three processes that certainly ended, each under a
/// request that was sent after the one before had ended.
const QUARANTINE_WEIGHT: u32 = 3 * STRONG_WEIGHT;

/// Maximum number of remembered ends of a part; the latest are kept.
const MAX_ENDS: usize = 16;

/// Time of a ledger when the clock of its process was at zero. Evidence may be older than the
/// process.
pub(super) const PROCESS_START: LedgerTime = Duration::from_secs(24 * 3600);

/// Like [`Timestamp`], but with a range before the start of the process.
pub(super) type LedgerTime = Duration;

/// A process that ended under a request with the part.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndRecord {
    pub(super) process: ProcessTag,
    pub(super) request: RequestFingerprint,
    pub(super) evidence: EndEvidence,
    pub(super) ran_for: Duration,
    pub(super) ended_at: LedgerTime,
    /// Whether a trial was running on the process.
    pub(super) is_trial: bool,
}

/// What is held against one part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartRecord {
    /// Ends since the part was last answered, in the order of their times.
    pub(super) ends: SmallVec<[EndRecord; 3]>,
    pub(super) changed_at: LedgerTime,
    /// End of the latest quarantine; zero if the ends do not suffice for one.
    pub(super) quarantined_until: LedgerTime,
    pub(super) quarantines: u32,
    /// Whether this gateway has evidence of its own, possibly from its former process.
    pub(super) is_own: bool,
}

impl PartRecord {
    /// Adds an end. Returns `false` if it adds no evidence.
    pub(super) fn add_end(&mut self, end: EndRecord) -> bool {
        if let Some(known) = self
            .ends
            .iter_mut()
            .find(|known| known.process == end.process)
        {
            // A trial may have been sent to a process that had ended before.
            let is_trial = end.is_trial && end.sent_at() <= known.ended_at;
            let is_new = known.evidence < end.evidence || (is_trial && !known.is_trial);
            known.evidence = known.evidence.max(end.evidence);
            if is_trial {
                (known.is_trial, known.request) = (true, end.request);
            }
            // Of several requests that shared the process, the one sent last says most.
            known.ran_for = known.ran_for.min(end.ran_for);
            return is_new;
        }
        let position = self
            .ends
            .partition_point(|known| known.ended_at <= end.ended_at);
        self.ends.insert(position, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Returns the trials during which a process ended.
    pub(super) fn failed_trials(&self) -> impl Iterator<Item = &EndRecord> {
        self.ends.iter().filter(|end| end.is_trial)
    }

    /// Returns when the latest process ended.
    pub(super) fn latest_end_at(&self) -> LedgerTime {
        self.ends.last().map_or(Duration::ZERO, |end| end.ended_at)
    }

    /// Returns the weight of the ends. Those whose requests were sent before the first of them
    /// count as one.
    pub(super) fn weight(&self) -> u32 {
        let mut total = 0;
        let mut latest: Option<(LedgerTime, u32)> = None;
        for end in &self.ends {
            let weight = end.evidence.weight();
            latest = match latest {
                Some((first_at, heaviest)) if end.sent_at() < first_at => {
                    Some((first_at, heaviest.max(weight)))
                }
                before => {
                    total += before.map_or(0, |(_, heaviest)| heaviest);
                    Some((end.ended_at, weight))
                }
            };
        }
        total + latest.map_or(0, |(_, heaviest)| heaviest)
    }

    /// Returns whether the ends suffice for a quarantine. If all of them are of one request, its
    /// other content may be the cause, see [`SuspectLedger`](super::SuspectLedger).
    pub(super) fn is_sufficient(&self) -> bool {
        let first = self.ends.first().map(|end| end.request);
        let is_shared = self.ends.iter().any(|end| Some(end.request) != first);
        is_shared && self.weight() >= QUARANTINE_WEIGHT
    }

    /// Returns whether the ends sufficed for a quarantine, which may have ended.
    pub(super) fn is_blamed(&self) -> bool {
        !self.quarantined_until.is_zero()
    }

    pub(super) fn end_of(&self, process: ProcessTag) -> Option<EndRecord> {
        let mut ends = self.ends.iter().copied();
        ends.find(|end| end.process == process)
    }

    pub(super) fn report(&self, now: LedgerTime, part: PromptPart) -> PartReport {
        PartReport {
            part,
            ends: self.ends.iter().map(|end| end.with_age(now)).collect(),
            quarantined_for: self.quarantined_until.saturating_sub(now),
        }
    }
}

impl EndRecord {
    pub(super) fn sent_at(&self) -> LedgerTime {
        self.ended_at.saturating_sub(self.ran_for)
    }

    pub(super) fn with_age(&self, now: LedgerTime) -> PartEnd {
        PartEnd {
            process: self.process,
            request: self.request,
            evidence: self.evidence,
            ran_for: self.ran_for,
            age: now.saturating_sub(self.ended_at),
            is_trial: self.is_trial,
        }
    }
}

pub(super) fn ledger_time(now: Timestamp) -> LedgerTime {
    now + PROCESS_START
}
