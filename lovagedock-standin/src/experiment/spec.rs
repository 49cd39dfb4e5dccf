//! Specification of an experiment.

use std::{collections::BTreeSet, path::PathBuf, time::Duration};

use lovagedock::policy_names;
use serde::{Deserialize, Serialize};

use crate::demo::Deployment;

/// Specification of an experiment that compares policies, read from JSON with comments.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSpec {
    /// Deployment to run, with its mix of calls.
    pub deployment: Deployment,
    /// Names of the placement policies.
    pub policies: Vec<String>,
    /// Seeds of the calls. Every policy runs with every seed.
    pub seeds: Vec<u64>,
    /// Duration of one run's plan in seconds of real time.
    pub seconds: u64,
    /// File with the timeline of faults for every run. A relative path is resolved against the
    /// directory of the experiment file.
    #[serde(default)]
    pub faults: Option<PathBuf>,
}

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRun {
    /// Placement policy.
    pub policy: String,
    /// Seed of the calls.
    pub seed: u64,
}

impl ExperimentSpec {
    /// Returns one line per invalid value.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let known = policy_names();
        for policy in &self.policies {
            if !known.contains(&policy.as_str()) {
                let names = known.join(", ");
                problems.push(format!(
                    "policies: unknown policy {policy:?}; known policies: {names}"
                ));
            }
        }
        if !is_non_empty_and_distinct(&self.policies) {
            problems.push("policies: must have at least one value and no duplicates".to_owned());
        }
        if !is_non_empty_and_distinct(&self.seeds) {
            problems.push("seeds: must have at least one value and no duplicates".to_owned());
        }
        if self.seconds == 0 {
            problems.push("seconds: must be at least 1".to_owned());
        }
        problems
    }

    /// Duration of one run's plan.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// Runs in the order of execution.
    ///
    /// All policies of a seed run consecutively, so that other load on the machine affects them
    /// alike. Each seed starts with a different policy, so that no policy always runs first
    /// or always after the same policy.
    pub fn runs(&self) -> Vec<PlannedRun> {
        let mut runs = Vec::with_capacity(self.seeds.len() * self.policies.len());
        for (offset, seed) in self.seeds.iter().enumerate() {
            for index in 0..self.policies.len() {
                let policy = &self.policies[(offset + index) % self.policies.len()];
                runs.push(PlannedRun {
                    policy: policy.clone(),
                    seed: *seed,
                });
            }
        }
        runs
    }
}

fn is_non_empty_and_distinct<T: Ord>(values: &[T]) -> bool {
    let distinct: BTreeSet<_> = values.iter().collect();
    !values.is_empty() && distinct.len() == values.len()
}
