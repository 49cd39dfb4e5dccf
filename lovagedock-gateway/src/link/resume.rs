//! Receives the rest of an answer after its session was lost.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use lovagedock::AttemptKey;
use lovagedock_wire::{EndpointClient, PeerIdentity, WireError};
use tokio::time::sleep;

use super::{
    LinkTimes,
    message::{AttemptEvent, AttemptSender},
    open_client,
    receive::AttemptReceiver,
};
use crate::connect::Connector;

/// Receives the rest of one answer on its own connection.
pub(super) struct ResumedAnswer {
    /// Opens connections.
    pub(super) connector: Rc<dyn Connector>,
    /// How this gateway introduces itself.
    pub(super) identity: PeerIdentity,
    /// Address of the sidecar.
    pub(super) address: SocketAddr,
    /// Intervals and timeouts.
    pub(super) times: LinkTimes,
    /// Destination of the answer.
    pub(super) events: AttemptSender,
}

impl ResumedAnswer {
    /// Resumes the answer and receives it until its end.
    pub(super) async fn run(self, key: AttemptKey, offset: u64) {
        let receiver = AttemptReceiver::new(self.events.clone());
        let ended = Rc::clone(&receiver.ended);
        match self.open(key, offset, receiver).await {
            Ok(None) => {
                self.events
                    .send(AttemptEvent::Resumed { found: false })
                    .await
            }
            Ok(Some(client)) => {
                self.events
                    .send(AttemptEvent::Resumed { found: true })
                    .await;
                self.send_heartbeats(&client, key, &ended).await;
            }
            Err(_) => self.events.send(AttemptEvent::ResumeFailed).await,
        }
    }

    async fn open(
        &self,
        key: AttemptKey,
        offset: u64,
        receiver: AttemptReceiver,
    ) -> Result<Option<EndpointClient>, WireError> {
        let limit = self.times.silence;
        let client = open_client(&*self.connector, self.address, limit).await?;
        let welcome = client.hello(&self.identity, limit).await?;
        if welcome.incarnation != key.incarnation {
            return Ok(None);
        }
        let found = client.resume(key, offset, receiver, limit).await?;
        Ok(found.then_some(client))
    }

    /// Sends heartbeats until the answer ends: this connection, too, may stop responding.
    async fn send_heartbeats(&self, client: &EndpointClient, key: AttemptKey, ended: &Cell<bool>) {
        let mut sequence = 0;
        while !ended.get() && !self.events.sender.is_closed() {
            sleep(self.times.heartbeat).await;
            sequence += 1;
            let heartbeat =
                client.heartbeat(sequence, self.identity.generation, self.times.silence);
            if heartbeat.await.is_err() && !ended.get() {
                let incarnation = key.incarnation;
                self.events.send(AttemptEvent::Lost { incarnation }).await;
                return;
            }
        }
    }
}
