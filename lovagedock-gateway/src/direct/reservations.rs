//! Reserves memory on engines for prompts that are larger than one engine's memory.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use lovagedock::{EndpointProcess, prelude::*};
use slog::{Logger, info, warn};
use tokio::{task::JoinHandle, time::sleep};

use super::{
    dialect::{HttpDialect, MemoryCommand},
    exchange::EndpointConnection,
    liveness::LivenessWatch,
    request_body::RequestBody,
};

/// Lifetime of a reservation without renewal. Whatever happens to the gateway, or to a command that
/// is executed seconds late, the memory is free again after this time. Operators tolerate four
/// seconds.
const RESERVATION_TTL: Duration = Duration::from_millis(3500);

/// Time between renewals. Three renewals may be lost before the reservation expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Checks that the engine that leads a request is alive, so that its helpers keep their memory.
///
/// Without this check, memory would be kept for a request that ended with its engine. After the
/// engine was unresponsive once, only data that it sends proves that it still has the request,
/// since the next process at its address also accepts connections.
struct LeadLiveness {
    watch: LivenessWatch,
    unresponsive_at: Option<Timestamp>,
}

impl LeadLiveness {
    async fn is_confirmed(&mut self) -> bool {
        if let Some(unresponsive_at) = self.unresponsive_at {
            return self.watch.was_active_since(unresponsive_at);
        }
        let now = self.watch.now();
        let is_alive = self.watch.is_alive().await;
        self.unresponsive_at = (!is_alive).then_some(now);
        is_alive
    }
}

/// Time limit for the response to a command. An engine takes a few milliseconds.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of times that a release is sent. After that, the reservation expires by itself.
const RELEASE_ATTEMPTS: usize = 3;

/// A requested reservation.
#[derive(Clone, Debug)]
pub(crate) struct ReservationRequest {
    /// Process of the engine that reserves the memory.
    pub(crate) endpoint: EndpointProcess,
    /// Address of the engine.
    pub(crate) address: SocketAddr,
    /// Number of tokens to reserve memory for.
    pub(crate) tokens: TokenCount,
}

/// Reservations of one attempt. They are renewed until this is dropped, and then released.
pub(crate) struct ReservationGuard {
    client: ReservationClient,
    reservations: Vec<Reservation>,
    renewal: Option<JoinHandle<()>>,
}

#[derive(Clone, Debug)]
struct Reservation {
    name: String,
    request: ReservationRequest,
}

/// Sends memory commands to engines.
#[derive(Clone)]
pub(crate) struct ReservationClient {
    dialect: Arc<dyn HttpDialect>,
    log: Logger,
}

/// An engine did not grant a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReservationRefused {
    /// The engine.
    pub(crate) endpoint: EndpointProcess,
}

impl ReservationClient {
    /// Creates a client.
    pub(crate) fn new(dialect: Arc<dyn HttpDialect>, log: Logger) -> Self {
        Self { dialect, log }
    }

    /// Reserves memory on all engines or on none.
    pub(crate) async fn reserve(
        &self,
        requests: Vec<ReservationRequest>,
        lead: LivenessWatch,
    ) -> Result<ReservationGuard, ReservationRefused> {
        let reservations = requests.into_iter().map(|request| Reservation {
            // Each attempt uses a new name, since two requests must never share a reservation.
            name: format!("{:016x}", rand::random::<u64>()),
            request,
        });
        // Created before the first command is sent, so that each reservation is released even if a
        // response is lost or the caller disconnects meanwhile.
        let mut guard = ReservationGuard {
            client: self.clone(),
            reservations: reservations.collect(),
            renewal: None,
        };
        let commands = guard
            .reservations
            .iter()
            .map(|reservation| self.send_command(reservation, true));
        let granted = futures::future::join_all(commands).await;
        let refused = granted.iter().position(|granted| !granted);
        if let Some(index) = refused {
            let endpoint = guard.reservations[index].request.endpoint.clone();
            info!(self.log, "memory not reserved"; "endpoint" => %endpoint,
                "tokens" => guard.reservations[index].request.tokens);
            return Err(ReservationRefused { endpoint });
        }
        if guard.reservations.is_empty() {
            return Ok(guard);
        }
        let liveness = LeadLiveness {
            watch: lead,
            unresponsive_at: None,
        };
        let renewal = self.clone().renew(guard.reservations.clone(), liveness);
        guard.renewal = Some(tokio::spawn(renewal));
        Ok(guard)
    }

    async fn renew(self, reservations: Vec<Reservation>, mut lead: LeadLiveness) {
        loop {
            sleep(RENEW_INTERVAL).await;
            if !lead.is_confirmed().await {
                warn!(self.log, "memory not renewed, the engine that has the request is not seen";
                    "endpoint" => %lead.watch.endpoint());
                continue;
            }
            let commands = reservations
                .iter()
                .map(|reservation| self.send_command(reservation, true));
            let granted = futures::future::join_all(commands).await;
            for (reservation, _) in reservations
                .iter()
                .zip(granted)
                .filter(|(_, granted)| !granted)
            {
                warn!(self.log, "memory not renewed"; "endpoint" => %reservation.request.endpoint);
            }
        }
    }

    async fn release(self, reservations: Vec<Reservation>) {
        let releases = reservations.iter().map(async |reservation| {
            for _ in 0..RELEASE_ATTEMPTS {
                if self.send_command(reservation, false).await {
                    return;
                }
            }
            warn!(self.log, "memory not released, the reservation expires by itself";
                "endpoint" => %reservation.request.endpoint);
        });
        futures::future::join_all(releases).await;
    }

    async fn send_command(&self, reservation: &Reservation, reserve: bool) -> bool {
        let command = match reserve {
            true => MemoryCommand::Reserve {
                reservation: &reservation.name,
                tokens: reservation.request.tokens,
                ttl: RESERVATION_TTL,
            },
            false => MemoryCommand::Release {
                reservation: &reservation.name,
            },
        };
        let endpoint = &reservation.request.endpoint.id;
        let command_request = self.dialect.write_command(endpoint, &command);
        let mut request =
            Request::new(RequestBody::from_vec(command_request.body.to_vec()).to_outgoing());
        *request.method_mut() = Method::POST;
        if let Ok(target) = command_request.target.parse() {
            *request.uri_mut() = target;
        }
        let headers = request.headers_mut();
        headers.extend(command_request.headers);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&reservation.request.address.to_string()) {
            headers.insert(HOST, host);
        }
        let Ok(connection) = EndpointConnection::open(reservation.request.address).await else {
            return false;
        };
        let response = connection.send(request, sleep(COMMAND_TIMEOUT)).await;
        response.is_ok_and(|response| response.message.status().as_u16() == 200)
    }
}

impl ReservationGuard {
    /// Returns the names of the reservations, in the order of the requests.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.reservations
            .iter()
            .map(|reservation| reservation.name.as_str())
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if self.reservations.is_empty() {
            return;
        }
        let reservations = std::mem::take(&mut self.reservations);
        tokio::spawn(self.client.clone().release(reservations));
    }
}
