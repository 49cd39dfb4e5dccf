//! Releases of requests from quarantine.

use std::time::Duration;

use super::SuspectLedger;
use crate::{
    direct::{refusals::RequestFingerprint, suspect_update::SuspectUpdate},
    ids::Timestamp,
};

impl SuspectLedger {
    /// Drops the evidence against a request because an operator ended its quarantine. Returns
    /// whether there was any.
    ///
    /// For 10 s, evidence from before is ignored if a peer that missed the release reports it, and
    /// another release counts as a repetition: it keeps the evidence that is newer than the first.
    pub fn release(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        if self.released.recent_time(now, fingerprint).is_some() {
            return false;
        }
        let record = self.suspects.remove(&fingerprint);
        let ends = record.iter().flat_map(|record| &record.ends);
        let processes = ends.map(|end| end.process);
        self.released.record(now, fingerprint, processes);
        self.unsent
            .retain(|update| update.fingerprint() != fingerprint);
        record.is_some()
    }

    /// Returns whether an update is about evidence from before a release of the last 10 s.
    pub fn is_outdated(&self, now: Timestamp, update: &SuspectUpdate) -> bool {
        let fingerprint = update.fingerprint();
        match update {
            SuspectUpdate::Served(_) => false,
            SuspectUpdate::Ended(_, end) => {
                self.released.ignores_process(now, fingerprint, end.process)
            }
            // The ends since the release are reported one by one.
            SuspectUpdate::Quarantined(..) => {
                self.released.recent_time(now, fingerprint).is_some()
                    && self.quarantined_for(now, fingerprint).is_none()
            }
        }
    }

    /// Returns whether a request was released within the last `age`, so that evidence of this age
    /// is outdated.
    pub fn is_released_within(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        age: Duration,
    ) -> bool {
        self.released.is_released_within(now, fingerprint, age)
    }
}
