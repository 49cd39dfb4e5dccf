//! Ejects endpoints whose requests fail although their sessions and reports look healthy.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{EndpointId, Timestamp};

/// Thresholds and durations of ejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierSettings {
    /// Number of consecutive failures that eject an endpoint.
    pub consecutive_failures: u32,
    /// Duration of the first ejection. It doubles with each further ejection.
    pub base_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Maximum share of a pool that may be ejected at the same time, in percent.
    pub max_ejected_percent: u8,
    /// Time after which a probe without an outcome counts as failed.
    pub probe_timeout: Duration,
    /// Time without a failure after which the count of ejections is reset.
    pub reset_after: Duration,
}

impl Default for OutlierSettings {
    fn default() -> Self {
        Self {
            consecutive_failures: 5,
            base_ejection: Duration::from_secs(5),
            max_ejection: Duration::from_secs(300),
            max_ejected_percent: 30,
            probe_timeout: Duration::from_secs(30),
            reset_after: Duration::from_secs(600),
        }
    }
}

/// An event for an outlier detector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutlierEvent {
    /// The endpoint joined the pool.
    Joined(EndpointId),
    /// The endpoint left the pool.
    Left(EndpointId),
    /// A request to the endpoint succeeded.
    Succeeded(EndpointId),
    /// A request failed because of the endpoint.
    Failed(EndpointId),
    /// A session to the endpoint with work in flight stopped responding.
    WentSilent(EndpointId),
    /// The probe, the single request that an ejected endpoint may get, was sent.
    ProbeSent(EndpointId),
    /// Time has passed.
    Tick,
}

/// A change of the decision whether an endpoint may receive work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutlierAction {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether the endpoint is ejected from now on.
    pub ejected: bool,
    /// Cause of the change.
    pub cause: OutlierCause,
}

/// The cause of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutlierCause {
    /// Too many consecutive failures.
    ConsecutiveFailures,
    /// A session stopped responding.
    SilentSession,
    /// The endpoint failed again soon after it was readmitted.
    FailedOnProbation,
    /// The ejection has ended, and the next request is the probe.
    ProbeAllowed,
    /// The probe was sent. No other request may follow until it has ended.
    ProbeSent,
    /// The probe failed or timed out.
    ProbeFailed,
    /// The probe succeeded.
    Readmitted,
}

/// Detects failing endpoints in one pool.
///
/// An endpoint may respond to heartbeats and still fail every request. It then looks idle, and a
/// load-based policy would send all requests to it. The detector ejects it after a number of
/// consecutive failures. Only a share of the pool is ejected at the same time: if most endpoints
/// fail, the cause is elsewhere, and ejecting them would only move the load to the others.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    settings: OutlierSettings,
    endpoints: BTreeMap<EndpointId, OutlierRecord>,
}

