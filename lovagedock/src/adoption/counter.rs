//! Counts the processes at which a generation is in force.

use std::collections::{BTreeMap, BTreeSet};

use super::types::ProcessId;
use crate::ids::Generation;

/// Collects the generations that processes report.
#[derive(Clone, Debug, Default)]
pub struct AdoptionCounter {
    expected: BTreeSet<ProcessId>,
    reported: BTreeMap<ProcessId, Generation>,
}

/// Progress of the adoption of a generation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionCount {
    /// Number of expected processes at which the generation or a later one is in force.
    pub in_force: usize,
    /// Expected processes that have an earlier generation.
    pub behind: Vec<ProcessId>,
    /// Expected processes that did not report.
    pub silent: Vec<ProcessId>,
    /// Processes that reported but are not in the configuration.
    pub unexpected: Vec<ProcessId>,
}

impl AdoptionCounter {
    /// Creates a counter for the processes that the configuration names.
    pub fn new(expected: impl IntoIterator<Item = ProcessId>) -> Self {
        Self {
            expected: expected.into_iter().collect(),
            reported: BTreeMap::new(),
        }
    }

    /// Records a report. Reports can arrive late and out of order, so the highest one counts.
    pub fn report(&mut self, process: ProcessId, generation: Generation) {
        let highest = self.reported.entry(process).or_default();
        *highest = generation.max(*highest);
    }

    /// Returns the progress of a generation.
    pub fn count(&self, generation: Generation) -> AdoptionCount {
        let mut count = AdoptionCount {
            in_force: 0,
            behind: Vec::new(),
            silent: Vec::new(),
            unexpected: Vec::new(),
        };
        for process in &self.expected {
            match self.reported.get(process) {
                None => count.silent.push(process.clone()),
                Some(reported) if *reported < generation => count.behind.push(process.clone()),
                Some(_) => count.in_force += 1,
            }
        }
        let unexpected = self.reported.keys().filter(|p| !self.expected.contains(*p));
        count.unexpected = unexpected.cloned().collect();
        count
    }
}
