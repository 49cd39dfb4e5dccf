//! Simulation of a pool of engines in virtual time: placements, ends of prefills and ends of
//! responses.

#![allow(dead_code)] // Each test file uses only a part of this module.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use lovagedock::{
    BookedTeam, BookingKey, DirectChoice, DirectEndpoint, DirectPlacer, DirectRequest,
    EndpointProcess, EndpointState, EngineProfile, LengthBand, LengthOutcome, LengthShares,
    PlacerCandidate, RouteTag, TeamBooking, TeamBookings, WorkKey, WorkLedger, max_kept_endpoints,
    prelude::*, short_lane_size,
};

/// Tag of the route of all simulated requests.
const ROUTE: RouteTag = 1;

/// Profile of an engine like those of our operators.
pub(crate) const PROFILE: EngineProfile = EngineProfile {
    slots: 16,
    memory_tokens: 450_000,
    steps_per_pass: 46,
    step_ms: 0.925,
    step_ms_per_writer: 0.004_83,
    step_ms_per_1k_context: 0.002_54,
    read_tokens_per_ms: 256.0,
    read_ms_per_1m_pairs: 0.0917,
};

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a request for a short summary: first event due in 300 ms, gaps of up to 200 ms.
pub(crate) fn short() -> DirectRequest {
    DirectRequest {
        prompt: 5_000,
        answer: 1_600,
        objective_left: ms(300),
        gap: Some(ms(200)),
        returned: false,
        suspect: false,
        booked: None,
    }
}

/// Returns a request with a long prompt: first event due in 3 s, gaps of up to 800 ms.
pub(crate) fn long(prompt: TokenCount) -> DirectRequest {
    DirectRequest {
        prompt,
        answer: 800,
        objective_left: ms(3_000),
        gap: Some(ms(800)),
        returned: false,
        suspect: false,
        booked: None,
    }
}

/// Simulated event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PoolEvent {
    Prefilled(WorkKey),
    End(WorkKey),
    BookingEnd(BookingKey),
}

/// Engines and the ledger of one gateway.
pub(crate) struct VirtualPool {
    pub(crate) ledger: WorkLedger,
    pub(crate) lengths: LengthShares,
    pub(crate) bookings: TeamBookings,
    pub(crate) endpoints: Vec<DirectEndpoint>,
    events: BinaryHeap<Reverse<(Timestamp, PoolEvent)>>,
    pub(crate) now: Timestamp,
}

impl VirtualPool {
    pub(crate) fn new(engines: usize) -> Self {
        let endpoints = (0..engines).map(|index| DirectEndpoint {
            process: EndpointProcess::new(format!("engine-{index:02}"), 1),
            service: "model".into(),
            address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
            domain: "a".into(),
            slots: PROFILE.slots,
            state: EndpointState::Ready,
            cold_left: Duration::ZERO,
        });
        Self {
            ledger: WorkLedger::new(),
            lengths: LengthShares::new(),
            bookings: TeamBookings::new(),
            endpoints: endpoints.collect(),
            events: BinaryHeap::new(),
            now: Duration::ZERO,
        }
    }

