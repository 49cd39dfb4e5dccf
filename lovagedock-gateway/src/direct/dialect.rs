//! Translation to the header names of a platform's callers and endpoints.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::HeaderMap;
use lovagedock::{AdvertisedLimit, PromptParts, RetryAfter, prelude::*};

/// Time before the caller's deadline at which the gateway responds, so that the response arrives in
/// time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(25);

/// Maximum time from a request to its response if neither the caller nor the route sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Reads and writes the headers of one platform.
pub trait HttpDialect: Send + Sync {
    /// Reads the headers of a caller's request.
    fn read_caller(&self, headers: &HeaderMap) -> CallerHead;

    /// Writes the headers of a request to an endpoint.
    fn write_request(&self, outgoing: &OutgoingHead<'_>) -> HeaderMap;

    /// Reads the headers of an endpoint's response.
    fn read_endpoint(&self, headers: &HeaderMap) -> EndpointHead;

    /// Writes a memory command to an engine. Another engine at the same address must reject it: if
    /// the next process there executed the command, it would reserve memory that nobody uses.
    fn write_command(&self, endpoint: &EndpointId, command: &MemoryCommand<'_>) -> CommandRequest;
}

/// A command about an engine's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryCommand<'a> {
    /// Reserves memory, or renews a reservation.
    Reserve {
        /// Name of the reservation.
        reservation: &'a str,
        /// Number of tokens to reserve memory for.
        tokens: TokenCount,
        /// Lifetime of the reservation without renewal.
        ttl: Duration,
    },
    /// Releases the memory.
    Release {
        /// Name of the reservation.
        reservation: &'a str,
    },
}

/// A memory command as an HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandRequest {
    /// Path.
    pub target: &'static str,
    /// Headers in addition to those of every request.
    pub headers: HeaderMap,
    /// JSON body.
    pub body: Bytes,
}

/// An endpoint that prefills a part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperAddress {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Reservation that stores its part of the prompt.
    pub reservation: Option<String>,
}

/// Values from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the request; empty if the caller sent none.
    pub request: String,
    /// API key.
    pub key: Option<String>,
    /// Time within which the caller needs the response.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt: TokenCount,
    /// Maximum number of tokens of the answer.
    pub answer_limit: Option<TokenCount>,
    /// Tokens of the answer that the caller expects.
    pub answer_hint: Option<TokenCount>,
    /// Id of the last event of the stream that the caller already has.
    pub resume_after: Option<String>,
    /// Parts of the prompt that other prompts may share.
    pub parts: PromptParts,
}

/// Expected length of an answer, in tokens, if the caller sends neither a hint nor a limit.
const DEFAULT_ANSWER_TOKENS: TokenCount = 1500;

/// Largest token count that is accepted from a caller, about a million times the longest prompt.
const MAX_TOKENS: TokenCount = 1 << 40;

impl CallerHead {
    /// Returns the same values with bounded token counts, so that sums of them cannot overflow.
    pub(crate) fn with_bounded_tokens(mut self) -> Self {
        let bound = |tokens: Option<TokenCount>| tokens.map(|tokens| tokens.min(MAX_TOKENS));
        self.prompt = self.prompt.min(MAX_TOKENS);
        self.answer_limit = bound(self.answer_limit);
        self.answer_hint = bound(self.answer_hint);
        self
    }

    /// Returns the time from the request's head until the gateway has to respond, for a route with
    /// the given timeout.
    pub(crate) fn time_limit(&self, timeout: Duration) -> Duration {
        let wanted = self.deadline.unwrap_or(DEFAULT_DEADLINE);
        wanted.saturating_sub(RESPONSE_MARGIN).min(timeout)
    }

    /// Returns the expected number of tokens of the answer.
    pub(crate) fn expected_answer(&self) -> TokenCount {
        let expected = self.answer_hint.or(self.answer_limit);
        expected.unwrap_or(DEFAULT_ANSWER_TOKENS)
    }
}

/// Values for the headers of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingHead<'a> {
    /// Headers of the caller's request.
    pub caller: &'a HeaderMap,
    /// Remaining time.
    pub deadline: Duration,
    /// The intended endpoint; another one at its address rejects the request.
    pub endpoint: &'a EndpointId,
    /// Organisation that is billed.
    pub organisation: Option<&'a OrganisationId>,
    /// Event after which the stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Endpoints that prefill parts of the prompt.
    pub helpers: &'a [HelperAddress],
    /// Priority in the endpoint's queue; 0 goes first.
    pub urgency: u8,
}

/// Values from the headers of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHead {
    /// Id of the request to which the response belongs.
    pub request: Option<String>,
    /// Whether the response carries the endpoint's seal, which marks it as the endpoint's own.
    pub sealed: bool,
    /// Whether the endpoint states that the request has not run and will not run.
    pub not_run: bool,
    /// Whether the endpoint is leaving and accepts no new requests.
    pub leaving: bool,
    /// Time for which this gateway must send the endpoint no requests, if the endpoint rejected
    /// this one.
    pub retry_after: RetryAfter,
    /// Address of the endpoint at fault, if it is not the responding one.
    pub at_fault: Option<SocketAddr>,
    /// Rate limit of the endpoint across all gateways.
    pub rate_limit: AdvertisedLimit,
    /// Time for which the endpoint stays cold; zero if it is not, or says nothing of it.
    pub cold_left: Duration,
}
