//! What can be loaded, and what is missing.

use serde::Serialize;

use crate::config::ModelSpec;

/// A model or an adapter in a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Artifact {
    /// Its name.
    pub id: String,
    /// Its version; empty where any will do or nobody knows it.
    pub version: String,
}

impl Artifact {
    /// A model or an adapter in a version.
    pub fn new(id: impl Into<String>, version: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            version: version.into(),
        }
    }

    /// Whether what is loaded is what is wanted; a version that is not known is not the wanted one.
    pub(super) fn is_met_by(&self, loaded: &Self) -> bool {
        self.id == loaded.id && (self.version.is_empty() || self.version == loaded.version)
    }
}

/// A model and its adapters, wanted or loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ArtifactSet {
    /// The model.
    pub model: Artifact,
    /// Adapters on top of it.
    pub adapters: Vec<Artifact>,
}

impl ArtifactSet {
    /// What a configuration wants of the engines that run a model.
    pub fn wanted(model: &ModelSpec) -> Self {
        let adapters = model.adapters.iter();
        Self {
            model: Artifact::new(&*model.id, &*model.weights_version),
            adapters: adapters
                .map(|adapter| Artifact::new(&*adapter.id, &*adapter.version))
                .collect(),
        }
    }

    /// The first thing that is wanted and not loaded: the model before its adapters.
    ///
    /// Adapters that are loaded and not wanted stay: callers are not routed to them, and engines
    /// take no order to unload.
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

/// What an engine is ordered to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadOrder {
    /// A model in the place of the one that is loaded.
    Model(Artifact),
    /// An adapter on top of the model.
    Adapter(Artifact),
}

impl LoadOrder {
    /// What is to be loaded.
    pub fn artifact(&self) -> &Artifact {
        match self {
            Self::Model(artifact) | Self::Adapter(artifact) => artifact,
        }
    }

    /// Whether the engine can serve nothing while it is carried out.
    pub fn replaces_model(&self) -> bool {
        matches!(self, Self::Model(_))
    }
}
