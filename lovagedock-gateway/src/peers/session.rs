//! Handles the calls of another gateway.

use std::{cell::RefCell, rc::Rc};

use lovagedock::{
    ConfigBundle, PartUpdate, PullAnswer, SuspectUpdate, UsageAck, UsageReport, prelude::*,
};
use lovagedock_wire::{PeerHandler, PeerIdentity};

use super::clients::identity;
use crate::{
    context::GatewayContext, limits::OrganisationLimiter, relay::ConfigRelay,
    suspects::SuspectTracker,
};

/// One session that another gateway opened.
pub(super) struct PeerSession {
    context: GatewayContext,
    limits: OrganisationLimiter,
    suspects: SuspectTracker,
    relay: Rc<ConfigRelay>,
    /// Name of the gateway at the other end, once it has introduced itself.
    peer: RefCell<Option<GatewayId>>,
}

impl PeerSession {
    /// Creates a session of a gateway that has not introduced itself.
    pub(super) fn new(
        context: GatewayContext,
        limits: OrganisationLimiter,
        suspects: SuspectTracker,
        relay: Rc<ConfigRelay>,
    ) -> Self {
        Self {
            context,
            limits,
            suspects,
            relay,
            peer: RefCell::new(None),
        }
    }

    fn peer(&self) -> Option<GatewayId> {
        self.peer.borrow().clone()
    }
}

impl PeerHandler for PeerSession {
    fn hello(&self, peer: PeerIdentity) -> PeerIdentity {
        let name = GatewayId::from(peer.name);
        let now = self.context.clock.now();
        self.limits
            .record_connection(now, name.clone(), peer.incarnation);
        self.peer.replace(Some(name.clone()));
        self.relay.record_peer_generation(name, peer.generation);
        identity(&self.context)
    }

    fn push(&self, bundle: ConfigBundle) -> Generation {
        match self.peer() {
            Some(peer) => self.relay.handle_push(peer, bundle),
            None => self.context.adoption.load().generation,
        }
    }

    fn offer(&self, generation: Generation) {
        if let Some(peer) = self.peer() {
            self.relay.record_peer_generation(peer, generation);
        }
    }

    fn pull(&self, above: Generation) -> PullAnswer {
        self.relay.answer_pull(above)
    }

    fn usage(&self, report: UsageReport) -> Option<UsageAck> {
        let peer = self.peer()?;
        self.limits
            .handle_report(self.context.clock.now(), peer, report)
    }

    fn suspects(&self, updates: Vec<SuspectUpdate>) {
        self.suspects
            .apply_updates(self.context.clock.now(), updates);
    }

    fn parts(&self, updates: Vec<PartUpdate>) {
        self.suspects
            .apply_part_updates(self.context.clock.now(), updates);
    }
}
