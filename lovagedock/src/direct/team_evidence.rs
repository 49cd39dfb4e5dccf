//! Late teams, and the engines that explain why they were late.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use smallvec::SmallVec;

use super::process::EndpointProcess;
use crate::ids::Timestamp;

/// Time for which a late team counts. It covers the time for which a slow engine is avoided, so that
/// one further late team suffices when it is tried again.
const TEAM_MEMORY: Duration = Duration::from_secs(30);

/// Maximum number of late teams that are kept; the oldest are dropped first. It bounds the time of an
/// evaluation to some tens of microseconds.
const MAX_TEAMS: usize = 128;

/// Number of an engine's latest late teams among which two without another common member are looked
/// for.
const MAX_COMPARED_TEAMS: usize = 8;

/// Factor between the lowest and the highest ratio of teams that one slow engine explains. Each
/// prediction is off by up to a factor of 1.5 either way.
const EXPLAINED_RANGE: f64 = 2.25;

/// Position of an engine in [`TeamEvidence::engines`].
type EngineIndex = usize;

/// Members of a late team that have not been in a team on time since.
type TeamSuspects = SmallVec<[EngineIndex; 8]>;

#[derive(Clone, Debug)]
struct LateTeam {
    suspects: TeamSuspects,
    ratio: f64,
    measured_at: Timestamp,
    is_own: bool,
}

/// A slow engine, and the teams that it made late.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct SlowEngine {
    pub(super) endpoint: EndpointProcess,
    /// Smallest ratio among its teams.
    pub(super) slowdown: f64,
    pub(super) teams: usize,
    /// When the latest of these teams was measured.
    pub(super) measured_at: Timestamp,
    /// Whether this gateway measured one of them.
    pub(super) is_own: bool,
}

/// Late teams of one service, measured by this gateway or by peers.
///
/// A late team has at least one slow member, and a team on time has none. The slow engines are those
/// that explain all late teams with as few engines as possible. An engine counts as slow only if two of
/// the teams that it explains have no other suspect in common.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamEvidence {
    engines: Vec<EndpointProcess>,
    indexes: HashMap<EndpointProcess, EngineIndex>,
    teams: VecDeque<LateTeam>,
}

impl TeamEvidence {
    /// Returns whether there is no late team.
    pub(super) fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Records a team that was late by `ratio`.
    pub(super) fn record_late(
        &mut self,
        now: Timestamp,
        members: &[EndpointProcess],
        ratio: f64,
        is_own: bool,
    ) {
        if self.teams.len() >= MAX_TEAMS {
            self.teams.pop_front();
        }
        let mut suspects: TeamSuspects = members.iter().map(|member| self.index(member)).collect();
        suspects.sort_unstable();
        suspects.dedup();
        self.teams.push_back(LateTeam {
            suspects,
            ratio,
            measured_at: now,
            is_own,
        });
    }

    /// Records that an engine was in a team on time. Returns whether it was a suspect before.
    pub(super) fn clear(&mut self, endpoint: &EndpointProcess) -> bool {
        let Some(&cleared) = self.indexes.get(endpoint) else {
            return false;
        };
        let mut was_suspect = false;
        self.teams.retain_mut(|team| {
            let before = team.suspects.len();
            team.suspects.retain(|suspect| *suspect != cleared);
            was_suspect |= team.suspects.len() < before;
            !team.suspects.is_empty()
        });
        was_suspect
    }

    /// Removes an engine that is gone, and the teams that it may have made late.
    pub(super) fn forget(&mut self, endpoint: &EndpointProcess) {
        if let Some(forgotten) = self.indexes.get(endpoint) {
            self.teams.retain(|team| !team.suspects.contains(forgotten));
        }
    }

    /// Removes teams that no longer count.
    pub(super) fn forget_old(&mut self, now: Timestamp) {
        let is_old = |team: &LateTeam| now.saturating_sub(team.measured_at) > TEAM_MEMORY;
        while self.teams.front().is_some_and(is_old) {
            self.teams.pop_front();
        }
        if self.teams.is_empty() {
            self.engines.clear();
            self.indexes.clear();
        }
    }

    /// Returns the engines that explain the late teams, most teams first.
    pub(super) fn find_slow(&self) -> Vec<SlowEngine> {
        let mut counts = vec![0_usize; self.engines.len()];
        for suspect in self.teams.iter().flat_map(|team| &team.suspects) {
            counts[*suspect] += 1;
        }
        let mut unexplained: Vec<&LateTeam> = self.teams.iter().collect();
        let mut slow = Vec::new();
        loop {
            let mut suspects: Vec<EngineIndex> = (0..counts.len())
                .filter(|suspect| counts[*suspect] >= 2)
                .collect();
            suspects.sort_by_key(|suspect| std::cmp::Reverse(counts[*suspect]));
            let found = suspects
                .into_iter()
                .find(|suspect| is_proven(*suspect, &unexplained, &counts));
            let Some(found) = found else {
                return slow;
            };
            slow.push(self.explain(found, &mut unexplained, &mut counts));
        }
    }

    /// Removes the teams that an engine explains.
    fn explain(
        &self,
        found: EngineIndex,
        unexplained: &mut Vec<&LateTeam>,
        counts: &mut [usize],
    ) -> SlowEngine {
        let its_teams = unexplained
            .iter()
            .filter(|team| team.suspects.contains(&found));
        let slowdown = its_teams
            .map(|team| team.ratio)
            .fold(f64::INFINITY, f64::min);
        let mut engine = SlowEngine {
            endpoint: self.engines[found].clone(),
            slowdown,
            teams: 0,
            measured_at: Duration::ZERO,
            is_own: false,
        };
        unexplained.retain(|team| {
            if !team.suspects.contains(&found) {
                return true;
            }
            engine.teams += 1;
            engine.measured_at = engine.measured_at.max(team.measured_at);
            engine.is_own |= team.is_own;
            if team.ratio > slowdown * EXPLAINED_RANGE {
                return true;
            }
            for suspect in &team.suspects {
                counts[*suspect] = counts[*suspect].saturating_sub(1);
            }
            false
        });
        counts[found] = 0;
        engine
    }

    fn index(&mut self, endpoint: &EndpointProcess) -> EngineIndex {
        if let Some(index) = self.indexes.get(endpoint) {
            return *index;
        }
        let index = self.engines.len();
        self.engines.push(endpoint.clone());
        self.indexes.insert(endpoint.clone(), index);
        index
    }
}

/// Returns whether two late teams have no other suspect in common, and in both no other suspect was in
/// more late teams.
fn is_proven(suspect: EngineIndex, teams: &[&LateTeam], counts: &[usize]) -> bool {
    let leads = |team: &&&LateTeam| {
        let mut others = team.suspects.iter().filter(|other| **other != suspect);
        team.suspects.contains(&suspect) && others.all(|other| counts[*other] < counts[suspect])
    };
    let led = teams.iter().rev().filter(leads).take(MAX_COMPARED_TEAMS);
    let led: SmallVec<[&TeamSuspects; MAX_COMPARED_TEAMS]> =
        led.map(|team| &team.suspects).collect();
    led.iter().enumerate().any(|(position, first)| {
        let mut later = led[position + 1..].iter();
        later.any(|second| {
            let mut others = first.iter().filter(|other| **other != suspect);
            others.all(|other| !second.contains(other))
        })
    })
}
