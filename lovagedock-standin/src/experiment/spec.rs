//! What an experiment file says.

use std::{collections::BTreeSet, path::PathBuf, time::Duration};

use lovagedock::policy_names;
use serde::{Deserialize, Serialize};

use crate::demo::Deployment;

/// Policies that are run against each other, read from JSON with comments.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSpec {
    /// Which deployment, with its mix of calls.
    pub deployment: Deployment,
    /// Names of the placement policies.
    pub policies: Vec<String>,
    /// Seeds of the calls; every policy runs with each.
    pub seeds: Vec<u64>,
    /// Seconds of real time in which one run sends calls.
    pub seconds: u64,
    /// Timeline of faults in every run; a relative path starts at the experiment file.
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
    /// What is wrong with the values, one line each.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let known = policy_names();
        for policy in &self.policies {
            if !known.contains(&policy.as_str()) {
                let names = known.join(", ");
                problems.push(format!("policies: no policy {policy:?}; there are {names}"));
            }
        }
        if !is_set(&self.policies) {
            problems.push("policies: must be one or more, each once".to_owned());
        }
        if !is_set(&self.seeds) {
            problems.push("seeds: must be one or more, each once".to_owned());
        }
        if self.seconds == 0 {
            problems.push("seconds: must be at least 1".to_owned());
        }
        problems
    }

    /// Length of one run's plan.
    pub fn duration(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }

    /// The runs in their order.
    ///
    /// All policies of a seed follow each other, so that other load on the machine meets all alike.
    /// Each seed starts with another policy, so that none always has the place after the same one.
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

fn is_set<T: Ord>(values: &[T]) -> bool {
    let distinct: BTreeSet<_> = values.iter().collect();
    !values.is_empty() && distinct.len() == values.len()
}
