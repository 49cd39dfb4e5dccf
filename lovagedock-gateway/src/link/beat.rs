//! Heartbeats of one session.

use std::{rc::Rc, time::Duration};

use lovagedock::prelude::*;
use lovagedock_wire::{ConfigMessage, WireError};

use super::LinkSession;
use crate::context::GatewayContext;

/// Sends heartbeats and feeds configuration on one session.
pub(super) struct SessionBeater {
    /// Endpoint at the other end.
    pub(super) endpoint: EndpointId,
    /// What all parts of the gateway share.
    pub(super) context: Rc<GatewayContext>,
    /// Time without an answer after which the session is lost.
    pub(super) silence: Duration,
}

impl SessionBeater {
    /// Sends one heartbeat.
    pub(super) async fn beat(&self, session: &LinkSession, sequence: u64) -> Result<(), WireError> {
        let generation = self.context.generation();
        let limit = self.silence;
        let fleet = &self.context.fleet;
        fleet.heartbeat_sent(&self.endpoint);
        let load = session
            .client
            .heartbeat(sequence, generation, limit)
            .await?;
        let lacking = load.generation < generation;
        fleet.report(&self.endpoint, self.context.clock.now(), &load);
        if lacking {
            self.feed(session).await?;
        }
        Ok(())
    }

    /// Hands the configuration in force to a sidecar that has an older one.
    async fn feed(&self, session: &LinkSession) -> Result<(), WireError> {
        let active = self.context.config.load_full();
        let message = ConfigMessage {
            generation: active.generation,
            config: active.text.clone(),
        };
        session.client.configure(&message, self.silence).await?;
        Ok(())
    }
}