#[derive(Clone, Debug, Default)]
struct OutlierRecord {
    state: OutlierState,
    failures: u32,
    ejections: u32,
    failed_at: Timestamp,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OutlierState {
    #[default]
    Admitted,
    /// Recently readmitted. A single failure ejects the endpoint again, so a flapping endpoint
    /// fails one request per cycle instead of several.
    Probation,
    Ejected {
        until: Timestamp,
    },
    AwaitingProbe,
    Probing {
        until: Timestamp,
    },
}

impl OutlierState {
    fn counts_as_ejected(self) -> bool {
        match self {
            Self::Admitted | Self::Probation => false,
            Self::Ejected { .. } | Self::AwaitingProbe | Self::Probing { .. } => true,
        }
    }
}

impl OutlierDetector {
    /// Creates a detector without endpoints.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
        }
    }

    /// Handles an event and returns the resulting changes.
    pub fn handle(&mut self, now: Timestamp, event: OutlierEvent) -> Vec<OutlierAction> {
        match event {
            OutlierEvent::Joined(id) => {
                self.endpoints.entry(id).or_default();
                Vec::new()
            }
            OutlierEvent::Left(id) => {
                self.endpoints.remove(&id);
                Vec::new()
            }
            OutlierEvent::Succeeded(id) => self.on_success(now, id),
            OutlierEvent::Failed(id) => self.on_failure(now, id, false),
            OutlierEvent::WentSilent(id) => self.on_failure(now, id, true),
            OutlierEvent::ProbeSent(id) => self.on_probe_sent(now, id),
            OutlierEvent::Tick => self.tick(now),
        }
    }

    /// Returns the number of ejected endpoints, including those that are being probed.
    pub fn ejected_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|record| record.state.counts_as_ejected())
            .count()
    }

    /// Returns the number of endpoints that may be ejected at the same time. It is always less than
    /// the size of the pool.
    pub fn ejection_limit(&self) -> usize {
        let total = self.endpoints.len();
        let share = total * usize::from(self.settings.max_ejected_percent) / 100;
        share.max(1).min(total.saturating_sub(1))
    }

    fn on_success(&mut self, now: Timestamp, id: EndpointId) -> Vec<OutlierAction> {
        let reset_after = self.settings.reset_after;
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        record.failures = 0;
        match record.state {
            OutlierState::Probing { .. } => {
                record.state = OutlierState::Probation;
                record.failed_at = now;
                vec![ejection_action(id, false, OutlierCause::Readmitted)]
            }
            OutlierState::Admitted | OutlierState::Probation => {
                if now.saturating_sub(record.failed_at) >= reset_after {
                    record.state = OutlierState::Admitted;
                    record.ejections = 0;
                }
                Vec::new()
            }
            // The request was sent before the ejection, so its success does not show that new
            // requests would succeed.
            OutlierState::Ejected { .. } | OutlierState::AwaitingProbe => Vec::new(),
        }
    }

    fn on_failure(&mut self, now: Timestamp, id: EndpointId, silent: bool) -> Vec<OutlierAction> {
        let threshold = self.settings.consecutive_failures;
        let below_limit = self.ejected_count() < self.ejection_limit();
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        record.failures = record.failures.saturating_add(1);
        record.failed_at = now;
        let cause = match record.state {
            OutlierState::Probing { .. } => OutlierCause::ProbeFailed,
            OutlierState::Ejected { .. } | OutlierState::AwaitingProbe => return Vec::new(),
            _ if !below_limit => return Vec::new(),
            OutlierState::Probation => OutlierCause::FailedOnProbation,
            OutlierState::Admitted if silent => OutlierCause::SilentSession,
            OutlierState::Admitted if record.failures >= threshold => {
                OutlierCause::ConsecutiveFailures
            }
            OutlierState::Admitted => return Vec::new(),
        };
        record.eject(now, &self.settings);
        vec![ejection_action(id, true, cause)]
    }

    fn on_probe_sent(&mut self, now: Timestamp, id: EndpointId) -> Vec<OutlierAction> {
        let until = now + self.settings.probe_timeout;
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        if record.state != OutlierState::AwaitingProbe {
            return Vec::new();
        }
        record.state = OutlierState::Probing { until };
        vec![ejection_action(id, true, OutlierCause::ProbeSent)]
    }

    fn tick(&mut self, now: Timestamp) -> Vec<OutlierAction> {
        let mut actions = Vec::new();
        for (id, record) in &mut self.endpoints {
            match record.state {
                OutlierState::Ejected { until } if until <= now => {
                    record.state = OutlierState::AwaitingProbe;
                    actions.push(ejection_action(
                        id.clone(),
                        false,
                        OutlierCause::ProbeAllowed,
                    ));
                }
                OutlierState::Probing { until } if until <= now => {
                    record.eject(now, &self.settings);
                    actions.push(ejection_action(id.clone(), true, OutlierCause::ProbeFailed));
                }
                _ => {}
            }
        }
        actions
    }
}

impl OutlierRecord {
    fn eject(&mut self, now: Timestamp, settings: &OutlierSettings) {
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let duration = settings.base_ejection * (1 << doublings);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.state = OutlierState::Ejected {
            until: now + duration.min(settings.max_ejection),
        };
    }
}

fn ejection_action(endpoint: EndpointId, ejected: bool, cause: OutlierCause) -> OutlierAction {
    OutlierAction {
        endpoint,
        ejected,
        cause,
    }
}

const MAX_DOUBLINGS: u32 = 16;
