//! Timelines of faults, read from files.

use std::time::Duration;

use lovagedock::{EndpointId, GatewayId, OrganisationId};
use serde::Deserialize;

use crate::FaultKind;

/// Timeline of the faults in a run, read from JSON with comments.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// Faults, in any order.
    pub faults: Vec<PlannedFault>,
}

/// Fault on the timeline.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// Start, in seconds of real time after the start of the plan.
    pub at_s: f64,
    /// Duration in seconds; 0 if the fault never ends.
    #[serde(default)]
    pub for_s: f64,
    /// Kind and target of the fault.
    pub fault: FaultStep,
}

impl PlannedFault {
    /// Start of the fault, relative to the start of the plan.
    pub fn starts_at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s.max(0.0))
    }

    /// End of the fault; `None` if it never ends.
    pub fn ends_at(&self) -> Option<Duration> {
        (self.for_s > 0.0).then(|| self.starts_at() + Duration::from_secs_f64(self.for_s))
    }
}

/// Kind and target of a fault. Endpoints and gateways are named as in the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultStep {
    /// The engine loses its memory and refuses connections.
    #[serde(rename = "engine_dies")]
    EngineCrashes(EndpointId),
    /// The engine's connections stay open, but it makes no progress.
    EngineHangs(EndpointId),
    /// The engine's responses are delayed.
    EngineLate(EndpointId),
    /// The engine sends callers the answer text of other requests.
    #[serde(rename = "engine_crosses")]
    EngineSwapsResponses(EndpointId),
    /// The sidecar is asked to stop, as by SIGTERM, and is restarted when the fault ends.
    SidecarStops(EndpointId),
    /// An operator drains the endpoint and undrains it when the fault ends.
    EndpointDrains(EndpointId),
    /// A configuration without the endpoint is applied, and one with it when the fault ends.
    EndpointRemoved(EndpointId),
    /// A configuration without the organisation is applied, and one with it when the fault ends.
    OrganisationRemoved(OrganisationId),
    /// The gateway is asked to stop, as by SIGTERM. It is not restarted.
    GatewayStops(GatewayId),
    /// The platform has a fault.
    Platform(FaultKind),
}
