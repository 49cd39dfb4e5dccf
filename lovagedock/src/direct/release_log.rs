//! Quarantines that operators ended, and their messages to peers.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{
    quarantine_release::QuarantineRelease, resend_queue::ResendQueue, suspect_update::ProcessTag,
};
use crate::ids::Timestamp;

/// Time for which older evidence that arrives after a release is ignored. It exceeds the interval at
/// which gateways send their quarantines again, so a peer that missed the release is heard, and
/// notified, in this time.
const IGNORE_TIME: Duration = Duration::from_secs(10);

/// Time for which the gateway that received the operator's call notifies peers that still send the
/// evidence. It ends before [`IGNORE_TIME`] does at a peer that was notified at once; later, that
/// peer would take the message for a new release and drop new evidence.
const REPEAT_TIME: Duration = Duration::from_secs(9);

/// Time for which releases are remembered, to ignore older copies of the evidence in the store: the
/// longest quarantine.
const RETENTION: Duration = Duration::from_secs(4 * 3600);

/// Maximum number of remembered releases.
const MAX_RELEASES: usize = 256;

/// Maximum number of releases in one message, at most 11 bytes each.
const MAX_PER_MESSAGE: usize = 16;

/// A request or a part of prompts.
type TargetId = u64;

#[derive(Clone, Debug)]
struct ReleaseRecord {
    released_at: Timestamp,
    /// Processes that were held against the target.
    processes: SmallVec<[ProcessTag; 4]>,
}

/// Releases that were applied to a ledger, by target.
#[derive(Clone, Debug, Default)]
pub(super) struct ReleaseLog {
    records: HashMap<TargetId, ReleaseRecord>,
}

impl ReleaseLog {
    /// Records a release, with the processes that were held against the target.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        target: TargetId,
        processes: impl IntoIterator<Item = ProcessTag>,
    ) {
        self.records
            .retain(|_, record| now.saturating_sub(record.released_at) <= RETENTION);
        let oldest = self.records.iter();
        let oldest = oldest.min_by_key(|(_, record)| record.released_at);
        let oldest = oldest.map(|(target, _)| *target);
        if let Some(oldest) = oldest.filter(|_| self.records.len() >= MAX_RELEASES) {
            self.records.remove(&oldest);
        }
        let record = ReleaseRecord {
            released_at: now,
            processes: processes.into_iter().collect(),
        };
        self.records.insert(target, record);
    }

    /// Returns when a target was released if older evidence is still ignored.
    pub(super) fn recent_time(&self, now: Timestamp, target: TargetId) -> Option<Timestamp> {
        let released_at = self.records.get(&target)?.released_at;
        (now.saturating_sub(released_at) < IGNORE_TIME).then_some(released_at)
    }

    /// Returns whether the end of a process was held against a target when it was released.
    pub(super) fn ignores_process(
        &self,
        now: Timestamp,
        target: TargetId,
        process: ProcessTag,
    ) -> bool {
        let is_recent = self.recent_time(now, target).is_some();
        let record = self.records.get(&target);
        is_recent && record.is_some_and(|record| record.processes.contains(&process))
    }

    /// Returns whether a target was released within the last `age`, that is, after evidence of this
    /// age was written.
    pub(super) fn is_released_within(
        &self,
        now: Timestamp,
        target: TargetId,
        age: Duration,
    ) -> bool {
        let record = self.records.get(&target);
        record.is_some_and(|record| now.saturating_sub(record.released_at) <= age)
    }
}

/// Releases that this gateway received from operators, to be sent to peers.
#[derive(Clone, Debug, Default)]
pub struct ReleaseNotices {
    waiting: ResendQueue<QuarantineRelease>,
    released_at: HashMap<QuarantineRelease, Timestamp>,
}

impl ReleaseNotices {
    /// Creates a state without releases.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an operator's release, which is sent three times. A second release of the same
    /// target within 10 s counts as a repetition.
    pub fn record(&mut self, now: Timestamp, release: QuarantineRelease) {
        self.released_at
            .retain(|_, at| now.saturating_sub(*at) < IGNORE_TIME);
        self.released_at.entry(release).or_insert(now);
        self.waiting.push(now, release);
    }

    /// Records that a peer has sent evidence that a release dropped. The release is sent again if
    /// this gateway received it from an operator, within 9 s.
    pub fn record_contradiction(&mut self, now: Timestamp, release: QuarantineRelease) {
        let released_at = self.released_at.get(&release);
        if released_at.is_some_and(|at| now.saturating_sub(*at) < REPEAT_TIME) {
            self.waiting.push(now, release);
        }
    }

    /// Returns the releases that are due to be sent to peers.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<QuarantineRelease> {
        self.waiting.take_due(now, MAX_PER_MESSAGE)
    }
}
