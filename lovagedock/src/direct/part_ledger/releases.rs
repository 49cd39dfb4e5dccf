//! Releases of parts from quarantine.

use std::time::Duration;

use super::PartLedger;
use crate::{
    direct::{
        part_record::{LedgerTime, ledger_time},
        part_update::{PartEnd, PartUpdate, PromptPart},
    },
    ids::Timestamp,
};

impl PartLedger {
    /// Drops the evidence against a part because an operator ended its quarantine, see
    /// [`SuspectLedger::release`](crate::direct::SuspectLedger::release). Returns whether there was any.
    pub fn release(&mut self, now: Timestamp, part: PromptPart) -> bool {
        let now = ledger_time(now);
        if self.released.recent_time(now, part).is_some() {
            return false;
        }
        let record = self.records.remove(&part);
        self.trials.remove(&part);
        let ends = record.iter().flat_map(|record| &record.ends);
        let processes = ends.map(|end| end.process);
        self.released.record(now, part, processes);
        record.is_some()
    }

    /// Returns the part whose release of the last 10 s is unknown to the peer that sent an update.
    pub fn contradicted_release(&self, now: Timestamp, update: &PartUpdate) -> Option<PromptPart> {
        let now = ledger_time(now);
        let report = match update {
            PartUpdate::Ended { .. } | PartUpdate::Answered { .. } | PartUpdate::Trial { .. } => {
                return None;
            }
            PartUpdate::Quarantined(report) => report,
        };
        let mut ends = report.ends.iter();
        let is_outdated = ends.any(|end| self.is_outdated(now, report.part, end));
        is_outdated.then_some(report.part)
    }

    /// Returns whether a part was released within the last `age`, so that evidence of this age is
    /// outdated.
    pub fn is_released_within(&self, now: Timestamp, part: PromptPart, age: Duration) -> bool {
        self.released
            .is_released_within(ledger_time(now), part, age)
    }

    /// Returns whether an end is from before a release of the part in the last 10 s.
    pub(super) fn is_outdated(&self, now: LedgerTime, part: PromptPart, end: &PartEnd) -> bool {
        let Some(released_at) = self.released.recent_time(now, part) else {
            return false;
        };
        now.saturating_sub(end.age) < released_at
            || self.released.ignores_process(now, part, end.process)
    }
}
