//! Opens connections for links and peers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_trait::async_trait;
use lovagedock_daemon::Transport;
use lovagedock_wire::{WireError, WireStream};
use tokio::time::timeout;

/// Opens connections to sidecars and other gateways.
#[async_trait(?Send)]
pub(crate) trait Connector {
    /// Opens a connection within a time limit.
    async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Box<dyn WireStream>, WireError>;
}

/// Creates connectors. They are not `Send`, so each thread creates its own.
#[derive(Clone)]
pub(crate) struct ConnectorFactory {
    transport: Transport,
}

impl ConnectorFactory {
    /// Creates a factory of connectors over this transport.
    pub(crate) fn new(transport: Transport) -> Self {
        Self { transport }
    }

    /// Creates a connector.
    pub(crate) fn connector(&self) -> Rc<dyn Connector> {
        Rc::new(TransportConnector {
            transport: self.transport.clone(),
        })
    }
}

struct TransportConnector {
    transport: Transport,
}

#[async_trait(?Send)]
impl Connector for TransportConnector {
    async fn connect(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Box<dyn WireStream>, WireError> {
        match timeout(limit, self.transport.connect(address)).await {
            Ok(Ok(stream)) => Ok(Box::new(stream)),
            Ok(Err(error)) => Err(WireError::Disconnected(error.to_string())),
            Err(_) => Err(WireError::TimedOut),
        }
    }
}
