//! Names that callers send in the `model` field.

use super::types::{FleetConfig, ModelSpec};

const ADAPTER_SEPARATOR: char = ':';

/// Splits `MODEL:ADAPTER`; returns `None` for a name without an adapter.
pub fn split_model_name(name: &str) -> Option<(&str, &str)> {
    name.rsplit_once(ADAPTER_SEPARATOR)
}

impl FleetConfig {
    /// Finds the model of a name: either the model's own name, or `MODEL:ADAPTER` with one of its
    /// adapters.
    pub fn find_model(&self, name: &str) -> Option<&ModelSpec> {
        let find_by_id = |id: &str| self.models.iter().find(|model| &*model.id == id);
        if let Some(model) = find_by_id(name) {
            return Some(model);
        }
        let (id, adapter) = split_model_name(name)?;
        find_by_id(id).filter(|model| model.adapters.iter().any(|it| it.id == adapter))
    }
}
