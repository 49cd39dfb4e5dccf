//! Heartbeats of one session.

use std::{rc::Rc, time::Duration};

use lovagedock::prelude::*;
use lovagedock_wire::{ConfigMessage, WireError};

use super::LinkSession;
use crate::context::GatewayContext;

/// Sends heartbeats and configurations on one session.
pub(super) struct HeartbeatSender {
    /// Endpoint at the other end.
    pub(super) endpoint: EndpointId,
    /// Shared state of the gateway.
    pub(super) context: Rc<GatewayContext>,
    /// Time without a response after which the session is lost.
    pub(super) silence: Duration,
}

impl HeartbeatSender {
    /// Sends one heartbeat, and the configuration if the sidecar has an older one.
    pub(super) async fn send(&self, session: &LinkSession, sequence: u64) -> Result<(), WireError> {
        let generation = self.context.generation();
        let limit = self.silence;
        let fleet = &self.context.fleet;
        fleet.record_heartbeat_sent(&self.endpoint);
        let load = session
            .client
            .heartbeat(sequence, generation, limit)
            .await?;
        let is_outdated = load.generation < generation;
        fleet.record_load_report(&self.endpoint, self.context.clock.now(), &load);
        if is_outdated {
            self.send_config(session).await?;
        }
        Ok(())
    }

    /// Sends the configuration in force.
    async fn send_config(&self, session: &LinkSession) -> Result<(), WireError> {
        let active = self.context.config.load_full();
        let message = ConfigMessage {
            generation: active.generation,
            config: active.text.clone(),
        };
        session.client.configure(&message, self.silence).await?;
        Ok(())
    }
}
