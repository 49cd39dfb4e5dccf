//! Prediction of what a drain of a failure domain would do.

use std::collections::BTreeMap;

use serde::Serialize;

use super::rate_limit::GatewayCount;
use crate::ids::{DomainId, OrganisationId, ServiceId};

/// Utilisation above which the remaining endpoints have little reserve: a burst of a quarter more
/// requests exceeds them.
const TIGHT_UTILISATION: f64 = 0.8;

/// Utilisation above which the remaining endpoints cannot serve the present demand.
const SHORT_UTILISATION: f64 = 1.0;

/// Maximum number of organisations that are named for one service.
const MAX_ORGANISATIONS: usize = 5;

/// State of one endpoint, with the load that all gateways have placed there.
#[derive(Clone, Debug, PartialEq)]
pub struct PreviewEndpoint {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts work now: not leaving, ejected or in a drained domain.
    pub is_available: bool,
    /// Requests that hold a slot.
    pub occupied: u32,
    /// Prefill time placed there per second, in seconds, at the declared speed.
    pub prefill_rate: f64,
    /// Ratio of measured to declared time; 1 for an endpoint that is as fast as declared.
    pub slowdown: f64,
}

/// What one organisation demands of a service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PreviewDemand {
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Share of the organisation in the service's demand, from 0 to 1; the larger one of its lanes.
    pub share: f64,
}

/// Whether a domain can be drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DomainState {
    /// Endpoints of the domain may get work.
    Serving,
    /// The domain is drained already.
    Drained,
    /// No endpoint is in the domain.
    Unknown,
}

/// Whether the remaining endpoints suffice for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainVerdict {
    /// The remaining endpoints have reserve.
    Enough,
    /// The remaining endpoints suffice with little reserve.
    Tight,
    /// The remaining endpoints do not suffice, or there are none.
    Short,
}

/// Endpoints on one side of a drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EndpointCount {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Slots of these endpoints.
    pub slots: u32,
}

/// Prediction for one service.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ServicePreview {
    /// The service.
    pub service: ServiceId,
    /// Endpoints in the domain.
    pub inside: EndpointCount,
    /// Endpoints elsewhere that accept work now.
    pub outside: EndpointCount,
    /// Slots in use now, in the domain and elsewhere.
    pub slots_in_use: u32,
    /// Prefill time in use per second now, in seconds at the measured speed of the endpoints.
    pub prefill_per_second: f64,
    /// Utilisation of the endpoints elsewhere after a drain: the larger one of slots and prefill
    /// time. `None` if there is no such endpoint.
    pub utilisation: Option<f64>,
    /// Whether the endpoints elsewhere suffice.
    pub verdict: DrainVerdict,
    /// Organisations with the largest demand if the endpoints elsewhere do not suffice, largest
    /// first.
    pub organisations: Vec<PreviewDemand>,
}

/// Prediction of what a drain of a failure domain would do, by the loads of all gateways that this
/// gateway knows.
///
/// The load of the domain's endpoints is assumed to move to the endpoints elsewhere. The prediction
/// covers the load of the last seconds, and lacks that of gateways whose messages do not arrive.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DrainPreview {
    /// The domain.
    pub domain: DomainId,
    /// Whether the domain can be drained.
    pub state: DomainState,
    /// Gateways whose load is included, with this one.
    pub gateways_heard: usize,
    /// Gateways that may be serving, with this one.
    pub gateways_known: usize,
    /// Prediction by service, ordered by name.
    pub services: Vec<ServicePreview>,
}

#[derive(Default)]
struct ServiceTotal {
    inside: EndpointCount,
    outside: EndpointCount,
    /// Prefill time per second that the endpoints elsewhere have at their measured speeds, in
    /// seconds at the declared speed.
    outside_speed: f64,
    occupied: u32,
    prefill_rate: f64,
    measured_rate: f64,
}

impl DrainPreview {
    /// Predicts the drain of `domain` from the state of all endpoints.
    pub fn new(
        domain: &DomainId,
        is_drained: bool,
        endpoints: &[PreviewEndpoint],
        demands: &[PreviewDemand],
        gateways: GatewayCount,
    ) -> Self {
        let mut totals: BTreeMap<ServiceId, ServiceTotal> = BTreeMap::new();
        for endpoint in endpoints {
            let total = totals.entry(endpoint.service.clone()).or_default();
            total.add(endpoint, endpoint.domain == *domain);
        }
        let services = totals.into_iter();
        Self {
            domain: domain.clone(),
            state: domain_state(domain, is_drained, endpoints),
            gateways_heard: gateways.reachable,
            gateways_known: gateways.known,
            services: services
                .map(|(service, total)| total.preview(service, demands))
                .collect(),
        }
    }

    /// Returns whether the load of a gateway that may be serving is not included.
    pub fn is_partial(&self) -> bool {
        self.gateways_heard < self.gateways_known
    }
}

impl ServiceTotal {
    fn add(&mut self, endpoint: &PreviewEndpoint, is_inside: bool) {
        let slowdown = endpoint.slowdown.max(1.0);
        self.occupied += endpoint.occupied;
        self.prefill_rate += endpoint.prefill_rate;
        self.measured_rate += endpoint.prefill_rate * slowdown;
        if is_inside {
            self.inside.add(endpoint);
        } else if endpoint.is_available {
            self.outside.add(endpoint);
            self.outside_speed += 1.0 / slowdown;
        }
    }

    fn preview(self, service: ServiceId, demands: &[PreviewDemand]) -> ServicePreview {
        let utilisation = self.utilisation();
        let verdict = DrainVerdict::new(utilisation);
        let organisations = match verdict {
            DrainVerdict::Enough | DrainVerdict::Tight => Vec::new(),
            DrainVerdict::Short => largest_demands(&service, demands),
        };
        ServicePreview {
            service,
            inside: self.inside,
            outside: self.outside,
            slots_in_use: self.occupied,
            prefill_per_second: self.measured_rate,
            utilisation,
            verdict,
            organisations,
        }
    }

    fn utilisation(&self) -> Option<f64> {
        if self.outside.slots == 0 {
            return None;
        }
        let slots = f64::from(self.occupied) / f64::from(self.outside.slots);
        Some(slots.max(self.prefill_rate / self.outside_speed))
    }
}

impl EndpointCount {
    fn add(&mut self, endpoint: &PreviewEndpoint) {
        self.endpoints += 1;
        self.slots += endpoint.slots;
    }
}

impl DrainVerdict {
    fn new(utilisation: Option<f64>) -> Self {
        match utilisation {
            Some(utilisation) if utilisation <= TIGHT_UTILISATION => Self::Enough,
            Some(utilisation) if utilisation <= SHORT_UTILISATION => Self::Tight,
            Some(_) | None => Self::Short,
        }
    }
}

fn domain_state(domain: &DomainId, is_drained: bool, endpoints: &[PreviewEndpoint]) -> DomainState {
    if is_drained {
        return DomainState::Drained;
    }
    match endpoints.iter().any(|endpoint| endpoint.domain == *domain) {
        true => DomainState::Serving,
        false => DomainState::Unknown,
    }
}

fn largest_demands(service: &ServiceId, demands: &[PreviewDemand]) -> Vec<PreviewDemand> {
    let of_service = demands.iter().filter(|demand| demand.service == *service);
    let mut largest: Vec<PreviewDemand> = of_service.cloned().collect();
    largest.sort_by(|one, other| other.share.total_cmp(&one.share));
    largest.truncate(MAX_ORGANISATIONS);
    largest
}
