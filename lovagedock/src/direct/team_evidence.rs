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

/// Rounds of an evaluation. Each finds at most one engine, and the next evaluation continues.
const MAX_ROUNDS: usize = 3;

/// Time before a late team within which a member that was in a team on time is assumed to be still
/// fast.
const FAST_MEMORY: Duration = Duration::from_secs(10);

/// Probability that a member of a late team is slow: if it is known to be slow, if nothing is known of
/// it, and if it was in a team on time shortly before.
const KNOWN_SLOW: f64 = 0.9;
const UNKNOWN: f64 = 0.2;
const RECENTLY_FAST: f64 = 0.03;

/// Lower bound of the probability that a team without a slow member is late.
const LATE_BY_CHANCE: f64 = 0.05;

/// An engine is slow if its teams were late with less than this probability without it, and no longer
/// if they were with more than the second one.
const SLOW_PROBABILITY: f64 = 0.01;
const FAST_PROBABILITY: f64 = 0.3;

/// Number of an engine's latest late teams among which two without another common member are looked
/// for.
const MAX_COMPARED_TEAMS: usize = 8;

/// Position of an engine in [`TeamEvidence::engines`].
type EngineIndex = usize;

/// Members of a late team that have not been in a team on time since, in ascending order.
type TeamSuspects = SmallVec<[EngineIndex; 8]>;

#[derive(Clone, Debug)]
struct LateTeam {
    suspects: TeamSuspects,
    ratio: f64,
    measured_at: Timestamp,
    is_own: bool,
}

#[derive(Clone, Debug)]
struct EngineRecord {
    endpoint: EndpointProcess,
    /// When the engine was last in a team on time.
    fast_at: Option<Timestamp>,
    is_slow: bool,
}

