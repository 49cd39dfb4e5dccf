//! Registry of adapters by name.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use super::engine_adapter::EngineAdapter;

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Connection options of an adapter.
#[derive(Clone, Debug)]
pub struct AdapterOptions {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// How long an endpoint may send nothing before the call counts as lost.
    pub idle_timeout: Duration,
}

impl AdapterOptions {
    /// Creates options with the default timeouts.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }

    /// Sets the idle timeout.
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            ..self
        }
    }
}

/// A registered adapter.
pub struct AdapterPlugin {
    /// Name in the sidecar's settings.
    pub name: &'static str,
    /// Builds an adapter.
    pub build: fn(&AdapterOptions) -> Result<Arc<dyn EngineAdapter>, BuildError>,
}

inventory::collect!(AdapterPlugin);

/// Why an adapter could not be built.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BuildError {
    /// No adapter has this name.
    UnknownName {
        /// The requested name.
        name: String,
        /// The registered names.
        known: Vec<&'static str>,
    },
    /// The options are not valid for the adapter.
    BadOptions {
        /// What is wrong.
        detail: String,
    },
}

impl fmt::Display for BuildError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownName { name, known } => {
                write!(
                    f,
                    "no adapter \"{name}\"; expected one of {}",
                    known.join(", ")
                )
            }
            Self::BadOptions { detail } => f.write_str(detail),
        }
    }
}

impl std::error::Error for BuildError {}

/// Names of all registered adapters, sorted.
pub fn adapter_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<AdapterPlugin>
        .into_iter()
        .map(|plugin| plugin.name)
        .collect();
    names.sort_unstable();
    names
}

/// Builds the adapter with the given name.
pub fn build_adapter(
    name: &str,
    options: &AdapterOptions,
) -> Result<Arc<dyn EngineAdapter>, BuildError> {
    let plugin = inventory::iter::<AdapterPlugin>
        .into_iter()
        .find(|plugin| plugin.name == name);
    match plugin {
        Some(plugin) => (plugin.build)(options),
        None => Err(BuildError::UnknownName {
            name: name.to_owned(),
            known: adapter_names(),
        }),
    }
}
