//! Counts where a generation is in force.

use std::collections::{BTreeMap, BTreeSet};

use super::types::ProcessId;
use crate::ids::Generation;

/// Collects what processes say they have in force.
#[derive(Clone, Debug, Default)]
pub struct AdoptionCounter {
    expected: BTreeSet<ProcessId>,
    reported: BTreeMap<ProcessId, Generation>,
}

/// How far a generation has come.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct AdoptionCount {
    /// The generation, or a later one, is in force at so many expected processes.
    pub in_force: usize,
    /// Expected processes that have an earlier one.
    pub behind: Vec<ProcessId>,
    /// Expected processes that said nothing.
    pub silent: Vec<ProcessId>,
    /// Processes that answered and are not in the configuration.
    pub unexpected: Vec<ProcessId>,
}

impl AdoptionCounter {
    /// Counts these processes, as the configuration names them.
    pub fn new(expected: impl IntoIterator<Item = ProcessId>) -> Self {
        Self {
            expected: expected.into_iter().collect(),
            reported: BTreeMap::new(),
        }
    }

    /// Notes a report; reports may come late and out of order, so only a higher one counts.
    pub fn report(&mut self, process: ProcessId, generation: Generation) {
        let highest = self.reported.entry(process).or_default();
        *highest = generation.max(*highest);
    }

    /// Counts for a generation.
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
                Some(has) if *has < generation => count.behind.push(process.clone()),
                Some(_) => count.in_force += 1,
            }
        }
        let unexpected = self.reported.keys().filter(|p| !self.expected.contains(*p));
        count.unexpected = unexpected.cloned().collect();
        count
    }
}
