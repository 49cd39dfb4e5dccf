//! Registry of placement policies.

use std::{error::Error, fmt};

use crate::{config::PlacementSpec, placement::PlacementPolicy};

/// A placement policy that the configuration can select by name.
///
/// A plug-in is registered with `inventory::submit!` and needs no other entry.
pub struct PolicyPlugin {
    /// Name in the configuration.
    pub name: &'static str,
    /// One-line description for operators.
    pub summary: &'static str,
    /// Creates an instance; a gateway keeps one for each pool.
    pub build: fn(&PlacementSpec) -> Box<dyn PlacementPolicy>,
}

inventory::collect!(PolicyPlugin);

/// Error for a configuration that names an unregistered policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownPolicy {
    /// The requested name.
    pub name: String,
    /// The most similar registered name.
    pub nearest: Option<&'static str>,
}

impl fmt::Display for UnknownPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no placement policy is named {:?}", self.name)?;
        match self.nearest {
            Some(nearest) => write!(f, "; did you mean {nearest:?}?"),
            None => Ok(()),
        }
    }
}

impl Error for UnknownPolicy {}

/// Creates the policy that `spec` names.
///
/// # Errors
///
/// Returns [`UnknownPolicy`] if no plug-in has that name.
pub fn build_policy(spec: &PlacementSpec) -> Result<Box<dyn PlacementPolicy>, UnknownPolicy> {
    let plugin = inventory::iter::<PolicyPlugin>
        .into_iter()
        .find(|plugin| plugin.name == spec.policy);
    match plugin {
        Some(plugin) => Ok((plugin.build)(spec)),
        None => Err(UnknownPolicy {
            name: spec.policy.clone(),
            nearest: nearest_name(&spec.policy),
        }),
    }
}

/// Names of all registered policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = policies().map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// All registered policies, in no particular order.
pub fn policies() -> impl Iterator<Item = &'static PolicyPlugin> {
    inventory::iter::<PolicyPlugin>.into_iter()
}

fn nearest_name(name: &str) -> Option<&'static str> {
    policy_names()
        .into_iter()
        .map(|known| (strsim::damerau_levenshtein(name, known), known))
        .min()
        .filter(|(distance, _)| *distance <= MAX_TYPO_DISTANCE)
        .map(|(_, known)| known)
}

const MAX_TYPO_DISTANCE: usize = 4;
