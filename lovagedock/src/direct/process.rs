//! Identity of the successive processes of an endpoint.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, StartStamp};

/// One process of an endpoint, from its start to its end.
///
/// An endpoint may restart under the same name. The new process inherits nothing from the former
/// one: no work, no memory and no announcement that it is leaving. So everything that is counted,
/// measured or announced belongs to a process and not to an endpoint name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointProcess {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// When the process started, by its host's clock.
    pub started: StartStamp,
}

impl EndpointProcess {
    /// Creates the identity of the process of `id` that started at `started`.
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
