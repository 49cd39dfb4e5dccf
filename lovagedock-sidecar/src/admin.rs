//! Operators' interface of a sidecar.

use std::sync::Arc;

use async_trait::async_trait;
use lovagedock::{EndpointCore, EndpointEvent};
use lovagedock_daemon::{AdminCall, AdminHandler, AdminMethod, AdminReply, AdminRoute};
use serde_json::{Value, json};

use crate::{config::SidecarConfig, state::SidecarState};

const STATUS_PATH: &str = "/status";
const DRAIN_PATH: &str = "/drain";
const UNDRAIN_PATH: &str = "/undrain";

/// Handles operators' calls to a sidecar.
pub(crate) struct SidecarAdminHandler {
    state: Arc<SidecarState>,
    config: Arc<SidecarConfig>,
}

impl SidecarAdminHandler {
    /// Creates a handler for this sidecar.
    pub(crate) fn new(state: Arc<SidecarState>, config: Arc<SidecarConfig>) -> Self {
        Self { state, config }
    }

    fn status(&self) -> Value {
        let load = self.state.read(EndpointCore::load);
        json!({
            "endpoint": &*self.state.endpoint,
            "incarnation": self.state.incarnation,
            "generation": self.config.generation(),
            "load": load,
        })
    }
}

#[async_trait]
impl AdminHandler for SidecarAdminHandler {
    fn ready(&self) -> bool {
        let load = self.state.read(EndpointCore::load);
        load.engine_up && !load.draining
    }

    fn dump(&self) -> Value {
        let snapshot = self.state.read(EndpointCore::snapshot);
        json!({
            "endpoint": &*self.state.endpoint,
            "generation": self.config.generation(),
            "orders": self.state.orders.dump(),
            "decisions": snapshot,
        })
    }

    fn routes(&self) -> &'static [AdminRoute] {
        &[
            AdminRoute {
                method: AdminMethod::Get,
                path: STATUS_PATH,
            },
            AdminRoute {
                method: AdminMethod::Post,
                path: DRAIN_PATH,
            },
            AdminRoute {
                method: AdminMethod::Post,
                path: UNDRAIN_PATH,
            },
        ]
    }

    async fn call(&self, call: AdminCall) -> AdminReply {
        match call.path {
            DRAIN_PATH => {
                self.state.decide(EndpointEvent::Drain(true));
            }
            UNDRAIN_PATH => {
                self.state.decide(EndpointEvent::Drain(false));
            }
            _ => {}
        }
        AdminReply::Json(self.status())
    }
}
