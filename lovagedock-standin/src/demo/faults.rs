//! Timelines of faults, as files.

use std::time::Duration;

use lovagedock::{EndpointId, GatewayId, OrganisationId};
use serde::Deserialize;

use crate::FaultKind;

/// What goes wrong during a run, read from JSON with comments.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultPlan {
    /// The faults in any order.
    pub faults: Vec<PlannedFault>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedFault {
    /// When it begins, in seconds of real time after the first call's time.
    pub at_s: f64,
    /// When it is over, in seconds after it began; 0 for never.
    #[serde(default)]
    pub for_s: f64,
    /// What goes wrong.
    pub fault: FaultStep,
}

impl PlannedFault {
    /// When it begins.
    pub fn starts_at(&self) -> Duration {
        Duration::from_secs_f64(self.at_s.max(0.0))
    }

    /// When it is over, if ever.
    pub fn ends_at(&self) -> Option<Duration> {
        (self.for_s > 0.0).then(|| self.starts_at() + Duration::from_secs_f64(self.for_s))
    }
}

/// What goes wrong. Endpoints and gateways are named as in the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultStep {
    /// The engine loses its memory and refuses connections.
    #[serde(rename = "engine_dies")]
    EngineCrashes(EndpointId),
    /// The engine's connections stay open and nothing moves.
    EngineHangs(EndpointId),
    /// The engine's answers come late.
    EngineLate(EndpointId),
    /// The engine sends its callers pieces of others' answers.
    #[serde(rename = "engine_crosses")]
    EngineSwapsResponses(EndpointId),
    /// The sidecar is asked to stop, as by SIGTERM, and starts again when the fault is over.
    SidecarStops(EndpointId),
    /// An operator drains the endpoint, and takes it back when the fault is over.
    EndpointDrains(EndpointId),
    /// A configuration without the endpoint is applied, and one with it when the fault is over.
    EndpointRemoved(EndpointId),
    /// A configuration without the organisation is applied, and one with it when the fault is over.
    OrganisationRemoved(OrganisationId),
    /// The gateway is asked to stop, as by SIGTERM; it does not come back.
    GatewayStops(GatewayId),
    /// The platform's store misbehaves.
    Platform(FaultKind),
}
