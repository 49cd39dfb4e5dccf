//! The two example deployments in `examples/`.

use std::{
    fmt::{self, Display, Formatter},
    path::Path,
};

use clap::ValueEnum;
use lovagedock::{FleetConfig, parse_config, policy_names};
use lovagedock_daemon::parse_settings;
use serde::{Deserialize, Serialize};

use crate::load::MixSpec;

/// Example deployment with its configuration and its mix of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Mafraq Wreck Registers Co-operative.
    #[default]
    Mafraq,
    /// Nadavaramba Audio Profiles.
    Nadavaramba,
}

impl Display for Deployment {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mafraq => "mafraq",
            Self::Nadavaramba => "nadavaramba",
        })
    }
}

/// Reason why a deployment cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeploymentError {
    /// A file has errors; one line per error.
    Invalid(String),
    /// There is no placement policy of this name.
    UnknownPolicy(String),
}

impl Display for DeploymentError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(problems) => f.write_str(problems),
            Self::UnknownPolicy(name) => {
                let names = policy_names().join(", ");
                write!(f, "unknown policy {name:?}; known policies: {names}")
            }
        }
    }
}

impl std::error::Error for DeploymentError {}

impl Deployment {
    /// Configuration of the deployment; `policy` replaces its placement policy.
    pub fn config(self, policy: Option<&str>) -> Result<FleetConfig, DeploymentError> {
        let (name, text) = match self {
            Self::Mafraq => (
                "examples/mafraq/fleet.jsonc",
                include_str!("../../../examples/mafraq/fleet.jsonc"),
            ),
            Self::Nadavaramba => (
                "examples/nadavaramba/fleet.jsonc",
                include_str!("../../../examples/nadavaramba/fleet.jsonc"),
            ),
        };
        let mut config = parse_config(name, text).map_err(|problems| {
            let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
            DeploymentError::Invalid(lines.join("\n"))
        })?;
        if let Some(policy) = policy {
            if !policy_names().contains(&policy) {
                return Err(DeploymentError::UnknownPolicy(policy.to_owned()));
            }
            config.placement.policy = policy.to_owned();
        }
        Ok(config)
    }

    /// Mix of calls of the deployment.
    pub fn mix(self) -> Result<MixSpec, DeploymentError> {
        let (name, text) = match self {
            Self::Mafraq => (
                "examples/mixes/mafraq.jsonc",
                include_str!("../../../examples/mixes/mafraq.jsonc"),
            ),
            Self::Nadavaramba => (
                "examples/mixes/nadavaramba.jsonc",
                include_str!("../../../examples/mixes/nadavaramba.jsonc"),
            ),
        };
        parse_settings(Path::new(name), text)
            .map_err(|error| DeploymentError::Invalid(error.to_string()))
    }
}