    /// Advances the time to `now` and processes the events due until then.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        while let Some(Reverse((at, event))) = self.events.peek().copied() {
            if at > now {
                break;
            }
            self.events.pop();
            match event {
                PoolEvent::Prefilled(key) => self.ledger.finish_prefill(at, key),
                PoolEvent::End(key) => self.ledger.finish(at, key),
                PoolEvent::BookingEnd(key) => self.bookings.end(key),
            }
        }
        self.now = now;
    }

    /// Returns the endpoints with a free slot, as candidates for placement.
    pub(crate) fn candidates(&self) -> Vec<PlacerCandidate<'_>> {
        self.candidates_for(None)
    }

    /// Returns the endpoints with a free slot, as candidates for a request with this booking.
    pub(crate) fn candidates_for(&self, booked: Option<BookedTeam>) -> Vec<PlacerCandidate<'_>> {
        let lane = self.short_lane();
        let max_kept = max_kept_endpoints(self.endpoints.len() - lane);
        let kept = self
            .bookings
            .kept_from(self.now, booked.map(|team| team.key))
            .min(max_kept);
        let candidates = self
            .endpoints
            .iter()
            .enumerate()
            .map(|(position, endpoint)| PlacerCandidate {
                endpoint,
                load: self.ledger.load(self.now, &endpoint.process),
                rank: position as f64 / self.endpoints.len() as f64,
                short_lane: position < lane,
                is_kept: position + kept >= self.endpoints.len(),
                may_help: true,
                draw: 0.0,
            });
        candidates
            .filter(|candidate| candidate.load.occupied < candidate.endpoint.slots)
            .collect()
    }

    /// Books a team for a long prompt if prompts of its size are owed a start.
    pub(crate) fn book(
        &mut self,
        request: &DirectRequest,
        objective: Duration,
    ) -> Option<BookedTeam> {
        let band = LengthBand::new(request.prompt);
        let class = self.lengths.size_class(self.now, ROUTE, band);
        let max_kept = max_kept_endpoints(self.endpoints.len() - self.short_lane());
        let width = DirectPlacer::new(Some(&PROFILE)).team_width(request.prompt, objective);
        let booking = TeamBooking {
            route: ROUTE,
            class,
            width: width.min(max_kept),
            since: self.now,
            is_waiting: true,
        };
        let owed = self.lengths.owed(self.now, ROUTE, class);
        self.bookings.book(booking, owed)
    }

    /// Counts a long prompt that was started or refused.
    pub(crate) fn record_length(&mut self, request: &DirectRequest, is_started: bool) {
        let outcome = LengthOutcome {
            route: ROUTE,
            band: LengthBand::new(request.prompt),
            is_new: true,
            is_started,
        };
        self.lengths.record(self.now, outcome);
    }

    fn short_lane(&self) -> usize {
        let short = self.endpoints.iter();
        let short = short
            .map(|endpoint| self.ledger.short_count(&endpoint.process))
            .sum();
        short_lane_size(short, PROFILE.slots, self.endpoints.len())
    }

    /// Places a request. Returns `None` if no endpoint can accept it.
    pub(crate) fn place(&mut self, request: &DirectRequest) -> Option<PlacedChoice> {
        let candidates = self.candidates_for(request.booked);
        let placer = DirectPlacer::new(Some(&PROFILE));
        let choice = placer.place(request, &candidates)?;
        let lane = candidates.iter().filter(|c| c.short_lane);
        let lane = lane.map(|c| c.endpoint.process.clone()).collect();
        let works = placer.placed_work(request, &choice, &candidates);
        let members = works.iter().map(|work| work.endpoint.clone()).collect();
        let prefilled_at = self.now + choice.first_event;
        let decode_time = PROFILE.decode_time(request.answer, ms(60));
        if let Some(BookedTeam { key, .. }) = request.booked {
            self.bookings.start(key);
            self.events
                .push(Reverse((prefilled_at, PoolEvent::BookingEnd(key))));
        }
        for (index, work) in works.into_iter().enumerate() {
            let key = self.ledger.place(self.now, work);
            let end = if index == 0 {
                prefilled_at + decode_time
            } else {
                prefilled_at
            };
            self.events
                .push(Reverse((prefilled_at, PoolEvent::Prefilled(key))));
            self.events.push(Reverse((end, PoolEvent::End(key))));
        }
        Some(PlacedChoice {
            choice,
            members,
            lane,
        })
    }
}

/// A choice with the processes behind its indices, lead first.
pub(crate) struct PlacedChoice {
    pub(crate) choice: DirectChoice,
    pub(crate) members: Vec<EndpointProcess>,
    /// The short lane at the time of the choice.
    pub(crate) lane: Vec<EndpointProcess>,
}
