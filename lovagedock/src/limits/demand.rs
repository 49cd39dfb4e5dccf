//! What one organisation wants, here and at the peers.

use std::collections::VecDeque;

use crate::ids::TokenCount;

/// Demand for each limit within one exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct DemandVector {
    pub(super) requests: u64,
    pub(super) tokens: TokenCount,
    pub(super) in_flight: u32,
}

impl DemandVector {
    pub(super) fn min(self, other: Self) -> Self {
        Self {
            requests: self.requests.min(other.requests),
            tokens: self.tokens.min(other.tokens),
            in_flight: self.in_flight.min(other.in_flight),
        }
    }

    /// Demand for places: what is held, and what came and may want one.
    pub(super) fn concurrency_demand(&self) -> u64 {
        self.requests + u64::from(self.in_flight)
    }

    /// The new demand, or three quarters of the former where that is more.
    fn smoothed(self, former: Self) -> Self {
        Self {
            requests: self.requests.max(former.requests * 3 / 4),
            tokens: self.tokens.max(former.tokens * 3 / 4),
            in_flight: self.in_flight,
        }
    }
}

/// This gateway's demand, as it was reported.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnDemand {
    /// Demand since the last exchange.
    pub(super) current: DemandVector,
    /// Reported values by the number of the report that first had them, the oldest first.
    reported: VecDeque<(u64, DemandVector)>,
}

impl OwnDemand {
    /// Closes an exchange: what came becomes the value of this report.
    pub(super) fn close_exchange(&mut self, sequence: u64) {
        let former = self.latest();
        let value = self.current.smoothed(former);
        self.current = DemandVector::default();
        if value != former {
            self.reported.push_back((sequence, value));
        }
    }

    pub(super) fn latest(&self) -> DemandVector {
        self.reported
            .back()
            .map_or(DemandVector::default(), |(_, value)| *value)
    }

    /// Whether a peer that confirmed this report lacks the latest value.
    pub(super) fn changed_since(&self, confirmed: u64) -> bool {
        self.reported
            .back()
            .is_some_and(|(sequence, _)| *sequence > confirmed)
    }

    /// The demand that this gateway may count on, when all peers confirmed this report at least.
    ///
    /// A peer may know any value since the confirmed one. The least of them is never above what a
    /// peer counts for this gateway, so the shares that all compute add up to one at most.
    pub(super) fn confirmed_demand(&mut self, confirmed: u64) -> DemandVector {
        while self
            .reported
            .get(1)
            .is_some_and(|(sequence, _)| *sequence <= confirmed)
        {
            self.reported.pop_front();
        }
        match self.reported.front() {
            Some((sequence, value)) if *sequence <= confirmed => {
                let later = self.reported.iter().map(|(_, value)| *value);
                later.fold(*value, DemandVector::min)
            }
            _ => DemandVector::default(),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.latest() == DemandVector::default() && self.current == DemandVector::default()
    }
}
