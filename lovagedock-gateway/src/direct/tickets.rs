//! Memory that is reserved on engines for prompts larger than one of them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST, HeaderValue},
};
use lovagedock::{EndpointProcess, prelude::*};
use slog::{Logger, info, warn};
use tokio::{task::JoinHandle, time::sleep};

use super::{
    dialect::{HttpDialect, MemoryOrder},
    exchange::EndpointConnection,
    liveness::LivenessWatch,
};

/// How long a reservation lasts without renewal. Whatever becomes of the gateway or of an order
/// that is carried out seconds late, the memory is free again after this; operators bear four
/// seconds.
const HOLD_TIME: Duration = Duration::from_millis(3500);

/// Time between renewals: three may be lost before the reservation lapses.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// Whether the engine that has a request is known to live, so that its helpers keep their memory.
///
/// Renewed without that, the memory is kept for a request that ended with its engine. After the engine was
/// not seen once, only what it sends proves that it still has the request: the next process at its address
/// takes connections as well.
struct LeadProof {
    watch: LivenessWatch,
    missed_at: Option<Timestamp>,
}

impl LeadProof {
    async fn holds(&mut self) -> bool {
        if let Some(missed_at) = self.missed_at {
            return self.watch.heard_since(missed_at);
        }
        let now = self.watch.now();
        let is_there = self.watch.is_there().await;
        self.missed_at = (!is_there).then_some(now);
        is_there
    }
}

/// Time for the answer to an order; an engine takes a few milliseconds.
const ORDER_TIME: Duration = Duration::from_millis(300);

/// Times that a release is sent; after that the reservation lapses by itself.
const RELEASE_TRIES: usize = 3;

/// A reservation that is wanted.
#[derive(Clone, Debug)]
pub(crate) struct WantedTicket {
    /// The engine.
    pub(crate) endpoint: EndpointProcess,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Tokens.
    pub(crate) tokens: TokenCount,
}

/// Reservations of one attempt; they are renewed until it is dropped, and then released.
pub(crate) struct TicketHold {
    desk: TicketDesk,
    tickets: Vec<Ticket>,
    renewal: Option<JoinHandle<()>>,
}

#[derive(Clone, Debug)]
struct Ticket {
    name: String,
    wanted: WantedTicket,
}

/// Sends orders about memory.
#[derive(Clone)]
pub(crate) struct TicketDesk {
    dialect: Arc<dyn HttpDialect>,
    log: Logger,
}

/// An engine did not reserve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotReserved {
    /// The engine.
    pub(crate) endpoint: EndpointProcess,
}

impl TicketDesk {
    /// A desk.
    pub(crate) fn new(dialect: Arc<dyn HttpDialect>, log: Logger) -> Self {
        Self { dialect, log }
    }

    /// Reserves on all engines or on none.
    pub(crate) async fn reserve(
        &self,
        wanted: Vec<WantedTicket>,
        lead: LivenessWatch,
    ) -> Result<TicketHold, NotReserved> {
        let tickets = wanted.into_iter().map(|wanted| Ticket {
            // A name of its own for each attempt: two requests must never use one reservation.
            name: format!("{:016x}", rand::random::<u64>()),
            wanted,
        });
        // Made before the first order is sent, so that each is released, also if its answer was
        // lost or the caller left meanwhile.
        let mut hold = TicketHold {
            desk: self.clone(),
            tickets: tickets.collect(),
            renewal: None,
        };
        let orders = hold.tickets.iter().map(|ticket| self.order(ticket, true));
        let granted = futures::future::join_all(orders).await;
        let refused = granted.iter().position(|granted| !granted);
        if let Some(index) = refused {
            let endpoint = hold.tickets[index].wanted.endpoint.clone();
            info!(self.log, "memory not reserved"; "endpoint" => %endpoint,
                "tokens" => hold.tickets[index].wanted.tokens);
            return Err(NotReserved { endpoint });
        }
        if hold.tickets.is_empty() {
            return Ok(hold);
        }
        let proof = LeadProof {
            watch: lead,
            missed_at: None,
        };
        let renewal = self.clone().renew(hold.tickets.clone(), proof);
        hold.renewal = Some(tokio::spawn(renewal));
        Ok(hold)
    }

    async fn renew(self, tickets: Vec<Ticket>, mut lead: LeadProof) {
        loop {
            sleep(RENEW_INTERVAL).await;
            if !lead.holds().await {
                warn!(self.log, "memory not renewed, the engine that has the request is not seen";
                    "endpoint" => %lead.watch.endpoint());
                continue;
            }
            let orders = tickets.iter().map(|ticket| self.order(ticket, true));
            let granted = futures::future::join_all(orders).await;
            for (ticket, _) in tickets.iter().zip(granted).filter(|(_, granted)| !granted) {
                warn!(self.log, "memory not renewed"; "endpoint" => %ticket.wanted.endpoint);
            }
        }
    }

    async fn release(self, tickets: Vec<Ticket>) {
        let releases = tickets.iter().map(async |ticket| {
            for _ in 0..RELEASE_TRIES {
                if self.order(ticket, false).await {
                    return;
                }
            }
            warn!(self.log, "memory not released, it lapses by itself";
                "endpoint" => %ticket.wanted.endpoint);
        });
        futures::future::join_all(releases).await;
    }

    async fn order(&self, ticket: &Ticket, reserve: bool) -> bool {
        let order = match reserve {
            true => MemoryOrder::Reserve {
                ticket: &ticket.name,
                tokens: ticket.wanted.tokens,
                hold: HOLD_TIME,
            },
            false => MemoryOrder::Release {
                ticket: &ticket.name,
            },
        };
        let endpoint = &ticket.wanted.endpoint.id;
        let call = self.dialect.write_order(endpoint, &order);
        let mut request = Request::new(Full::<Bytes>::new(call.body));
        *request.method_mut() = Method::POST;
        if let Ok(target) = call.target.parse() {
            *request.uri_mut() = target;
        }
        let headers = request.headers_mut();
        headers.extend(call.headers);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&ticket.wanted.address.to_string()) {
            headers.insert(HOST, host);
        }
        let Ok(connection) = EndpointConnection::open(ticket.wanted.address).await else {
            return false;
        };
        let answer = connection.send(request, sleep(ORDER_TIME)).await;
        answer.is_ok_and(|answer| answer.response.status().as_u16() == 200)
    }
}

impl TicketHold {
    /// Names of the reservations, in the order in which they were wanted.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.tickets.iter().map(|ticket| ticket.name.as_str())
    }
}

impl Drop for TicketHold {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if self.tickets.is_empty() {
            return;
        }
        let tickets = std::mem::take(&mut self.tickets);
        tokio::spawn(self.desk.clone().release(tickets));
    }
}
