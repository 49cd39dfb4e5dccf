//! Measured speed of engines that prefill parts of prompts.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{
    process::EndpointProcess, slowdown::DECAY_TIME, slowdown::TOLERANCE,
    team_baseline::TeamBaseline, team_evidence::TeamEvidence, team_reports::TeamReports,
};
use crate::ids::{GatewayId, Timestamp};

/// Highest slowdown that is assumed of an engine.
const MAX_SLOWDOWN: f64 = 10.0;

/// Interval at which an estimate is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// Change of an estimate that is sent at once.
const MIN_CHANGE: f64 = 0.3;

/// Time without a report after which a peer's estimate no longer counts.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of entries per message.
const MAX_UPDATES_PER_MESSAGE: usize = 24;

/// Slowdown of an engine as a helper, as measured by one gateway and sent to peers.
///
/// Entries of one message with `teams` 1 and the same slowdown are the members of one team: the
/// slowdown is an upper bound for each of them. An entry with more teams is the sender's estimate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HelperSpeed {
    /// The engine's process.
    pub endpoint: EndpointProcess,
    /// Ratio of measured to predicted prefill time; 1 for an engine that is as fast as predicted.
    pub slowdown: f32,
    /// Teams on which the figure rests.
    pub teams: u8,
}

/// An engine that has been found to be slow as a helper, or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct HelperChange {
    /// The engine.
    pub endpoint: EndpointProcess,
    /// Ratio of measured to predicted prefill time; 1 if the engine is fast again.
    pub slowdown: f64,
    /// Teams on which the figure rests; 0 if the engine is fast again.
    pub teams: usize,
}

/// Speeds of the engines of one service as helpers.
///
/// The first event of a long prompt comes after the slowest part, so a late team does not tell which
/// member is slow. `TeamEvidence` tells it from several teams, of this gateway and of its peers.
#[derive(Clone, Debug, Default)]
pub struct HelperSpeeds {
    evidence: TeamEvidence,
    engine_count: usize,
    baseline: TeamBaseline,
    estimates: BTreeMap<EndpointProcess, HelperEstimate>,
    reports: BTreeMap<EndpointProcess, Vec<PeerReport>>,
    /// Divisor of all estimates, more than 1 if more than a third of the engines seem slow.
    scale: f64,
    team_reports: TeamReports,
    sent: HashMap<EndpointProcess, SentEstimate>,
    /// Engines that were slow when changes were last returned.
    slow: HashSet<EndpointProcess>,
}

#[derive(Clone, Copy, Debug)]
struct HelperEstimate {
    slowdown: f64,
    teams: usize,
    measured_at: Timestamp,
    is_own: bool,
}

#[derive(Clone, Debug)]
struct PeerReport {
    peer: GatewayId,
    slowdown: f64,
    teams: usize,
    received_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct SentEstimate {
    slowdown: f64,
    sent_at: Timestamp,
}

impl HelperEstimate {
    fn slowdown_at(&self, now: Timestamp) -> f64 {
        let age = now.saturating_sub(self.measured_at);
        let kept = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        1.0 + (self.slowdown - 1.0) * kept
    }
}

impl HelperSpeeds {
    /// Creates a state in which every engine is as fast as declared.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number of engines of the service. Without it, estimates are never divided by their
    /// median.
    pub fn set_engine_count(&mut self, count: usize) {
        self.engine_count = count;
    }

    /// Records the ratio of measured to predicted prefill time of a team that this gateway placed.
    /// Teams of one member are ignored.
    pub fn record_team(&mut self, now: Timestamp, members: &[EndpointProcess], ratio: f64) {
        if members.len() < 2 || !ratio.is_finite() {
            return;
        }
        if self.record_ratio(now, members, ratio, true) {
            let entries = members.iter().map(|endpoint| HelperSpeed {
                endpoint: endpoint.clone(),
                slowdown: ratio as f32,
                teams: 1,
            });
            let entries = entries.take(MAX_UPDATES_PER_MESSAGE).collect();
            self.team_reports.push(now, entries);
        }
        self.evaluate(now);
    }

    /// Applies what a peer measured. `is_known` returns whether a process is listed; a team with
    /// another member is ignored.
    pub fn apply_reports(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        updates: Vec<HelperSpeed>,
        is_known: impl Fn(&EndpointProcess) -> bool,
    ) {
        let mut teams: Vec<(f32, Vec<EndpointProcess>)> = Vec::new();
        for update in updates {
            if !update.slowdown.is_finite() || update.slowdown < 0.0 {
                continue;
            }
            if update.teams >= 2 {
                if is_known(&update.endpoint) {
                    self.apply_estimate(now, peer, update);
                }
                continue;
            }
            match teams.last_mut() {
                Some((ratio, members)) if *ratio == update.slowdown => {
                    members.push(update.endpoint)
                }
                _ => teams.push((update.slowdown, vec![update.endpoint])),
            }
        }
        for (ratio, members) in teams {
            if members.iter().all(&is_known) && self.apply_team(now, peer, ratio, &members) {
                self.evaluate(now);
            }
        }
    }

