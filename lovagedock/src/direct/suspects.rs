//! Detection of requests that end the engine processes that run them.

mod releases;

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use smallvec::SmallVec;

use super::{
    recent::RecentSet,
    refusals::RequestFingerprint,
    release_log::ReleaseLog,
    suspect_update::{ProcessEnd, ProcessTag, STRONG_WEIGHT, SuspectReport, SuspectUpdate},
};
use crate::ids::Timestamp;

/// Total weight of evidence for a quarantine: three processes that ended soon after they started to
/// run the request. In the logs of a series of ends, 47 of the 155 requests that shared engines
/// with the causing request had two ends, and none had three.
const QUARANTINE_WEIGHT: u32 = 3 * STRONG_WEIGHT;

/// Duration of the first quarantine. The caller's own retries have ended by then. Each further
/// quarantine lasts twice as long, up to the maximum, so that a request that still ends engines
/// costs one engine at a time.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
const MAX_QUARANTINE: Duration = Duration::from_secs(4 * 3600);

/// Time for which the evidence against a request is kept after the latest reported end of a
/// process, or after the request's quarantine if that ends later.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);

/// Time for which a request that was served is not suspected.
const SERVED_TIME: Duration = Duration::from_secs(60);

/// Maximum number of requests with evidence, about 100 bytes each. The loss of a failure domain
/// with a third of 170 engines with 16 requests each leaves 900.
const MAX_SUSPECTS: usize = 2048;

/// Maximum number of remembered served requests; a gateway serves 50 per second.
const MAX_SERVED: usize = 4096;

/// Maximum number of requests that a gateway reports to the store; a value in the store can hold
/// far more.
const MAX_REPORTS: usize = 256;

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    ends: SmallVec<[ProcessEnd; 3]>,
    changed_at: Timestamp,
    quarantined_until: Timestamp,
    quarantines: u32,
    /// Whether this gateway has evidence of its own, possibly from its former process.
    is_own: bool,
}

/// Requests during which processes ended, at this gateway and at its peers.
///
/// A caller may send a request that ends every engine that runs it, repeatedly and to any gateway.
/// Each single attempt looks like an engine failure and is retried on the next engine. In one case,
/// 160 engines ended in 70 s, and all other requests on them were cut. So ends are counted over all
/// attempts and gateways, and after three of them the request is no longer sent.
///
/// Requests that only shared an engine with it are protected in three ways. A request that is
/// served is not suspected. A request that had streamed for a while gets less weight. Once a
/// request is in quarantine, the ends attributed to it no longer count against other requests. In
/// 100 simulated series of ends on 21 engines in which such requests are placed together
/// (`direct_suspects`), 8 other requests are quarantined; 29 without the weight of streaming, and
/// 23 without the attribution of ends. If suspect requests are isolated by [`isolate_suspects`],
/// none is.
///
/// [`isolate_suspects`]: super::isolate_suspects
#[derive(Clone, Debug)]
pub struct SuspectLedger {
    suspects: HashMap<RequestFingerprint, SuspectRecord>,
    served: RecentSet,
    released: ReleaseLog,
    unsent: Vec<SuspectUpdate>,
}

impl Default for SuspectLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl SuspectLedger {
    /// Creates a ledger without suspects.
    pub fn new() -> Self {
        Self {
            suspects: HashMap::new(),
            served: RecentSet::new(SERVED_TIME, MAX_SERVED),
            released: ReleaseLog::default(),
            unsent: Vec::new(),
        }
    }

