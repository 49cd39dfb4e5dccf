//! Input and output of placement.

use std::time::Duration;

use super::{
    endpoints::DirectEndpoint, load::CombinedLoad, member::LATE_LOSS, team_bookings::BookedTeam,
};
use crate::ids::TokenCount;

/// Properties of a request that placement takes into account.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectRequest {
    /// Tokens of the prompt; 0 for a plain request.
    pub prompt: TokenCount,
    /// Expected tokens of the response.
    pub answer: TokenCount,
    /// Time left until the first event is late.
    pub objective_left: Duration,
    /// Longest gap between events that the caller expects.
    pub gap: Option<Duration>,
    /// Whether the caller retries a request that was refused before. Such a returning request gets
    /// only capacity that other requests leave.
    pub returned: bool,
    /// Whether an engine process ended while it ran the request, see
    /// [`SuspectLedger`](super::SuspectLedger).
    pub suspect: bool,
    /// Endpoints that are booked for the request, see [`TeamBookings`](super::TeamBookings).
    pub booked: Option<BookedTeam>,
}

/// Prompt tokens that add 1 to the value of a request, which is 1 for an empty prompt. Callers of
/// long prompts have invested more work and lose more. The figure gives a summary of 5k tokens, a
/// history of 45k and a dossier of 210k the values 1.5, 5.5 and 22, close to the 1.3, 3.1 and 22
/// that our operators assign.
const TOKENS_PER_VALUE: f64 = 10_000.0;

impl DirectRequest {
    /// Returns the value of serving the request on time.
    pub fn value(&self) -> f64 {
        Self::value_of(self.prompt)
    }

    /// Returns the value of serving a prompt of this length on time.
    pub(super) fn value_of(prompt: TokenCount) -> f64 {
        1.0 + prompt as f64 / TOKENS_PER_VALUE
    }

    /// Returns the value that is left when the request is served late.
    pub(super) fn late_value(&self) -> f64 {
        self.value() * (1.0 - LATE_LOSS)
    }

    /// Returns the tokens that the request occupies in engine memory until it ends.
    pub fn memory(&self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// Endpoints chosen for a request, with the prediction behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectChoice {
    /// Index of the endpoint that generates the response.
    pub lead: usize,
    /// Endpoints that prefill parts of the prompt.
    pub helpers: Vec<HelperPart>,
    /// Prefill time of each part.
    pub part_prefill_time: Duration,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Longest time until one of the chosen endpoints has finished the prefills placed on it
    /// earlier.
    pub backlog: Duration,
    /// Number of endpoints that were about equally good when the lead was drawn among them; 1 without
    /// a draw.
    pub alternatives: usize,
    /// Value that is expected to be lost, by this request if it is late and by others that it
    /// delays.
    pub lost_value: f64,
    /// Value that is expected to be lost by others.
    pub delayed_value: f64,
    /// Total loss of the choice: the lost value and further costs that only rank choices.
    pub loss: f64,
}

/// Maximum backlog with which a late request is still started. Up to this, the delay is caused by
/// the request itself.
pub(super) const MAX_LATE_BACKLOG: Duration = Duration::from_millis(300);

/// Share of its booked endpoints with which a request is started after its usual waiting time.
const MIN_TEAM_SHARE: f64 = 2.0 / 3.0;

/// Lost value up to which a choice is accepted at once. Above it, a request first waits for a
/// better choice. The bound is about half of the loss of one late short request.
const IMMEDIATE_LOSS: f64 = 0.4;

/// Additional lost value that is accepted at the end of a request's waiting time, as a share of the
/// request's value.
const WAITED_LOSS_SHARE: f64 = 0.3;

impl DirectChoice {
    /// Returns whether to accept the choice instead of waiting for a better one. `waited` is the
    /// share of its waiting time that the request has used.
    ///
    /// If the accepted loss did not grow, long prompts would all wait for an engine without writers
    /// while every engine has a few. The longer they wait, the more of them accumulate, and engine
    /// capacity stays unused.
    pub fn is_acceptable(&self, request: &DirectRequest, waited: f64) -> bool {
        self.lost_value <= IMMEDIATE_LOSS + WAITED_LOSS_SHARE * request.value() * waited
    }

    /// Returns whether the choice has the endpoints that are booked for the request, so that it is
    /// started even if it is late. `waited` is the share of its usual waiting time that the request
    /// has used; after this time, most of the endpoints suffice.
    pub fn fills_booking(&self, request: &DirectRequest, waited: f64) -> bool {
        let Some(BookedTeam { width, .. }) = request.booked else {
            return false;
        };
        let min_team = match waited < 1.0 {
            true => width as f64,
            false => width as f64 * MIN_TEAM_SHARE,
        };
        let team = 1 + self.helpers.len();
        team as f64 >= min_team
            && self.backlog <= MAX_LATE_BACKLOG
            && self.delayed_value <= IMMEDIATE_LOSS + WAITED_LOSS_SHARE * request.value()
    }
}

/// An endpoint that prefills a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperPart {
    /// Index among the candidates.
    pub index: usize,
    /// Prompt tokens that the endpoint also keeps in its memory, which has to be reserved; 0 for a
    /// helper that hands over all of its part.
    pub kept: TokenCount,
}

/// An endpoint that may be chosen.
#[derive(Clone, Debug)]
pub struct PlacerCandidate<'a> {
    /// The endpoint, borrowed. When candidates were copied for each evaluation, with their writers
    /// on the heap, an evaluation took 106 us with 68 gateways and 172 endpoints; it takes 55 us
    /// now (short prompt, `examples/direct_cost`).
    pub endpoint: &'a DirectEndpoint,
    /// Combined load of the endpoint.
    pub load: CombinedLoad,
    /// Position in the order of all endpoints of the service, from 0 to 1.
    pub rank: f64,
    /// Whether the endpoint is reserved for short prompts.
    pub short_lane: bool,
    /// Whether the endpoint is kept from this request for booked teams of other long prompts.
    pub is_kept: bool,
    /// Whether the endpoint may prefill parts of prompts whose responses another endpoint
    /// generates.
    pub may_help: bool,
    /// Random number from 0 to 1 for this evaluation. It keeps gateways that place at the same time
    /// from all choosing the same endpoint.
    pub draw: f64,
}