    /// Returns the measurements and estimates that are due to be sent to peers.
    ///
    /// An estimate is sent only by gateways that measured one of its teams, and repeated only if no
    /// peer has reported the same meanwhile.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<HelperSpeed> {
        if self.team_reports.is_empty() && self.estimates.is_empty() && self.sent.is_empty() {
            return Vec::new();
        }
        let mut due = self.team_reports.take_due(now, MAX_UPDATES_PER_MESSAGE);
        let estimates = self.estimates.iter();
        let mut speeds: Vec<(EndpointProcess, f64, usize)> = estimates
            .filter(|(_, estimate)| estimate.is_own && estimate.slowdown_at(now) >= TOLERANCE)
            .map(|(endpoint, estimate)| {
                let slowdown = estimate.slowdown_at(now);
                (endpoint.clone(), slowdown, estimate.teams)
            })
            .collect();
        let ended = self.sent.keys().filter(|endpoint| {
            let mut speeds = speeds.iter();
            speeds.all(|(slow, _, _)| slow != *endpoint)
        });
        let ended: Vec<EndpointProcess> = ended.cloned().collect();
        speeds.extend(ended.into_iter().map(|endpoint| (endpoint, 1.0, 2)));
        for (endpoint, slowdown, teams) in speeds {
            if due.len() >= MAX_UPDATES_PER_MESSAGE {
                break;
            }
            if !self.is_due(now, &endpoint, slowdown) {
                continue;
            }
            if slowdown < TOLERANCE {
                self.sent.remove(&endpoint);
            } else {
                let sent = SentEstimate {
                    slowdown,
                    sent_at: now,
                };
                self.sent.insert(endpoint.clone(), sent);
            }
            due.push(HelperSpeed {
                endpoint,
                slowdown: slowdown as f32,
                teams: u8::try_from(teams).unwrap_or(u8::MAX),
            });
        }
        due
    }

    /// Returns the ratio of measured to predicted prefill time of an engine, or 1 if it is about as
    /// fast as predicted.
    pub fn slowdown(&self, now: Timestamp, endpoint: &EndpointProcess) -> f64 {
        let slowdown = self.unscaled(now, endpoint) / self.scale.max(1.0);
        match slowdown < TOLERANCE {
            true => 1.0,
            false => slowdown.min(MAX_SLOWDOWN),
        }
    }

    /// Returns the number of slow engines, as of the latest call of
    /// [`take_changes`](Self::take_changes).
    pub fn slow_count(&self) -> usize {
        self.slow.len()
    }

