//! Border to the header names that a platform's callers and endpoints use.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::HeaderMap;
use lovagedock::{AdvertisedLimit, RetryAfter, prelude::*};

/// Reads and writes the headers of one platform.
pub trait HttpDialect: Send + Sync {
    /// What a caller's headers say.
    fn read_caller(&self, headers: &HeaderMap) -> CallerHead;

    /// Headers of a request to an endpoint.
    fn write_request(&self, outgoing: &OutgoingHead<'_>) -> HeaderMap;

    /// What an endpoint's headers say.
    fn read_endpoint(&self, headers: &HeaderMap) -> EndpointHead;

    /// An order to an engine about its memory; another engine at its address refuses it. Carried out by
    /// the next process there, it would set memory aside that nobody uses.
    fn write_command(&self, endpoint: &EndpointId, command: &MemoryCommand<'_>) -> CommandRequest;
}

/// An order about an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryCommand<'a> {
    /// Sets memory aside, or keeps what is set aside for longer.
    Reserve {
        /// Name of the reservation.
        reservation: &'a str,
        /// Tokens.
        tokens: TokenCount,
        /// How long it lasts without another order.
        ttl: Duration,
    },
    /// Gives the memory back.
    Release {
        /// Name of the reservation.
        reservation: &'a str,
    },
}

/// An order as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandRequest {
    /// Path.
    pub target: &'static str,
    /// Headers besides those of every call.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
}

/// An endpoint that reads a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddress {
    /// Where it listens.
    pub address: SocketAddr,
    /// Reservation in which it keeps tokens of the prompt.
    pub reservation: Option<String>,
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request; empty if the caller gave none.
    pub request: String,
    /// API key.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Most tokens of the answer.
    pub answer_limit: Option<TokenCount>,
    /// Tokens of the answer that the caller expects.
    pub answer_hint: Option<TokenCount>,
    /// The caller has the stream up to this event.
    pub resume_after: Option<String>,
}

/// Answer of usual length, in tokens, when the caller gives neither hint nor bound.
const DEFAULT_ANSWER_TOKENS: TokenCount = 1500;

/// Largest token count taken from a caller, about a million times the longest prompt.
const MAX_TOKENS: TokenCount = 1 << 40;

impl CallerHead {
    /// The same with token counts bounded, so that sums of them cannot overflow.
    pub(crate) fn with_bounded_tokens(mut self) -> Self {
        let bound = |tokens: Option<TokenCount>| tokens.map(|tokens| tokens.min(MAX_TOKENS));
        self.prompt = self.prompt.min(MAX_TOKENS);
        self.answer_limit = bound(self.answer_limit);
        self.answer_hint = bound(self.answer_hint);
        self
    }

    /// Tokens that the answer is expected to have.
    pub(crate) fn expected_answer(&self) -> TokenCount {
        let expected = self.answer_hint.or(self.answer_limit);
        expected.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// What goes into the headers of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingHead<'a> {
    /// The caller's headers.
    pub caller: &'a HeaderMap,
    /// Time that is left.
    pub deadline: Duration,
    /// The endpoint that is meant; another one at its address refuses.
    pub endpoint: &'a EndpointId,
    /// Organisation that pays.
    pub organisation: Option<&'a OrganisationId>,
    /// Event after which a stream continues.
    pub resume_after: Option<&'a str>,
    /// Endpoints that read parts of the prompt.
    pub helpers: &'a [HelperAddress],
    /// Place in the endpoint's queue; 0 goes first.
    pub urgency: u8,
}

/// What an endpoint's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHead {
    /// Id of the request that the answer belongs to.
    pub request: Option<String>,
    /// Whether the endpoint vouches for the answer as its own.
    pub sealed: bool,
    /// Whether the endpoint says that the request has not run and will not.
    pub not_run: bool,
    /// Whether the endpoint is leaving and wants no new requests.
    pub leaving: bool,
    /// Time for which the endpoint asks this gateway to send it no requests, if it rejected this one.
    pub retry_after: RetryAfter,
    /// Address of the endpoint at fault, when it is another than the one that answers.
    pub at_fault: Option<SocketAddr>,
    /// Rate limit of the endpoint across all gateways.
    pub rate_limit: AdvertisedLimit,
}
