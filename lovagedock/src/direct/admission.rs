//! Decides which new connections a gateway reads.

use std::time::Duration;

use crate::ids::Timestamp;

/// Delay of the event loop from which a gateway is behind if it stays above for an interval. A
/// request passes the loop a few times before its first event, and the shortest objectives are
/// 150 ms.
const TARGET_LAG: Duration = Duration::from_millis(30);

/// Delay of the event loop from which no connection is admitted.
const MAX_LAG: Duration = Duration::from_millis(120);

/// Minimum length of an interval, and minimum number of delays measured in it.
const INTERVAL: Duration = Duration::from_millis(100);
const MIN_SAMPLES: u32 = 4;

/// Factors by which the limit decreases while the gateway is behind, and increases while it is not
/// and the limit is reached.
const DECREASE_FACTOR: f64 = 0.7;
const INCREASE_FACTOR: f64 = 1.05;

/// Minimum time between two decreases. The requests that were read before a decrease still take
/// processor time after it.
const DECREASE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a refused connection after which there is no limit.
const LIMIT_TIME: Duration = Duration::from_secs(3);

/// Least limit. These requests show when the gateway has caught up.
const MIN_LIMIT: f64 = 2.0;

/// Limits the requests in flight of a gateway to those that it can serve in time.
///
/// A balancer may send most new connections of many gateways to one of them for some seconds. A
/// gateway that reads more than it has processor time for is late with all of it, while a caller
/// whose connection is closed unread goes to another gateway at once.
///
/// Whether the gateway is behind shows in the delay of its event loop, whatever a request costs and
/// however much processor time the host has. Short delays are normal after a burst, so the least
/// delay of an interval counts. The number of requests in flight is limited, and not their rate,
/// because a request takes processor time until its response ends.
#[derive(Clone, Debug)]
pub struct ConnectionAdmission {
    /// Maximum number of requests in flight, if there is one.
    limit: Option<f64>,
    decreased_at: Timestamp,
    refused_at: Timestamp,
    last_lag: Duration,
    interval_started_at: Timestamp,
    least_lag: Duration,
    samples: u32,
}

impl Default for ConnectionAdmission {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionAdmission {
    /// Creates the state of a gateway that admits all connections.
    pub fn new() -> Self {
        Self {
            limit: None,
            decreased_at: Duration::ZERO,
            refused_at: Duration::ZERO,
            last_lag: Duration::ZERO,
            interval_started_at: Duration::ZERO,
            least_lag: Duration::MAX,
            samples: 0,
        }
    }

    /// Returns whether a new connection is read while `in_flight` requests are in progress.
    /// Otherwise it has to be closed unread.
    pub fn admit(&mut self, now: Timestamp, in_flight: usize) -> bool {
        let is_below = self.limit.is_none_or(|limit| (in_flight as f64) < limit);
        let is_admitted = is_below && self.last_lag <= MAX_LAG;
        if !is_admitted {
            self.refused_at = now;
        }
        is_admitted
    }

    /// Records the delay of the event loop: the time until a task that is ready runs.
    pub fn record_lag(&mut self, now: Timestamp, lag: Duration, in_flight: usize) {
        self.last_lag = lag;
        self.least_lag = self.least_lag.min(lag);
        self.samples += 1;
        let length = now.saturating_sub(self.interval_started_at);
        if length < INTERVAL || self.samples < MIN_SAMPLES {
            return;
        }
        let is_behind = self.least_lag > TARGET_LAG;
        self.interval_started_at = now;
        self.least_lag = Duration::MAX;
        self.samples = 0;
        self.update_limit(now, is_behind, in_flight as f64);
    }

    /// Returns whether the gateway was behind and has not caught up yet. Callers should then not keep
    /// their connections for further requests.
    pub fn is_behind(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the maximum number of requests in flight, if there is one.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }

    fn update_limit(&mut self, now: Timestamp, is_behind: bool, in_flight: f64) {
        if is_behind {
            if now.saturating_sub(self.decreased_at) >= DECREASE_INTERVAL {
                self.decreased_at = now;
                self.refused_at = now;
                let limit = self.limit.unwrap_or(in_flight).min(in_flight);
                self.limit = Some((limit * DECREASE_FACTOR).max(MIN_LIMIT));
            }
            return;
        }
        if now.saturating_sub(self.refused_at) >= LIMIT_TIME {
            self.limit = None;
        }
        if let Some(limit) = self
            .limit
            .as_mut()
            .filter(|limit| in_flight + 1.0 >= **limit)
        {
            *limit = (*limit * INCREASE_FACTOR).max(*limit + 1.0);
        }
    }
}
