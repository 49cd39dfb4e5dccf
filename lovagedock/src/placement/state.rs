use std::sync::Arc;

use crate::ids::{DomainId, EndpointId, Timestamp};

use super::types::{EndpointReport, EndpointView, PoolView, SentWork};

/// A gateway's view of the endpoints of one pool, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct PoolState {
    endpoints: Vec<EndpointView>,
}

impl PoolState {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view that is passed to a policy.
    pub fn view(&self) -> PoolView<'_> {
        PoolView {
            endpoints: &self.endpoints,
        }
    }

    /// Adds an endpoint that is not usable yet, or updates the failure domain of a known one.
    pub fn insert(&mut self, id: EndpointId, domain: DomainId) {
        match self.position(&id) {
            Ok(index) => self.endpoints[index].domain = domain,
            Err(index) => self.endpoints.insert(index, EndpointView::new(id, domain)),
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Ok(index) = self.position(id) {
            self.endpoints.remove(index);
        }
    }

    /// Sets whether a session to the endpoint is open and the endpoint is not draining.
    pub fn set_usable(&mut self, id: &EndpointId, usable: bool) {
        let Some(endpoint) = self.endpoint_mut(id) else {
            return;
        };
        endpoint.usable = usable;
        if !usable {
            // A report from a lost session does not apply to the next incarnation of the sidecar.
            endpoint.report = None;
            endpoint.sent_since = SentWork::default();
        }
    }

    /// Sets whether an endpoint is ejected.
    pub fn set_ejected(&mut self, id: &EndpointId, ejected: bool) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.ejected = ejected;
        }
    }

    /// Stores a report.
    ///
    /// Submits and heartbeats share a session, so the report covers all work sent before the
    /// heartbeat. `unreported` is the work sent between the heartbeat and the report.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        report: Arc<EndpointReport>,
        unreported: SentWork,
    ) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.report = Some(report);
            endpoint.reported_at = now;
            endpoint.sent_since = unreported;
        }
    }

    /// Adds work that was sent to an endpoint.
    pub fn record_sent(&mut self, id: &EndpointId, work: SentWork) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.sent_since.add(&work);
        }
    }

    /// Returns an endpoint by id.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointView> {
        let index = self.position(id).ok()?;
        self.endpoints.get(index)
    }

    fn endpoint_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointView> {
        let index = self.position(id).ok()?;
        self.endpoints.get_mut(index)
    }

    fn position(&self, id: &EndpointId) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| endpoint.id.cmp(id))
    }
}
