//! One call to a sidecar, on its own connection.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use lovagedock::{LeaseHolder, OrderAnswer, prelude::*};
use lovagedock_daemon::ProcessClock;
use lovagedock_wire::{EndpointClient, OrderMessage, OrderReply, PeerIdentity, WireError};
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::{connect::Connector, link::LinkTimes};

/// Time limit of an order, including the time that it waits behind others at the sidecar.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30 * 60);

/// One call to a sidecar.
///
/// The call does not use the gateway's session to the endpoint. In a large fleet the holder of a
/// pool's lease has sessions to only a part of the pool.
pub(crate) struct SidecarCall {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
    pub(crate) message: OrderMessage,
    pub(crate) connector: Rc<dyn Connector>,
    pub(crate) identity: PeerIdentity,
    pub(crate) times: LinkTimes,
    pub(crate) holder: Rc<RefCell<LeaseHolder>>,
    pub(crate) clock: ProcessClock,
    pub(crate) log: Logger,
}

impl SidecarCall {
    /// Makes the call and waits for its result.
    pub(crate) async fn run(self) -> OrderAnswer {
        let client = match self.open().await {
            Ok(client) => client,
            Err(error) => {
                info!(self.log, "cannot connect to a sidecar for an order";
                    "endpoint" => &*self.endpoint, "error" => %error);
                return answer_without_report(ResultCode::EndpointUnreachable);
            }
        };
        // The fence is checked only after this incarnation of the sidecar has responded. Connecting
        // may have taken longer than the lease, and a sidecar that has restarted accepts the first
        // epoch that it receives.
        let fence = self.holder.borrow().fence(self.clock.now());
        if fence != Some(self.message.epoch) {
            return answer_without_report(ResultCode::StoreUnavailable);
        }
        let reply = match self.message.order {
            None => client.order(&self.message, self.times.silence).await,
            Some(_) => self.send_order(&client).await,
        };
        match reply {
            Ok(reply) => self.answer(reply),
            Err(error) => {
                warn!(self.log, "result of an order is unknown";
                    "endpoint" => &*self.endpoint, "error" => %error);
                answer_without_report(ResultCode::EndpointLost)
            }
        }
    }

    async fn open(&self) -> Result<EndpointClient, WireError> {
        let limit = self.times.silence;
        let stream = self.connector.connect(self.address, limit).await?;
        let client = EndpointClient::new(stream);
        let welcome = client.hello(&self.identity, limit).await?;
        if welcome.name != *self.endpoint {
            let detail = format!(
                "sidecar of {} responded at the address of {}",
                welcome.name, self.endpoint
            );
            return Err(WireError::Malformed(detail));
        }
        Ok(client)
    }

    /// Sends an order, and heartbeats while the engine loads. The connection may stop responding
    /// like any other, and the sidecar closes sessions without heartbeats.
    async fn send_order(&self, client: &EndpointClient) -> Result<OrderReply, WireError> {
        let order = client.order(&self.message, ORDER_TIMEOUT);
        tokio::pin!(order);
        let mut sequence = 0;
        loop {
            tokio::select! {
                reply = &mut order => return reply,
                () = sleep(self.times.heartbeat) => {
                    sequence += 1;
                    let generation = self.identity.generation;
                    client.heartbeat(sequence, generation, self.times.silence).await?;
                }
            }
        }
    }

    fn answer(&self, reply: OrderReply) -> OrderAnswer {
        if let Some(order) = &self.message.order {
            info!(self.log, "order ended"; "endpoint" => &*self.endpoint,
                "epoch" => self.message.epoch, "order" => format!("{order:?}"),
                "code" => reply.code.number(), "detail" => &reply.detail);
        }
        OrderAnswer {
            code: reply.code,
            report: Some(reply.report),
        }
    }
}

fn answer_without_report(code: ResultCode) -> OrderAnswer {
    OrderAnswer { code, report: None }
}
