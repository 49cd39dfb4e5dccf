//! Tracks, at a sidecar, the artifacts that its engine has loaded.

use std::time::Duration;

use super::artifact::{Artifact, ArtifactSet, LoadOrder};
use crate::ids::Timestamp;

/// Maximum delay of an engine's report behind the actual state.
const REPORT_LAG: Duration = Duration::from_secs(10);

/// Combines the engine's reports, which contain names without versions, with the orders that the
/// engine has confirmed.
#[derive(Debug, Default)]
pub struct LoadedArtifacts {
    reported: Option<ArtifactSet>,
    model: Option<ConfirmedLoad>,
    adapters: Vec<ConfirmedLoad>,
    /// Whether the load of a model began and has not been confirmed.
    unsettled: bool,
    /// The state before the order that the engine is carrying out.
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
    /// Whether a newer report lacks the artifact.
    ///
    /// An engine that restarts by itself loses what it has loaded. A report that is newer than the
    /// order shows this. Without the check the load would never be repeated.
    fn is_contradicted(&self, now: Timestamp, mut reported: impl Iterator<Item = String>) -> bool {
        now > self.at + REPORT_LAG && !reported.any(|id| id == self.artifact.id)
    }
}

impl LoadedArtifacts {
    /// Creates the state of an engine of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes the names in a report of the engine.
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

    /// Resets the state because the engine is down. A new report is needed after its restart. The
    /// load of a model that was not confirmed stays unsettled.
    pub fn forget(&mut self) {
        let unsettled = self.unsettled;
        *self = Self {
            unsettled,
            ..Self::default()
        };
    }

    /// Records that an order is sent to the engine. Its effect is unknown until it is confirmed.
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

    /// Records that the engine has carried out an order.
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

    /// Restores the state before the last order, because the engine did not begin it.
    pub fn withdraw(&mut self) {
        if let Some(before) = self.before.take() {
            self.model = before.model;
            self.adapters = before.adapters;
            self.unsettled = before.unsettled;
        }
    }

    /// Whether the artifact of an order is already loaded.
    pub fn holds(&self, order: &LoadOrder) -> bool {
        let Some(set) = self.current() else {
            return false;
        };
        match order {
            LoadOrder::Model(wanted) => !self.unsettled && wanted.is_met_by(&set.model),
            LoadOrder::Adapter(wanted) => set.adapters.iter().any(|it| wanted.is_met_by(it)),
        }
    }

    /// Whether the last load of a model began and is not known to have succeeded.
    pub fn is_unsettled(&self) -> bool {
        self.unsettled
    }

    /// Returns the loaded artifacts as far as they are known, or `None` before the first report.
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
