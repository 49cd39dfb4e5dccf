//! Long prompts by their length, and teams of endpoints that are booked for them.

use std::sync::Arc;

use lovagedock::{
    BookedTeam, DirectPlacer, LengthBand, LengthOutcome, RouteRule, TeamBooking, TeamBookings,
    TrafficConfig, prelude::*, route_tag,
};

use super::GatewayState;

/// A booked team. Dropping it ends the booking.
pub(crate) struct BookingGuard {
    state: Arc<GatewayState>,
    team: BookedTeam,
}

impl BookingGuard {
    /// Returns the booking.
    pub(crate) fn team(&self) -> BookedTeam {
        self.team
    }

    /// Records that the team has begun to prefill the prompt.
    pub(crate) fn start(&self) {
        self.change(|bookings| bookings.start(self.team.key));
    }

    fn change(&self, change: impl FnOnce(&mut TeamBookings)) {
        let mut fleet = self.state.fleet.lock();
        change(&mut fleet.bookings);
        fleet.bookings_changed = true;
        drop(fleet);
        self.state.urgent_update.notify_one();
    }
}

impl Drop for BookingGuard {
    fn drop(&mut self) {
        self.change(|bookings| bookings.end(self.team.key));
    }
}

impl GatewayState {
    /// Counts a long prompt that was started or refused.
    pub(crate) fn record_length(&self, outcome: LengthOutcome) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        fleet.lengths.record(now, outcome);
        fleet.unsent_lengths.push(outcome);
        drop(fleet);
        self.urgent_update.notify_one();
    }

    /// Returns the outcomes that were not yet sent to peers.
    pub(crate) fn take_length_outcomes(&self) -> Vec<LengthOutcome> {
        std::mem::take(&mut self.fleet.lock().unsent_lengths)
    }

    /// Counts long prompts of a peer.
    pub(crate) fn apply_peer_lengths(&self, outcomes: impl Iterator<Item = LengthOutcome>) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        outcomes.for_each(|outcome| fleet.lengths.record(now, outcome));
    }

    /// Books a team for a long prompt if prompts of its length are started too seldom.
    pub(crate) fn book_team(
        self: &Arc<Self>,
        config: &TrafficConfig,
        service: &ServiceId,
        route: &RouteRule,
        prompt: TokenCount,
    ) -> Option<BookingGuard> {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        let tag = route_tag(&route.name);
        let class = fleet.lengths.size_class(now, tag, LengthBand::new(prompt));
        let owed = fleet.lengths.owed(now, tag, class);
        let profile = config.services.get(service).and_then(|s| s.engine.as_ref());
        let width = DirectPlacer::new(profile).team_width(prompt, route.objective);
        let width = width.min(fleet.max_kept(service).max(1));
        let booking = TeamBooking {
            route: tag,
            class,
            width,
            since: now,
            is_waiting: true,
        };
        let team = fleet.bookings.book(booking, owed)?;
        fleet.bookings_changed = true;
        drop(fleet);
        self.urgent_update.notify_one();
        Some(BookingGuard {
            state: Arc::clone(self),
            team,
        })
    }

    /// Returns the bookings of this gateway.
    pub(crate) fn own_bookings(&self) -> Vec<TeamBooking> {
        self.fleet.lock().bookings.own().copied().collect()
    }

    /// Returns whether a booking of this gateway has changed since the last call.
    pub(crate) fn take_bookings_changed(&self) -> bool {
        std::mem::take(&mut self.fleet.lock().bookings_changed)
    }

    /// Applies the bookings of a peer.
    pub(crate) fn apply_peer_bookings(&self, peer: &GatewayId, bookings: Vec<TeamBooking>) {
        let mut fleet = self.fleet.lock();
        fleet.bookings.set_peer(peer, bookings);
    }
}
