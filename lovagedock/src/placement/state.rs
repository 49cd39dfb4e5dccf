use std::sync::Arc;

use crate::ids::{DomainId, EndpointId, Timestamp};

use super::types::{EndpointReport, EndpointView, PoolView, SentWork};

/// The endpoints of one pool as a gateway knows them, kept in the order of their names.
#[derive(Clone, Debug, Default)]
pub struct PoolState {
    endpoints: Vec<EndpointView>,
}

impl PoolState {
    /// A pool of no endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// What a policy reads.
    pub fn view(&self) -> PoolView<'_> {
        PoolView {
            endpoints: &self.endpoints,
        }
    }

    /// Adds an endpoint that is not usable yet, or moves a known one to another failure domain.
    pub fn insert(&mut self, id: EndpointId, domain: DomainId) {
        match self.position(&id) {
            Ok(index) => self.endpoints[index].domain = domain,
            Err(index) => self.endpoints.insert(index, EndpointView::new(id, domain)),
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, id: &EndpointId) {
        if let Ok(index) = self.position(id) {
            self.endpoints.remove(index);
        }
    }

    /// Sets whether there is a live session to an endpoint that is not leaving.
    pub fn set_usable(&mut self, id: &EndpointId, usable: bool) {
        let Some(endpoint) = self.endpoint_mut(id) else {
            return;
        };
        endpoint.usable = usable;
        if !usable {
            // The report of a lost session says nothing about the next life of the sidecar.
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

    /// Takes in a report.
    ///
    /// Submits and heartbeats share a session, so the report contains what was sent before the
    /// heartbeat; `unreported` is what was sent after it and before its answer came.
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

    /// Counts work that was sent to an endpoint.
    pub fn record_sent(&mut self, id: &EndpointId, work: SentWork) {
        if let Some(endpoint) = self.endpoint_mut(id) {
            endpoint.sent_since.add(&work);
        }
    }

    /// One endpoint.
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
