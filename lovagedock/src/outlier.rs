//! Ejects endpoints that fail although their sessions and reports look healthy.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{EndpointId, Timestamp};

/// When endpoints are ejected and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutlierSettings {
    /// Failures in a row that eject an endpoint.
    pub consecutive_failures: u32,
    /// Length of the first ejection; doubles with each further one.
    pub base_ejection: Duration,
    /// Longest ejection.
    pub max_ejection: Duration,
    /// Largest share of a pool that may be ejected at once, in percent.
    pub max_ejected_percent: u8,
    /// Time after which a probe without an outcome counts as failed.
    pub probe_timeout: Duration,
    /// Time without a failure after which earlier ejections are forgotten.
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

/// What happened to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutlierEvent {
    /// It belongs to the pool from now on.
    Joined(EndpointId),
    /// It no longer belongs to the pool.
    Left(EndpointId),
    /// A request ended well there.
    Succeeded(EndpointId),
    /// A request failed there through the endpoint's fault.
    Failed(EndpointId),
    /// A session to it with work in flight went silent.
    WentSilent(EndpointId),
    /// The one request that an ejected endpoint may get was sent.
    ProbeSent(EndpointId),
    /// Time passed.
    Tick,
}

/// A change of whether an endpoint may get work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutlierAction {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether it is ejected from now on.
    pub ejected: bool,
    /// Why.
    pub cause: OutlierCause,
}

/// Why an endpoint may or may not get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutlierCause {
    /// Too many failures in a row.
    ConsecutiveFailures,
    /// A session went silent.
    SilentSession,
    /// It failed again soon after it was let back.
    FailedOnProbation,
    /// Its time is over: the next request is the probe.
    ProbeAllowed,
    /// The probe is on its way and nothing else may follow it yet.
    ProbeSent,
    /// The probe failed or had no outcome in time.
    ProbeFailed,
    /// The probe ended well.
    Readmitted,
}

/// Watches the endpoints of one pool.
///
/// An endpoint can answer heartbeats and fail every request, and it then looks idle, so that a
/// policy by load would send it everything. After some failures in a row it is ejected. At most a
/// share of the pool is ejected at once: when most endpoints fail, the cause is elsewhere, and
/// ejecting them would only move the load onto the rest.
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
    /// Let back lately: one failure ejects it again, so that a flapping endpoint costs one
    /// request a turn and not a row of them.
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
    /// A detector for a pool without endpoints.
    pub fn new(settings: OutlierSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
        }
    }

    /// Takes in one event and tells whose admission changes.
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
            OutlierEvent::Succeeded(id) => self.succeeded(now, id),
            OutlierEvent::Failed(id) => self.failed(now, id, false),
            OutlierEvent::WentSilent(id) => self.failed(now, id, true),
            OutlierEvent::ProbeSent(id) => self.probe_sent(now, id),
            OutlierEvent::Tick => self.tick(now),
        }
    }

    /// Endpoints that count as ejected, the one that is being probed included.
    pub fn ejected_count(&self) -> usize {
        self.endpoints
            .values()
            .filter(|record| record.state.counts_as_ejected())
            .count()
    }

    /// Most endpoints that may be ejected at once; never all of them.
    pub fn ejection_limit(&self) -> usize {
        let total = self.endpoints.len();
        let share = total * usize::from(self.settings.max_ejected_percent) / 100;
        share.max(1).min(total.saturating_sub(1))
    }

    fn succeeded(&mut self, now: Timestamp, id: EndpointId) -> Vec<OutlierAction> {
        let reset_after = self.settings.reset_after;
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        record.failures = 0;
        match record.state {
            OutlierState::Probing { .. } => {
                record.state = OutlierState::Probation;
                record.failed_at = now;
                vec![action(id, false, OutlierCause::Readmitted)]
            }
            OutlierState::Admitted | OutlierState::Probation => {
                if now.saturating_sub(record.failed_at) >= reset_after {
                    record.state = OutlierState::Admitted;
                    record.ejections = 0;
                }
                Vec::new()
            }
            // An answer to a request from before the ejection proves nothing about new ones.
            OutlierState::Ejected { .. } | OutlierState::AwaitingProbe => Vec::new(),
        }
    }

    fn failed(&mut self, now: Timestamp, id: EndpointId, silent: bool) -> Vec<OutlierAction> {
        let threshold = self.settings.consecutive_failures;
        let has_room = self.ejected_count() < self.ejection_limit();
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        record.failures = record.failures.saturating_add(1);
        record.failed_at = now;
        let cause = match record.state {
            OutlierState::Probing { .. } => OutlierCause::ProbeFailed,
            OutlierState::Ejected { .. } | OutlierState::AwaitingProbe => return Vec::new(),
            _ if !has_room => return Vec::new(),
            OutlierState::Probation => OutlierCause::FailedOnProbation,
            OutlierState::Admitted if silent => OutlierCause::SilentSession,
            OutlierState::Admitted if record.failures >= threshold => {
                OutlierCause::ConsecutiveFailures
            }
            OutlierState::Admitted => return Vec::new(),
        };
        record.eject(now, &self.settings);
        vec![action(id, true, cause)]
    }

    fn probe_sent(&mut self, now: Timestamp, id: EndpointId) -> Vec<OutlierAction> {
        let until = now + self.settings.probe_timeout;
        let Some(record) = self.endpoints.get_mut(&id) else {
            return Vec::new();
        };
        if record.state != OutlierState::AwaitingProbe {
            return Vec::new();
        }
        record.state = OutlierState::Probing { until };
        vec![action(id, true, OutlierCause::ProbeSent)]
    }

    fn tick(&mut self, now: Timestamp) -> Vec<OutlierAction> {
        let mut actions = Vec::new();
        for (id, record) in &mut self.endpoints {
            match record.state {
                OutlierState::Ejected { until } if until <= now => {
                    record.state = OutlierState::AwaitingProbe;
                    actions.push(action(id.clone(), false, OutlierCause::ProbeAllowed));
                }
                OutlierState::Probing { until } if until <= now => {
                    record.eject(now, &self.settings);
                    actions.push(action(id.clone(), true, OutlierCause::ProbeFailed));
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
        let length = settings.base_ejection * (1 << doublings);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.state = OutlierState::Ejected {
            until: now + length.min(settings.max_ejection),
        };
    }
}

fn action(endpoint: EndpointId, ejected: bool, cause: OutlierCause) -> OutlierAction {
    OutlierAction {
        endpoint,
        ejected,
        cause,
    }
}

const MAX_DOUBLINGS: u32 = 16;