/// A slow engine, and its late teams.
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
/// A late team has at least one slow member, and a team on time has none. With a fifth of the engines
/// slow, nine of ten teams of eleven engines are late, so a late team says little about a member unless
/// its other members are known to be fast. An engine counts as slow if its late teams would be
/// improbable without it, and if two of them have no other suspect in common.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamEvidence {
    engines: Vec<EngineRecord>,
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
    pub(super) fn clear(&mut self, now: Timestamp, endpoint: &EndpointProcess) -> bool {
        let cleared = self.index(endpoint);
        self.engines[cleared].fast_at = Some(now);
        self.engines[cleared].is_slow = false;
        let mut was_suspect = false;
        self.teams.retain_mut(|team| {
            let before = team.suspects.len();
            team.suspects.retain(|suspect| *suspect != cleared);
            was_suspect |= team.suspects.len() < before;
            !team.suspects.is_empty()
        });
        was_suspect
    }

    /// Returns whether an engine was in a team on time shortly before, and has not been found slow
    /// since.
    pub(super) fn was_fast(&self, now: Timestamp, endpoint: &EndpointProcess) -> bool {
        let record = self
            .indexes
            .get(endpoint)
            .map(|index| &self.engines[*index]);
        record.is_some_and(|record| record.slow_probability(now) == RECENTLY_FAST)
    }

    /// Removes an engine that is gone, and the teams that it may have made late.
    pub(super) fn forget(&mut self, endpoint: &EndpointProcess) {
        let Some(forgotten) = self.indexes.get(endpoint).copied() else {
            return;
        };
        self.teams
            .retain(|team| !team.suspects.contains(&forgotten));
        self.engines.remove(forgotten);
        self.indexes.remove(endpoint);
        let positions = self.indexes.values_mut();
        let teams = self.teams.iter_mut().flat_map(|team| &mut team.suspects);
        for index in positions.chain(teams).filter(|index| **index > forgotten) {
            *index -= 1;
        }
    }

    /// Removes teams that no longer count.
    pub(super) fn forget_old(&mut self, now: Timestamp) {
        let is_old = |team: &LateTeam| now.saturating_sub(team.measured_at) > TEAM_MEMORY;
        while self.teams.front().is_some_and(is_old) {
            self.teams.pop_front();
        }
    }

    /// Returns the slow engines.
    pub(super) fn find_slow(&mut self) -> Vec<SlowEngine> {
        for _ in 0..MAX_ROUNDS {
            if !self.update_slow() {
                break;
            }
        }
        let slow = (0..self.engines.len()).filter(|index| self.engines[*index].is_slow);
        slow.map(|index| self.slow_engine(index)).collect()
    }

    /// Marks the engine as slow without which the late teams are least probable, and those as fast
    /// that are not needed. Returns whether an engine was marked as slow.
    fn update_slow(&mut self) -> bool {
        // Probability that all late teams of an engine were late if it is fast.
        let mut chances = vec![1.0_f64; self.engines.len()];
        for team in &self.teams {
            let fast = |suspect: &EngineIndex| {
                1.0 - self.engines[*suspect].slow_probability(team.measured_at)
            };
            let all_fast: f64 = team.suspects.iter().map(fast).product();
            for suspect in &team.suspects {
                let others_fast = all_fast / fast(suspect);
                chances[*suspect] *= (1.0 - others_fast).max(LATE_BY_CHANCE);
            }
        }
        for (engine, chance) in self.engines.iter_mut().zip(&chances) {
            engine.is_slow &= *chance <= FAST_PROBABILITY;
        }
        let improbable = (0..chances.len())
            .filter(|index| !self.engines[*index].is_slow && chances[*index] < SLOW_PROBABILITY);
        let mut improbable: Vec<EngineIndex> = improbable.collect();
        improbable.sort_by(|a, b| chances[*a].total_cmp(&chances[*b]));
        let found = improbable
            .into_iter()
            .find(|index| self.has_separate_teams(*index));
        if let Some(found) = found {
            self.engines[found].is_slow = true;
        }
        found.is_some()
    }

    /// Returns whether two of the engine's latest late teams have no other suspect in common.
    fn has_separate_teams(&self, index: EngineIndex) -> bool {
        let teams = self.teams.iter().rev().map(|team| &team.suspects);
        let its_teams = teams.filter(|suspects| suspects.contains(&index));
        let latest: SmallVec<[&TeamSuspects; MAX_COMPARED_TEAMS]> =
            its_teams.take(MAX_COMPARED_TEAMS).collect();
        latest.iter().enumerate().any(|(position, first)| {
            let mut earlier = latest[position + 1..].iter();
            earlier.any(|second| {
                let mut others = first.iter().filter(|other| **other != index);
                others.all(|other| !second.contains(other))
            })
        })
    }

    fn slow_engine(&self, index: EngineIndex) -> SlowEngine {
        let mut engine = SlowEngine {
            endpoint: self.engines[index].endpoint.clone(),
            slowdown: f64::INFINITY,
            teams: 0,
            measured_at: Duration::ZERO,
            is_own: false,
        };
        for team in &self.teams {
            if team.suspects.contains(&index) {
                engine.slowdown = engine.slowdown.min(team.ratio);
                engine.teams += 1;
                engine.measured_at = engine.measured_at.max(team.measured_at);
                engine.is_own |= team.is_own;
            }
        }
        engine
    }

    fn index(&mut self, endpoint: &EndpointProcess) -> EngineIndex {
        if let Some(index) = self.indexes.get(endpoint) {
            return *index;
        }
        let index = self.engines.len();
        self.engines.push(EngineRecord {
            endpoint: endpoint.clone(),
            fast_at: None,
            is_slow: false,
        });
        self.indexes.insert(endpoint.clone(), index);
        index
    }
}

impl EngineRecord {
    /// Returns the probability that the engine was slow at `at`.
    fn slow_probability(&self, at: Timestamp) -> f64 {
        let was_fast = |fast_at: Timestamp| at.saturating_sub(fast_at) < FAST_MEMORY;
        match (self.is_slow, self.fast_at.is_some_and(was_fast)) {
            (true, _) => KNOWN_SLOW,
            (false, true) => RECENTLY_FAST,
            (false, false) => UNKNOWN,
        }
    }
}
