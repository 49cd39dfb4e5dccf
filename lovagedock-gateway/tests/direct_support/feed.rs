//! In-memory store of a platform.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use lovagedock::{DirectEndpoint, StorePosition, TrafficConfig, prelude::*};
use lovagedock_platform::{
    FeedChange, FeedError, FeedSnapshot, FeedStep, FeedSubject, FleetFeed, GatewayEntry,
    StoreError, SuspectSheet,
};
use tokio::{sync::Notify, time::timeout};

use super::crashing::unread_address;

/// A feed that tests write to and that can be unavailable.
#[derive(Clone, Default)]
pub(crate) struct TestFeed {
    state: Arc<Mutex<FeedState>>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct FeedState {
    position: StorePosition,
    config: Option<Arc<TrafficConfig>>,
    endpoints: Vec<DirectEndpoint>,
    gateways: Vec<GatewayEntry>,
    is_down: bool,
    drops_peer_messages: bool,
    sheets: Vec<SuspectSheet>,
    rejects_suspects: bool,
    drained: Vec<DomainId>,
}

impl TestFeed {
    /// Creates a feed with a configuration and endpoints.
    pub(crate) fn new(config: TrafficConfig, endpoints: Vec<DirectEndpoint>) -> Self {
        let feed = Self::default();
        feed.change(|state| {
            state.config = Some(Arc::new(config));
            state.endpoints = endpoints;
        });
        feed
    }

    /// Creates a feed that fails every call.
    pub(crate) fn down() -> Self {
        let feed = Self::default();
        feed.change(|state| state.is_down = true);
        feed
    }

    /// Lists the gateways under an address where nobody listens, so that their messages are lost.
    pub(crate) fn drop_peer_messages(&self) {
        self.change(|state| state.drops_peer_messages = true);
    }

    /// Sets whether calls about suspects succeed.
    pub(crate) fn set_suspects_available(&self, available: bool) {
        self.change(|state| state.rejects_suspects = !available);
    }

    /// Returns whether a suspect sheet has evidence against a request or a part.
    pub(crate) fn has_suspect(&self, target: u64) -> bool {
        let state = self.state.lock().expect("the mutex is not poisoned");
        let reports = state.sheets.iter().flat_map(|sheet| &sheet.reports);
        let parts = state.sheets.iter().flat_map(|sheet| &sheet.parts);
        let mut targets = reports.map(|report| report.fingerprint);
        targets.any(|known| known == target)
            || parts.into_iter().any(|report| report.part == target)
    }

    /// Replaces the configuration.
    pub(crate) fn set_config(&self, config: TrafficConfig) {
        self.change(|state| state.config = Some(Arc::new(config)));
    }

    /// Replaces the endpoints.
    pub(crate) fn set_endpoints(&self, endpoints: Vec<DirectEndpoint>) {
        self.change(|state| state.endpoints = endpoints);
    }

    /// Replaces the drained failure domains.
    pub(crate) fn set_drained(&self, domains: &[&str]) {
        let domains = domains.iter().map(|domain| (*domain).into());
        self.change(|state| state.drained = domains.collect());
    }

    /// Adds a gateway to the list.
    pub(crate) fn add_gateway(&self, gateway: GatewayEntry) {
        self.change(|state| state.gateways.push(gateway));
    }

    /// Returns the gateways that announced themselves.
    pub(crate) fn gateways(&self) -> Vec<GatewayEntry> {
        self.state
            .lock()
            .expect("the mutex is not poisoned")
            .gateways
            .clone()
    }

    fn change(&self, change: impl FnOnce(&mut FeedState)) {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        change(&mut state);
        state.position.revision += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    fn read(&self, subject: FeedSubject) -> Result<FeedSnapshot, FeedError> {
        let state = self.state.lock().expect("the mutex is not poisoned");
        if state.is_down || (state.rejects_suspects && subject == FeedSubject::Suspects) {
            return Err(StoreError::Unavailable.into());
        }
        let changes = match subject {
            FeedSubject::Traffic => {
                let config = state.config.iter().cloned();
                config.map(FeedChange::Traffic).collect()
            }
            FeedSubject::Endpoints => {
                let endpoints = state.endpoints.iter().cloned();
                endpoints.map(FeedChange::Endpoint).collect()
            }
            FeedSubject::Drains => {
                let drained = state.drained.iter().cloned();
                drained.map(FeedChange::DomainDrained).collect()
            }
            FeedSubject::Gateways => {
                let gateways = state.gateways.iter().cloned().map(|gateway| GatewayEntry {
                    address: match state.drops_peer_messages {
                        true => unread_address(),
                        false => gateway.address,
                    },
                    ..gateway
                });
                gateways.map(FeedChange::Gateway).collect()
            }
            FeedSubject::Suspects => {
                let sheets = state.sheets.iter().cloned();
                sheets.map(FeedChange::Suspects).collect()
            }
        };
        Ok(FeedSnapshot {
            position: state.position,
            changes,
        })
    }
}

#[async_trait]
impl FleetFeed for TestFeed {
    async fn snapshot(&self, subject: FeedSubject) -> Result<FeedSnapshot, FeedError> {
        self.read(subject)
    }

    async fn follow(
        &self,
        subject: FeedSubject,
        after: StorePosition,
        wait: Duration,
    ) -> Result<FeedStep, FeedError> {
        let changed = self.changed.notified();
        let snapshot = self.read(subject)?;
        if snapshot.position > after {
            // This store keeps no history.
            return Err(FeedError::HistoryLost);
        }
        let _ = timeout(wait, changed).await;
        Ok(FeedStep {
            position: after,
            changes: Vec::new(),
        })
    }

    async fn announce(&self, gateway: &GatewayEntry) -> Result<StoreEra, FeedError> {
        let position = self.read(FeedSubject::Gateways)?.position;
        self.add_gateway(gateway.clone());
        Ok(position.era)
    }

    async fn store_suspects(&self, sheet: &SuspectSheet) -> Result<StoreEra, FeedError> {
        let position = self.read(FeedSubject::Suspects)?.position;
        self.change(|state| {
            state.sheets.retain(|kept| kept.gateway != sheet.gateway);
            state.sheets.push(sheet.clone());
        });
        Ok(position.era)
    }
}
