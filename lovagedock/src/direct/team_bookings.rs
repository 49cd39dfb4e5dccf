//! Endpoints that are kept for the longest prompts while these are started too seldom.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::length_shares::{LengthBand, RouteTag};
use crate::ids::{GatewayId, Timestamp};

/// Identifies a booking within a gateway.
pub type BookingKey = u64;

/// Endpoints that a long prompt needs at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamBooking {
    /// Route of the request.
    pub route: RouteTag,
    /// Size class of the prompt.
    pub class: LengthBand,
    /// Number of endpoints.
    pub width: usize,
    /// When the prompt began to wait.
    pub since: Timestamp,
    /// Whether the prompt still waits. Otherwise its team prefills it.
    pub is_waiting: bool,
}

/// The booking of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BookedTeam {
    /// Identifies the booking.
    pub key: BookingKey,
    /// Number of endpoints.
    pub width: usize,
}

/// Share of its objective after which no team is booked for a prompt. A team comes together in about a
/// third of the objective and prefills the prompt in half of it.
const MAX_BOOKING_WAIT_SHARE: f64 = 0.2;

/// Returns whether a team may be booked for a prompt that has waited: with a later booking, it would
/// be late.
pub fn may_book_team(waited: Duration, objective: Duration) -> bool {
    waited <= objective.mul_f64(MAX_BOOKING_WAIT_SHARE)
}

/// At least one in this many of the endpoints outside the short lane is not kept for booked teams.
const UNBOOKED_DIVISOR: usize = 4;

/// Returns the maximum number of endpoints that are kept for booked teams, of those outside the short
/// lane.
pub fn max_kept_endpoints(outside_short_lane: usize) -> usize {
    outside_short_lane - outside_short_lane.div_ceil(UNBOOKED_DIVISOR)
}

/// Time after which a booking of a peer no longer counts. It exceeds the time for which a prompt
/// waits and is prefilled, so it only ends bookings whose end was lost on the way.
const MAX_BOOKING_AGE: Duration = Duration::from_secs(12);

/// Bookings of all gateways.
///
/// The last endpoints of a service, as many as are booked, are left idle by other long prompts. All
/// gateways list endpoints in the same order and receive each other's bookings, so they agree on
/// these endpoints except for short intervals.
#[derive(Clone, Debug, Default)]
pub struct TeamBookings {
    own: BTreeMap<BookingKey, TeamBooking>,
    next_key: BookingKey,
    peers: HashMap<GatewayId, Vec<TeamBooking>>,
}

impl TeamBookings {
    /// Creates a state without bookings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Books a team for a prompt of this gateway, unless teams are booked already for all prompts of
    /// its size class that are owed a start. `owed` is their number, see [`LengthShares::owed`].
    ///
    /// [`LengthShares::owed`]: super::LengthShares::owed
    pub fn book(&mut self, booking: TeamBooking, owed: f64) -> Option<BookedTeam> {
        if self.waiting(&booking) as f64 >= owed.ceil() {
            return None;
        }
        let key = self.next_key;
        self.next_key += 1;
        self.own.insert(key, booking);
        Some(BookedTeam {
            key,
            width: booking.width,
        })
    }

    /// Records that the team has begun to prefill the prompt.
    pub fn start(&mut self, key: BookingKey) {
        if let Some(booking) = self.own.get_mut(&key) {
            booking.is_waiting = false;
        }
    }

    /// Removes a booking.
    pub fn end(&mut self, key: BookingKey) {
        self.own.remove(&key);
    }

    /// Returns the bookings of this gateway, to be sent to peers.
    pub fn own(&self) -> impl Iterator<Item = &TeamBooking> {
        self.own.values()
    }

    /// Replaces the bookings of a peer.
    pub fn set_peer(&mut self, peer: &GatewayId, bookings: Vec<TeamBooking>) {
        match bookings.is_empty() {
            true => self.peers.remove(peer),
            false => self.peers.insert(peer.clone(), bookings),
        };
    }

    /// Removes the bookings of a peer.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        self.peers.remove(peer);
    }

    /// Returns the number of bookings of the same size class whose prompts still wait.
    fn waiting(&self, booking: &TeamBooking) -> usize {
        let is_counted = |other: &&TeamBooking| {
            other.is_waiting && other.route == booking.route && other.class == booking.class
        };
        self.all(booking.since).filter(is_counted).count()
    }

    /// Returns the number of endpoints that are kept from a request with this booking, or from
    /// requests without one.
    ///
    /// A booked team is kept from teams of smaller prompts, for which fewer endpoints suffice.
    pub fn kept_from(&self, now: Timestamp, key: Option<BookingKey>) -> usize {
        let own = key.and_then(|key| self.own.get(&key));
        let is_kept = |booking: &&TeamBooking| match own {
            Some(own) => booking.is_waiting && booking.class > own.class,
            None => true,
        };
        self.all(now)
            .filter(is_kept)
            .map(|booking| booking.width)
            .sum()
    }

    fn all(&self, now: Timestamp) -> impl Iterator<Item = &TeamBooking> {
        let is_current =
            move |booking: &&TeamBooking| now.saturating_sub(booking.since) <= MAX_BOOKING_AGE;
        let peers = self.peers.values().flatten();
        self.own.values().chain(peers.filter(is_current))
    }
}
