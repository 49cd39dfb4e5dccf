//! Endpoints that tolerate only a low request rate after their start.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

use super::{process::EndpointProcess, rate_limit::RequestRate};
use crate::ids::Timestamp;

/// What a service declares about endpoints that have just started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdProfile {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold endpoint tolerates, over all gateways.
    pub requests_per_second: RequestRate,
}

/// By how much all gateways together may exceed the declared rate of a cold endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor on the declared rate.
    pub overshoot: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

impl ColdAllowance {
    /// Returns the rate for the limit that all gateways share.
    ///
    /// The gateways that send to an endpoint have one token each, and there are at most as many of
    /// them as it accepts requests per second. So in the worst second, it gets twice the rate of
    /// the limit.
    pub fn shared_rate(&self, profile: &ColdProfile) -> RequestRate {
        let most = profile.requests_per_second * self.overshoot + self.slack;
        profile.requests_per_second.min(most / 2.0)
    }
}

/// Until when each cold endpoint stays cold.
///
/// Endpoints report their state with a delay, so one that may have become cold counts as cold for
/// the whole declared time.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    until: HashMap<EndpointProcess, Timestamp>,
}

impl ColdEndpoints {
    /// Creates a state without cold endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a process stays cold for `cold_left`. Returns whether it was not known to be
    /// cold before.
    pub fn record(
        &mut self,
        now: Timestamp,
        process: &EndpointProcess,
        cold_left: Duration,
    ) -> bool {
        if cold_left.is_zero() {
            return false;
        }
        let until = now + cold_left;
        let known = self.until.insert(process.clone(), until);
        if let Some(known) = known.filter(|known| *known > until) {
            self.until.insert(process.clone(), known);
        }
        known.is_none()
    }

    /// Returns the cold processes.
    pub fn processes(&self) -> impl Iterator<Item = &EndpointProcess> {
        self.until.keys()
    }

    /// Removes a process that has been replaced or is no longer listed.
    pub fn forget(&mut self, process: &EndpointProcess) {
        self.until.remove(process);
    }

    /// Removes and returns the processes that are no longer cold.
    pub fn take_warm(&mut self, now: Timestamp) -> Vec<EndpointProcess> {
        let warm = self.until.iter().filter(|(_, until)| **until <= now);
        let warm: Vec<EndpointProcess> = warm.map(|(process, _)| process.clone()).collect();
        for process in &warm {
            self.until.remove(process);
        }
        warm
    }
}
