//! Demand of one organisation at this gateway and at its peers.

use std::collections::VecDeque;

use crate::ids::TokenCount;

/// Demand for each limit in the interval between two exchanges of reports with the peers.
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

    /// Demand for concurrency: the requests in flight and those that arrived in the interval.
    pub(super) fn concurrency_demand(&self) -> u64 {
        self.requests + u64::from(self.in_flight)
    }

    /// Returns the larger of the new demand and three quarters of the previous one.
    fn smoothed(self, previous: Self) -> Self {
        Self {
            requests: self.requests.max(previous.requests * 3 / 4),
            tokens: self.tokens.max(previous.tokens * 3 / 4),
            in_flight: self.in_flight,
        }
    }
}

/// Demand at this gateway, with the values reported to the peers.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnDemand {
    /// Demand since the last exchange.
    pub(super) current: DemandVector,
    /// Reported values, oldest first, each with the number of the first report that contained it.
    reported: VecDeque<(u64, DemandVector)>,
}

impl OwnDemand {
    /// Ends an exchange. The demand since the previous exchange becomes the value of this report.
    pub(super) fn close_exchange(&mut self, sequence: u64) {
        let previous = self.latest();
        let value = self.current.smoothed(previous);
        self.current = DemandVector::default();
        if value != previous {
            self.reported.push_back((sequence, value));
        }
    }

    pub(super) fn latest(&self) -> DemandVector {
        self.reported
            .back()
            .map_or(DemandVector::default(), |(_, value)| *value)
    }

    /// Whether the latest value is newer than the report with this number.
    pub(super) fn changed_since(&self, confirmed: u64) -> bool {
        self.reported
            .back()
            .is_some_and(|(sequence, _)| *sequence > confirmed)
    }

    /// Returns the demand by which this gateway may compute its own share, given that all peers
    /// have confirmed at least the report with this number.
    ///
    /// A peer may have any of the values since the confirmed one. Their minimum is never above the
    /// value that a peer uses for this gateway, so the shares of all gateways add up to at most
    /// one.
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
