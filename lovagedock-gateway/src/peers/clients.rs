//! Sessions to other gateways, opened on demand.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use lovagedock::{ProcessId, prelude::*};
use lovagedock_wire::{PROTOCOL_VERSION, PeerClient, PeerIdentity, WireError};

use super::CALL_TIMEOUT;
use crate::{
    connect::Connector, context::GatewayContext, limits::OrganisationLimiter, relay::seed_name,
};

/// Age at which a session is replaced. The other end closes it at twice this age.
const MAX_CLIENT_AGE: Duration = Duration::from_secs(30);

/// Sessions that this gateway opened; used on the peer thread only.
pub(crate) struct PeerClients {
    context: GatewayContext,
    limits: OrganisationLimiter,
    connector: Rc<dyn Connector>,
    seeds: HashMap<ProcessId, SocketAddr>,
    open: RefCell<HashMap<ProcessId, OpenClient>>,
}

#[derive(Clone)]
struct OpenClient {
    address: SocketAddr,
    opened_at: Timestamp,
    client: Rc<PeerClient>,
}

impl PeerClients {
    /// Creates a table without sessions. The peers in `seeds` are named by their addresses.
    pub(crate) fn new(
        context: GatewayContext,
        limits: OrganisationLimiter,
        connector: Rc<dyn Connector>,
        seeds: &[SocketAddr],
    ) -> Self {
        let seeds = seeds.iter().map(|address| (seed_name(address), *address));
        Self {
            context,
            limits,
            connector,
            seeds: seeds.collect(),
            open: RefCell::default(),
        }
    }

    /// Makes a call on the session to a peer, which is opened if necessary.
    ///
    /// A session may have stopped responding while new ones work. The call then fails with a
    /// timeout, and the session is discarded so that a retry opens another.
    pub(crate) async fn call<T>(
        &self,
        peer: &ProcessId,
        call: impl AsyncFnOnce(&PeerClient) -> Result<T, WireError>,
    ) -> Result<T, WireError> {
        let client = self.client(peer).await?;
        let result = call(&client).await;
        if result.is_err() {
            self.discard_session(peer, &client);
        }
        result
    }

    async fn client(&self, peer: &ProcessId) -> Result<Rc<PeerClient>, WireError> {
        let address = self.address_of(peer)?;
        let known = self.open.borrow().get(peer).cloned();
        let now = self.context.clock.now();
        let is_reusable = |open: &OpenClient| {
            open.address == address && now.saturating_sub(open.opened_at) < MAX_CLIENT_AGE
        };
        if let Some(open) = known.filter(is_reusable) {
            return Ok(open.client);
        }
        let client = Rc::new(self.connect(address).await?);
        let open = OpenClient {
            address,
            opened_at: now,
            client: Rc::clone(&client),
        };
        self.open.borrow_mut().insert(peer.clone(), open);
        Ok(client)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient, WireError> {
        let stream = self.connector.connect(address, CALL_TIMEOUT).await?;
        let client = PeerClient::new(stream);
        let welcome = client.hello(&identity(&self.context), CALL_TIMEOUT).await?;
        let now = self.context.clock.now();
        self.limits
            .record_connection(now, welcome.name.into(), welcome.incarnation);
        Ok(client)
    }

    fn discard_session(&self, peer: &ProcessId, client: &Rc<PeerClient>) {
        let mut open = self.open.borrow_mut();
        let is_same_client = |open: &OpenClient| Rc::ptr_eq(&open.client, client);
        if open.get(peer).is_some_and(is_same_client) {
            open.remove(peer);
        }
    }

    fn address_of(&self, peer: &ProcessId) -> Result<SocketAddr, WireError> {
        let active = self.context.config.load();
        let mut gateways = active.fleet.gateways.iter();
        let named = gateways.find(|gateway| gateway.id == *peer);
        let named = named.map(|gateway| gateway.peer_address);
        let address = named.or_else(|| self.seeds.get(peer).copied());
        address.ok_or_else(|| WireError::Disconnected("not in the configuration".to_owned()))
    }
}

/// How this gateway introduces itself.
pub(super) fn identity(context: &GatewayContext) -> PeerIdentity {
    PeerIdentity {
        version: PROTOCOL_VERSION,
        name: context.name.to_string(),
        incarnation: context.incarnation,
        generation: context.adoption.load().generation,
        // Only sidecars compare fleets.
        fleet: None,
    }
}
