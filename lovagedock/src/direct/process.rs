//! Tells the processes apart that serve under one endpoint's name, one after the other.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, StartStamp};

/// One process of an endpoint, from its start to its end.
///
/// An endpoint may start again under its name. The new process holds nothing of the former one: no
/// work, no memory, no promise to leave. So everything that is counted, measured or promised belongs
/// to a life and not to a name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointProcess {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// When the process started, by its own host's clock.
    pub started: StartStamp,
}

impl EndpointProcess {
    /// The life of `id` that started at `started`.
    pub fn new(id: impl Into<EndpointId>, started: StartStamp) -> Self {
        Self {
            id: id.into(),
            started,
        }
    }
}

impl fmt::Display for EndpointProcess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started)
    }
}