    /// Returns the engines that have become slow or fast since the last call, and drops what no longer
    /// counts.
    pub fn take_changes(&mut self, now: Timestamp) -> Vec<HelperChange> {
        if self.is_idle() {
            return Vec::new();
        }
        self.evidence.forget_old(now);
        let is_recent = |report: &PeerReport| now < report.received_at + REPORT_TIMEOUT;
        self.reports.retain(|_, reports| {
            reports.retain(is_recent);
            !reports.is_empty()
        });
        if self.evidence.is_empty() {
            self.estimates.clear();
        }
        self.scale = self.median_slowdown(now);
        let candidates = self.estimates.keys().chain(self.reports.keys());
        let slow: HashSet<EndpointProcess> = candidates
            .filter(|endpoint| self.slowdown(now, endpoint) > 1.0)
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.slow, slow);
        let found = self.slow.difference(&before).map(|endpoint| HelperChange {
            endpoint: endpoint.clone(),
            slowdown: self.slowdown(now, endpoint),
            teams: self.team_count(endpoint),
        });
        let ended = before.difference(&self.slow).map(|endpoint| HelperChange {
            endpoint: endpoint.clone(),
            slowdown: 1.0,
            teams: 0,
        });
        found.chain(ended).collect()
    }

    /// Removes the measurements of an engine that is gone.
    pub fn forget(&mut self, endpoint: &EndpointProcess) {
        self.evidence.forget(endpoint);
        self.estimates.remove(endpoint);
        self.reports.remove(endpoint);
        self.sent.remove(endpoint);
        self.slow.remove(endpoint);
        self.team_reports.forget(endpoint);
    }

    fn is_idle(&self) -> bool {
        self.evidence.is_empty()
            && self.reports.is_empty()
            && self.slow.is_empty()
            && self.estimates.is_empty()
    }

    /// Records that an engine is fast. Returns whether there was evidence that it is slow.
    fn clear(&mut self, now: Timestamp, endpoint: &EndpointProcess) -> bool {
        let was_suspect = self.evidence.clear(now, endpoint);
        let was_reported = self.reports.remove(endpoint).is_some();
        was_suspect || was_reported
    }

    fn apply_estimate(&mut self, now: Timestamp, peer: &GatewayId, update: HelperSpeed) {
        // A peer that missed messages may be wrong about an engine that was fast just now.
        let is_fast = self.evidence.was_fast(now, &update.endpoint);
        let reports = self.reports.entry(update.endpoint).or_default();
        reports.retain(|report| report.peer != *peer);
        let is_slow = f64::from(update.slowdown) >= TOLERANCE;
        if is_slow && !is_fast {
            reports.push(PeerReport {
                peer: peer.clone(),
                slowdown: f64::from(update.slowdown),
                teams: usize::from(update.teams),
                received_at: now,
            });
        }
    }

    /// Applies the measurement of a peer. Returns false if it was applied already.
    fn apply_team(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        ratio: f32,
        members: &[EndpointProcess],
    ) -> bool {
        if !self.team_reports.record_peer(peer, ratio) {
            return false;
        }
        self.record_ratio(now, members, f64::from(ratio), false);
        true
    }

    /// Records the ratio of a team of this gateway or of a peer. Returns whether it is evidence that a
    /// member is slow, or that a suspect is fast.
    fn record_ratio(
        &mut self,
        now: Timestamp,
        members: &[EndpointProcess],
        ratio: f64,
        is_own: bool,
    ) -> bool {
        let relative = ratio / self.baseline.ratio();
        self.baseline.record(ratio);
        if relative >= TOLERANCE {
            self.evidence.record_late(now, members, relative, is_own);
            return true;
        }
        let cleared = members.iter().filter(|member| self.clear(now, member));
        cleared.count() > 0
    }

    /// Updates the estimates by the late teams.
    fn evaluate(&mut self, now: Timestamp) {
        let slow = self.evidence.find_slow().into_iter().map(|engine| {
            let estimate = HelperEstimate {
                slowdown: engine.slowdown,
                teams: engine.teams,
                measured_at: engine.measured_at,
                is_own: engine.is_own,
            };
            (engine.endpoint, estimate)
        });
        self.estimates = slow.collect();
        self.scale = self.median_slowdown(now);
    }

    /// Returns the median of all estimates if more than a third of the engines exceed the tolerance,
    /// or 1.
    fn median_slowdown(&self, now: Timestamp) -> f64 {
        let endpoints: HashSet<&EndpointProcess> =
            self.estimates.keys().chain(self.reports.keys()).collect();
        let slowdowns = endpoints
            .into_iter()
            .map(|endpoint| self.unscaled(now, endpoint));
        let mut slowdowns: Vec<f64> = slowdowns
            .filter(|slowdown| *slowdown >= TOLERANCE)
            .collect();
        if self.engine_count == 0 || slowdowns.len() * 3 <= self.engine_count {
            return 1.0;
        }
        let middle = slowdowns.len() / 2;
        let (_, median, _) = slowdowns.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }

    /// Returns the smallest estimate of an engine, of this gateway and of peers.
    fn unscaled(&self, now: Timestamp, endpoint: &EndpointProcess) -> f64 {
        let own = self.estimates.get(endpoint);
        let own = own.map(|estimate| estimate.slowdown_at(now));
        let reports = self.reports.get(endpoint).into_iter().flatten();
        let reported = reports
            .filter(|report| now < report.received_at + REPORT_TIMEOUT)
            .map(|report| report.slowdown);
        let smallest = own
            .into_iter()
            .chain(reported)
            .fold(f64::INFINITY, f64::min);
        if smallest.is_finite() { smallest } else { 1.0 }
    }

    fn team_count(&self, endpoint: &EndpointProcess) -> usize {
        let own = self.estimates.get(endpoint).map(|estimate| estimate.teams);
        let reports = self.reports.get(endpoint).into_iter().flatten();
        let reported = reports.map(|report| report.teams).max();
        own.max(reported).unwrap_or(0)
    }

    /// Returns whether this gateway's estimate of an engine must be sent.
    fn is_due(&self, now: Timestamp, endpoint: &EndpointProcess, slowdown: f64) -> bool {
        let is_near = |other: f64| (slowdown - other).abs() <= MIN_CHANGE;
        let Some(sent) = self
            .sent
            .get(endpoint)
            .filter(|sent| is_near(sent.slowdown))
        else {
            return true;
        };
        if now.saturating_sub(sent.sent_at) < RESEND_INTERVAL {
            return false;
        }
        let mut reports = self.reports.get(endpoint).into_iter().flatten();
        !reports.any(|report| {
            now.saturating_sub(report.received_at) < RESEND_INTERVAL && is_near(report.slowdown)
        })
    }
}
