//! What placement is asked and what it answers.

use std::time::Duration;

use super::{endpoints::DirectEndpoint, load::CombinedLoad, member::LATE_LOSS};
use crate::ids::TokenCount;

/// What placement knows of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectRequest {
    /// Tokens of the prompt; 0 for a plain request.
    pub prompt: TokenCount,
    /// Expected tokens of the answer.
    pub answer: TokenCount,
    /// Time left until the first event is late.
    pub objective_left: Duration,
    /// Longest pause between events that the caller expects.
    pub gap: Option<Duration>,
    /// Whether it was refused before; it gets only what others leave.
    pub returned: bool,
    /// Whether a process ended under it, see [`SuspectLedger`](super::SuspectLedger).
    pub suspect: bool,
}

/// Prompt tokens that double the value of a request. Callers of long prompts have waited for more
/// work and lose more: the figure puts a summary of 5k tokens, a history of 45k and a dossier of
/// 210k at 1.5, 5.5 and 22, close to the 1.3, 3.1 and 22 at which our operators put them.
const TOKENS_PER_VALUE: f64 = 10_000.0;

impl DirectRequest {
    /// What it is worth to serve the request on time.
    pub fn value(&self) -> f64 {
        Self::value_of(self.prompt)
    }

    /// What it is worth to serve a prompt of this length on time.
    pub(super) fn value_of(prompt: TokenCount) -> f64 {
        1.0 + prompt as f64 / TOKENS_PER_VALUE
    }

    /// What it is still worth to serve the request late.
    pub(super) fn late_value(&self) -> f64 {
        self.value() * (1.0 - LATE_LOSS)
    }

    /// Tokens that it keeps in engines' memory until it ends.
    pub fn memory(&self) -> TokenCount {
        self.prompt + self.answer
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectChoice {
    /// Index of the endpoint that answers.
    pub lead: usize,
    /// Endpoints that read parts of the prompt.
    pub helpers: Vec<HelperPart>,
    /// Reading time of each part.
    pub part_time: Duration,
    /// Predicted time to the first event.
    pub first_event: Duration,
    /// Longest time until one of the endpoints has read what is there already.
    pub backlog: Duration,
    /// Value that is expected to be lost: by this request if it is late, by others that it delays.
    pub lost_value: f64,
    /// Harm and what else speaks against the choice.
    pub loss: f64,
}

/// Loss up to which a place is taken at once. Above it a request waits a moment for a better one:
/// it is about half a short request that comes late.
const IMMEDIATE_LOSS: f64 = 0.4;

/// Loss that is taken besides at the end of a request's patience, as a share of its value.
const WAITED_LOSS_SHARE: f64 = 0.3;

impl DirectChoice {
    /// Whether to take the place rather than wait for a better one; `waited` is the part of its
    /// patience that the request has used.
    ///
    /// The load that it answers: engines with a few writers each, and long prompts that all wait until
    /// one has none. The longer they wait, the more come together, while engines do nothing.
    pub fn is_acceptable(&self, request: &DirectRequest, waited: f64) -> bool {
        self.lost_value <= IMMEDIATE_LOSS + WAITED_LOSS_SHARE * request.value() * waited
    }
}

/// An endpoint that reads a part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HelperPart {
    /// Its index among the candidates.
    pub index: usize,
    /// Tokens of the prompt that it also keeps in its memory, which has to be reserved; 0 for
    /// one that hands everything over.
    pub kept: TokenCount,
}

/// An endpoint that may be chosen.
#[derive(Clone, Debug)]
pub struct PlacerCandidate<'a> {
    /// The endpoint. Copied for each look, with its writers on the heap, a look took 106 us beside 68
    /// gateways and 172 endpoints, and 55 us so (short prompt, `examples/direct_cost`).
    pub endpoint: &'a DirectEndpoint,
    /// What is on it.
    pub load: CombinedLoad,
    /// Place in the order of all endpoints of the service, from 0 to 1.
    pub rank: f64,
    /// Whether it is kept for short prompts.
    pub short_lane: bool,
    /// Whether it may prefill parts of prompts that another endpoint answers.
    pub may_help: bool,
    /// Drawn for this look, from 0 to 1: so that gateways which look at the same moment do not all
    /// choose the same endpoint.
    pub draw: f64,
}
