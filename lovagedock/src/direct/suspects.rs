//! Finds requests that end the processes of the engines that run them.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    time::Duration,
};

use smallvec::SmallVec;

use super::{
    recent::RecentSet,
    refusals::RequestFingerprint,
    suspect_update::{ProcessEnd, ProcessTag, STRONG_WEIGHT, SuspectReport, SuspectUpdate},
};
use crate::ids::Timestamp;

/// What is held against a request, in the weights of its evidence, when it is put into quarantine:
/// three processes that ended soon after they began to run it. In the logs of a wave 47 of the 155
/// requests that shared engines with the one at fault had two ends, and none had three.
const QUARANTINE_WEIGHT: u32 = 3 * STRONG_WEIGHT;

/// Time of a first quarantine. A caller's own retries have ended by then; each further quarantine
/// lasts twice as long, up to the longest, so that a request that still ends engines costs one at a time.
const FIRST_QUARANTINE: Duration = Duration::from_secs(600);
const LONGEST_QUARANTINE: Duration = Duration::from_secs(4 * 3600);

/// Time for which evidence is remembered after the last of it.
const EVIDENCE_TIME: Duration = Duration::from_secs(600);

/// Time for which a request that was served counts as sound.
const SERVED_TIME: Duration = Duration::from_secs(60);

/// Requests with evidence that are remembered at most, about 100 bytes each. A failure domain of a
/// third of 170 engines with 16 requests each leaves 900.
const MAX_SUSPECTS: usize = 2048;

/// Requests that were served and are remembered at most; a gateway serves 50 a second.
const MAX_SERVED: usize = 4096;

/// Requests that a gateway keeps outside of itself at most; a value of the store holds far more.
const MAX_REPORTS: usize = 256;

#[derive(Clone, Debug, Default)]
struct SuspectRecord {
    ends: SmallVec<[ProcessEnd; 3]>,
    changed_at: Timestamp,
    quarantined_until: Timestamp,
    quarantines: u32,
    /// Whether this gateway has evidence of its own, or had in its former life.
    is_own: bool,
}

/// Requests under which processes ended, at this gateway and at its peers.
///
/// The load that it answers: a caller brings a request that ends every engine that runs it, again and
/// again, to any gateway. Each attempt alone looks like an engine's failure and is sent to the next
/// engine; 160 ended in 70 s, and all who shared them were cut off. So ends are counted over all
/// attempts and gateways, and after three of them the request is no longer sent.
///
/// Those who shared an engine with it are spared in three ways: who is served is sound, who had streamed
/// for a while has less held against it, and once a request is in quarantine, the ends that it accounts
/// for are no longer held against anybody else. In 100 replayed waves on 21 engines that place such
/// requests together (`direct_suspects`), 8 others are put into quarantine; 29 without the weight of
/// streaming, 23 without the accounting. Kept apart by [`isolate_suspects`], none is.
///
/// [`isolate_suspects`]: super::isolate_suspects
#[derive(Clone, Debug)]
pub struct SuspectLedger {
    suspects: HashMap<RequestFingerprint, SuspectRecord>,
    served: RecentSet,
    unsent: Vec<SuspectUpdate>,
}

impl Default for SuspectLedger {
    fn default() -> Self {
        Self::new()
    }
}

impl SuspectLedger {
    /// A ledger that suspects nobody.
    pub fn new() -> Self {
        Self {
            suspects: HashMap::new(),
            served: RecentSet::new(SERVED_TIME, MAX_SERVED),
            unsent: Vec::new(),
        }
    }

    /// Records that a process ended while it had a request; tells whether the request is now in
    /// quarantine and was not before.
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

    /// Records that a request was served whole.
    pub fn record_served(&mut self, now: Timestamp, fingerprint: RequestFingerprint) {
        self.served.insert(now, fingerprint);
        if self.suspects.remove(&fingerprint).is_some() {
            self.unsent.push(SuspectUpdate::Served(fingerprint));
        }
    }

    /// Takes in what a peer tells; tells whether a request is now in quarantine and was not before.
    pub fn apply_update(&mut self, now: Timestamp, update: SuspectUpdate) -> bool {
        let fingerprint = update.fingerprint();
        if let SuspectUpdate::Served(_) = update {
            self.served.insert(now, fingerprint);
            self.suspects.remove(&fingerprint);
            return false;
        }
        if self.served.contains(now, fingerprint) {
            // The peer has not seen that it is sound.
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
                self.quarantine(now, fingerprint, time.min(LONGEST_QUARANTINE));
                true
            }
        }
    }

    /// How much longer a request is not to be sent to engines; `None` if it may be.
    pub fn quarantined_for(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let until = self.suspects.get(&fingerprint)?.quarantined_until;
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Whether processes ended under a request that was not served since.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.contains_key(&fingerprint)
    }

    /// Processes that ended under a request.
    pub fn ends(&self, fingerprint: RequestFingerprint) -> usize {
        let record = self.suspects.get(&fingerprint);
        record.map_or(0, |record| record.ends.len())
    }

    /// Requests under which processes ended.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests in quarantine, and for how much longer.
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

    /// News of this gateway that peers have not been told.
    pub fn take_unsent(&mut self) -> Vec<SuspectUpdate> {
        std::mem::take(&mut self.unsent)
    }

    /// What this gateway has seen and what has to outlive it: requests in quarantine and those under
    /// which two processes ended, and with `all` every one; those with most against them first.
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

    /// Takes in what a gateway kept, this one in its former life if `is_own`; returns how many
    /// requests are in quarantine by that.
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

    /// Forgets what is no longer of use.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.suspects.retain(|_, record| {
            let since = record.changed_at.max(record.quarantined_until);
            now.saturating_sub(since) <= EVIDENCE_TIME
        });
    }

    /// Adds an end; `false` if it says nothing new.
    fn add_end(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        end: ProcessEnd,
    ) -> bool {
        if self.is_attributed_to_quarantine(now, fingerprint, end.process) {
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

    /// Whether a request in quarantine accounts for the end of a process.
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
        others.any(|(_, record)| record.has(process))
    }

    /// Puts a request into quarantine if enough is held against it.
    fn quarantine_if_due(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let Some(record) = self.suspects.get(&fingerprint) else {
            return false;
        };
        if record.weight() < QUARANTINE_WEIGHT || record.quarantined_until > now {
            return false;
        }
        let time = FIRST_QUARANTINE * 2_u32.saturating_pow(record.quarantines);
        let time = time.min(LONGEST_QUARANTINE);
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

    /// Makes room for one more request: who has least against it goes, of those the oldest.
    fn make_room(&mut self, fingerprint: RequestFingerprint) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(_, record)| {
            (record.quarantined_until, record.weight(), record.changed_at)
        });
        if let Some(least) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&least);
        }
    }
}

/// Ends that are remembered of one request, the latest; more say nothing new.
const MAX_ENDS: usize = 16;

/// Doublings after which a quarantine has its longest time.
const MAX_DOUBLINGS: u32 = 5;

impl SuspectRecord {
    fn weight(&self) -> u32 {
        self.ends.iter().map(|end| end.evidence.weight()).sum()
    }

    fn has(&self, process: ProcessTag) -> bool {
        self.ends.iter().any(|end| end.process == process)
    }
}
