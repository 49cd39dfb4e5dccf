//! What a sidecar knows of what its engine has loaded.

use std::time::Duration;

use super::artifact::{Artifact, ArtifactSet, LoadOrder};
use crate::ids::Timestamp;

/// How far an engine's report may lag behind.
const REPORT_LAG: Duration = Duration::from_secs(10);

/// Puts together what the engine reports, names without versions, with the orders that it has
/// confirmed.
#[derive(Debug, Default)]
pub struct LoadedArtifacts {
    reported: Option<ArtifactSet>,
    model: Option<ConfirmedLoad>,
    adapters: Vec<ConfirmedLoad>,
    /// A load of a model began and has not been confirmed.
    unsettled: bool,
    /// What was known before the order that the engine has now.
    before: Option<PriorState>,
}

#[derive(Debug)]
struct PriorState {
    model: Option<ConfirmedLoad>,
    adapters: Vec<ConfirmedLoad>,
    unsettled: bool,
}

#[derive(Clone, Debug)]
struct ConfirmedLoad {
    artifact: Artifact,
    at: Timestamp,
}

impl ConfirmedLoad {
    /// An engine that restarted by itself has lost what it had loaded; its report, once it is
    /// newer than the order, shows that. Without the check the load would never be repeated.
    fn is_contradicted(&self, now: Timestamp, mut reported: impl Iterator<Item = String>) -> bool {
        now > self.at + REPORT_LAG && !reported.any(|id| id == self.artifact.id)
    }
}

impl LoadedArtifacts {
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the names that the engine reports.
    pub fn report(&mut self, now: Timestamp, model: &str, adapters: &[String]) {
        let is_gone =
            |load: &mut ConfirmedLoad| load.is_contradicted(now, std::iter::once(model.to_owned()));
        if self.model.take_if(is_gone).is_some() {
            self.adapters.clear();
        }
        self.adapters
            .retain(|load| !load.is_contradicted(now, adapters.iter().cloned()));
        let unversioned = |id: &String| Artifact::new(id.as_str(), "");
        self.reported = Some(ArtifactSet {
            model: Artifact::new(model, ""),
            adapters: adapters.iter().map(unversioned).collect(),
        });
    }

    /// The engine is down; what it has when it comes back must be seen anew.
    pub fn forget(&mut self) {
        let unsettled = self.unsettled;
        *self = Self {
            unsettled,
            ..Self::default()
        };
    }

    /// An order goes to the engine; until it is confirmed, nobody knows what it has done.
    pub fn begin(&mut self, order: &LoadOrder) {
        self.before = Some(PriorState {
            model: self.model.clone(),
            adapters: self.adapters.clone(),
            unsettled: self.unsettled,
        });
        match order {
            LoadOrder::Model(_) => {
                self.model = None;
                self.adapters.clear();
                self.unsettled = true;
            }
            LoadOrder::Adapter(artifact) => {
                self.adapters.retain(|load| load.artifact.id != artifact.id);
            }
        }
    }

    /// The engine has carried an order out.
    pub fn confirm(&mut self, now: Timestamp, order: LoadOrder) {
        self.begin(&order);
        self.before = None;
        let load = |artifact| ConfirmedLoad { artifact, at: now };
        match order {
            LoadOrder::Model(artifact) => {
                self.model = Some(load(artifact));
                self.unsettled = false;
            }
            LoadOrder::Adapter(artifact) => self.adapters.push(load(artifact)),
        }
    }

    /// The engine did not begin the order; it has what it had.
    pub fn withdraw(&mut self) {
        if let Some(before) = self.before.take() {
            self.model = before.model;
            self.adapters = before.adapters;
            self.unsettled = before.unsettled;
        }
    }

    /// Whether an order would load what is there already.
    pub fn holds(&self, order: &LoadOrder) -> bool {
        let Some(set) = self.current() else {
            return false;
        };
        match order {
            LoadOrder::Model(wanted) => !self.unsettled && wanted.is_met_by(&set.model),
            LoadOrder::Adapter(wanted) => set.adapters.iter().any(|it| wanted.is_met_by(it)),
        }
    }

    /// Whether the last load of a model is not known to have succeeded.
    pub fn is_unsettled(&self) -> bool {
        self.unsettled
    }

    /// What is loaded, as far as it is known; `None` before the engine's first report.
    pub fn current(&self) -> Option<ArtifactSet> {
        let mut set = self.reported.clone()?;
        if let Some(load) = &self.model {
            set.model = load.artifact.clone();
        }
        for load in &self.adapters {
            set.adapters.retain(|it| it.id != load.artifact.id);
            set.adapters.push(load.artifact.clone());
        }
        Some(set)
    }
}
