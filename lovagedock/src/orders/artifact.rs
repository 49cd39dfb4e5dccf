//! Models and adapters that engines load, and the orders to load missing ones.

use serde::Serialize;

use crate::config::ModelSpec;

/// A model or an adapter with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Artifact {
    /// Name of the model or adapter.
    pub id: String,
    /// Version; empty if any version is accepted or the version is unknown.
    pub version: String,
}

impl Artifact {
    /// Creates an artifact from its name and version.
    pub fn new(id: impl Into<String>, version: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            version: version.into(),
        }
    }

    /// Whether a loaded artifact is the wanted one. An unknown version does not match a wanted one.
    pub(super) fn is_met_by(&self, loaded: &Self) -> bool {
        self.id == loaded.id && (self.version.is_empty() || self.version == loaded.version)
    }
}

/// A model and its adapters, either wanted or loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ArtifactSet {
    /// The model.
    pub model: Artifact,
    /// Adapters for the model.
    pub adapters: Vec<Artifact>,
}

impl ArtifactSet {
    /// Returns the set that a configuration requires of the engines that run a model.
    pub fn wanted(model: &ModelSpec) -> Self {
        let adapters = model.adapters.iter();
        Self {
            model: Artifact::new(&*model.id, &*model.weights_version),
            adapters: adapters
                .map(|adapter| Artifact::new(&*adapter.id, &*adapter.version))
                .collect(),
        }
    }

    /// Returns the first artifact that is wanted and not loaded, the model before its adapters.
    ///
    /// Adapters that are loaded but not wanted stay loaded: callers are not routed to them, and
    /// engines have no order to unload.
    pub fn first_missing(&self, loaded: &Self) -> Option<LoadOrder> {
        if !self.model.is_met_by(&loaded.model) {
            return Some(LoadOrder::Model(self.model.clone()));
        }
        let is_missing =
            |wanted: &&Artifact| !loaded.adapters.iter().any(|it| wanted.is_met_by(it));
        let missing = self.adapters.iter().find(is_missing)?;
        Some(LoadOrder::Adapter(missing.clone()))
    }
}

/// An order to an engine to load an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOrder {
    /// A model, which replaces the loaded one.
    Model(Artifact),
    /// An adapter for the loaded model.
    Adapter(Artifact),
}

impl LoadOrder {
    /// Returns the artifact to load.
    pub fn artifact(&self) -> &Artifact {
        match self {
            Self::Model(artifact) | Self::Adapter(artifact) => artifact,
        }
    }

    /// Whether the engine cannot serve any request while it carries out the order.
    pub fn replaces_model(&self) -> bool {
        matches!(self, Self::Model(_))
    }
}