    /// Records that a process ended while it ran a request. Returns whether this put the request
    /// into quarantine.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        end: ProcessEnd,
    ) -> bool {
        if self.served.contains(now, fingerprint) || !self.add_end(now, fingerprint, end) {
            return false;
        }
        self.unsent.push(SuspectUpdate::Ended(fingerprint, end));
        if let Some(record) = self.suspects.get_mut(&fingerprint) {
            record.is_own = true;
        }
        self.quarantine_if_due(now, fingerprint)
    }

    /// Records that a request was served completely.
    pub fn record_served(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.served.insert(now, fingerprint);
        if self.suspects.remove(&fingerprint).is_some() {
            self.unsent.push(SuspectUpdate::Served(fingerprint));
        }
    }

    /// Applies a peer's update. Returns whether it put a request into quarantine.
    pub fn apply_update(&mut self, now: Timestamp, update: SuspectUpdate) -> bool {
        if self.is_outdated(now, &update) {
            return false;
        }
        let fingerprint = update.fingerprint();
        if let SuspectUpdate::Served(_) = update {
            self.served.insert(now, fingerprint);
            self.suspects.remove(&fingerprint);
            return false;
        }
        if self.served.contains(now, fingerprint) {
            // The peer does not know that the request was served.
            self.unsent.push(SuspectUpdate::Served(fingerprint));
            return false;
        }
        match update {
            SuspectUpdate::Served(_) => false,
            SuspectUpdate::Ended(_, end) => {
                self.add_end(now, fingerprint, end) && self.quarantine_if_due(now, fingerprint)
            }
            SuspectUpdate::Quarantined(_, time) => {
                if self.quarantined_for(now, fingerprint).is_some() {
                    return false;
                }
                self.quarantine(now, fingerprint, time.min(MAX_QUARANTINE));
                true
            }
        }
    }

    /// Returns the remaining time for which a request must not be sent to engines, or `None` if it
    /// may be sent.
    pub fn quarantined_for(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let until = self.suspects.get(&fingerprint)?.quarantined_until;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether processes ended during a request that was not served since.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Returns the number of processes that ended during a request.
    pub fn end_count(&self, fingerprint: RequestFingerprint) -> usize {
        let record = self.suspects.get(&fingerprint);
        record.map_or(0, |record| record.ends.len())
    }

    /// Returns the number of requests during which processes ended.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the requests in quarantine with their remaining time.
    pub fn quarantines(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (RequestFingerprint, Duration)> {
        self.suspects
            .iter()
            .filter_map(move |(fingerprint, record)| {
                let left = record.quarantined_until.saturating_sub(now);
                (!left.is_zero()).then_some((*fingerprint, left))
            })
    }

    /// Returns the processes whose ends are attributed to requests in quarantine, with the request.
    pub fn attributed_processes(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (ProcessTag, RequestFingerprint)> {
        let records = self.suspects.iter();
        let quarantined = records.filter(move |(_, record)| record.quarantined_until > now);
        quarantined.flat_map(|(fingerprint, record)| {
            let ends = record.ends.iter();
            ends.map(|end| (end.process, *fingerprint))
        })
    }

    /// Returns the updates of this gateway that have not been sent to peers, and marks them as
    /// sent.
    pub fn take_unsent(&mut self) -> Vec<SuspectUpdate> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the evidence of this gateway that has to outlive it, strongest first: requests in
    /// quarantine and requests with two ends, or every request if `all` is set.
    pub fn reports(&self, now: Timestamp, all: bool) -> Vec<SuspectReport> {
        let is_kept = |record: &SuspectRecord| {
            record.is_own && (all || record.ends.len() > 1 || record.quarantined_until > now)
        };
        let kept = self.suspects.iter().filter(|(_, record)| is_kept(record));
        let mut kept: Vec<_> = kept.collect();
        kept.sort_by_key(|(fingerprint, record)| {
            Reverse((record.quarantined_until, record.weight(), **fingerprint))
        });
        kept.truncate(MAX_REPORTS);
        let reports = kept.into_iter().map(|(fingerprint, record)| SuspectReport {
            fingerprint: *fingerprint,
            ends: record.ends.to_vec(),
            quarantined_for: record.quarantined_until.saturating_sub(now),
        });
        reports.collect()
    }

    /// Restores the reports that a gateway stored; `is_own` marks those of this gateway's former
    /// process. Returns the number of requests that this put into quarantine.
    pub fn restore(
        &mut self,
        now: Timestamp,
        reports: impl IntoIterator<Item = SuspectReport>,
        is_own: bool,
    ) -> usize {
        let mut quarantined = 0;
        for report in reports {
            let fingerprint = report.fingerprint;
            let mut is_new = false;
            for end in report.ends {
                is_new |= self.apply_update(now, SuspectUpdate::Ended(fingerprint, end));
            }
            if !report.quarantined_for.is_zero() {
                let update = SuspectUpdate::Quarantined(fingerprint, report.quarantined_for);
                is_new |= self.apply_update(now, update);
            }
            if let Some(record) = self.suspects.get_mut(&fingerprint) {
                record.is_own |= is_own;
            }
            quarantined += usize::from(is_new);
        }
        quarantined
    }

    /// Removes expired evidence.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.suspects.retain(|_, record| {
            let since = record.changed_at.max(record.quarantined_until);
            now.saturating_sub(since) <= EVIDENCE_TIME
        });
    }

    /// Adds an end. Returns `false` if it adds no evidence.
    fn add_end(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        end: ProcessEnd,
    ) -> bool {
        let is_released = self.released.ignores_process(now, fingerprint, end.process);
        if is_released || self.is_attributed_to_quarantine(now, fingerprint, end.process) {
            return false;
        }
        self.make_room(fingerprint);
        let record = self.suspects.entry(fingerprint).or_default();
        record.changed_at = now;
        let known = record.ends.iter_mut();
        match known.into_iter().find(|known| known.process == end.process) {
            Some(known) if known.evidence >= end.evidence => false,
            Some(known) => {
                known.evidence = end.evidence;
                true
            }
            None => {
                if record.ends.len() == MAX_ENDS {
                    record.ends.remove(0);
                }
                record.ends.push(end);
                true
            }
        }
    }

    /// Returns whether the end of a process is attributed to another request that is in quarantine.
    fn is_attributed_to_quarantine(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        process: ProcessTag,
    ) -> bool {
        let mut others = self
            .suspects
            .iter()
            .filter(|(other, record)| **other != fingerprint && record.quarantined_until > now);
        others.any(|(_, record)| record.has_end_of(process))
    }

    /// Puts a request into quarantine if there is enough evidence. Returns whether it did.
    fn quarantine_if_due(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let Some(record) = self.suspects.get(&fingerprint) else {
            return false;
        };
        if record.weight() < QUARANTINE_WEIGHT || record.quarantined_until > now {
            return false;
        }
        let time = FIRST_QUARANTINE * 2_u32.saturating_pow(record.quarantines);
        let time = time.min(MAX_QUARANTINE);
        self.quarantine(now, fingerprint, time);
        self.unsent
            .push(SuspectUpdate::Quarantined(fingerprint, time));
        true
    }

    fn quarantine(&mut self, now: Timestamp, fingerprint: RequestFingerprint, time: Duration) {
        self.make_room(fingerprint);
        let record = self.suspects.entry(fingerprint).or_default();
        if record.quarantined_until <= now {
            record.quarantines = (record.quarantines + 1).min(MAX_DOUBLINGS);
        }
        record.quarantined_until = record.quarantined_until.max(now + time);
        let attributed: HashSet<ProcessTag> = record.ends.iter().map(|end| end.process).collect();
        self.suspects.retain(|other, record| {
            if *other == fingerprint || record.quarantined_until > now {
                return true;
            }
            record.ends.retain(|end| !attributed.contains(&end.process));
            !record.ends.is_empty()
        });
    }

    /// Makes room for another request by removing the one with the least evidence, and the oldest
    /// among equals.
    fn make_room(&mut self, fingerprint: RequestFingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(_, record)| {
            (record.quarantined_until, record.weight(), record.changed_at)
        });
        if let Some(weakest) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&weakest);
        }
    }
}

/// Maximum number of remembered ends per request; the latest are kept. More of them add no
/// information.
const MAX_ENDS: usize = 16;

/// Number of doublings after which a quarantine has its maximum duration.
const MAX_DOUBLINGS: u32 = 5;

impl SuspectRecord {
    fn weight(&self) -> u32 {
        self.ends.iter().map(|end| end.evidence.weight()).sum()
    }

    fn has_end_of(&self, process: ProcessTag) -> bool {
        self.ends.iter().any(|end| end.process == process)
    }
}
