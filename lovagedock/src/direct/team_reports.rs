//! Measurements of teams that are sent to peers or were received from them.

use std::{collections::VecDeque, time::Duration};

use super::{helper_speeds::HelperSpeed, process::EndpointProcess};
use crate::ids::{GatewayId, Timestamp};

/// Interval at which the measurement of a team is sent again, and number of sends, to tolerate message
/// loss. A late team that arrives after its members were in a team on time would count against them, so
/// the interval is short.
const TEAM_RESEND_INTERVAL: Duration = Duration::from_millis(40);
const TEAM_SENDS: u8 = 2;

/// Maximum number of peers' measurements that are remembered to recognise repeated ones. It exceeds the
/// number that a fleet measures while one is sent.
const MAX_KNOWN_TEAMS: usize = 128;

/// Measurement of a peer that was applied, by the bits of its ratio.
#[derive(Clone, Debug, PartialEq)]
struct KnownTeam {
    peer: GatewayId,
    ratio: u32,
}

#[derive(Clone, Debug)]
struct UnsentTeam {
    entries: Vec<HelperSpeed>,
    sends_left: u8,
    due_at: Timestamp,
}

/// Measurements of teams to be sent, and those of peers that were applied.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamReports {
    unsent: Vec<UnsentTeam>,
    known: VecDeque<KnownTeam>,
}

impl TeamReports {
    /// Returns whether nothing is left to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.unsent.is_empty()
    }

    /// Adds the members of a team that this gateway measured.
    pub(super) fn push(&mut self, now: Timestamp, entries: Vec<HelperSpeed>) {
        self.unsent.push(UnsentTeam {
            entries,
            sends_left: TEAM_SENDS,
            due_at: now,
        });
    }

    /// Returns the members of teams that are due, at most `limit`. A team is never split.
    pub(super) fn take_due(&mut self, now: Timestamp, limit: usize) -> Vec<HelperSpeed> {
        let mut due = Vec::new();
        for team in &mut self.unsent {
            if team.due_at > now || due.len() + team.entries.len() > limit {
                continue;
            }
            due.extend(team.entries.iter().cloned());
            team.sends_left -= 1;
            team.due_at = now + TEAM_RESEND_INTERVAL;
        }
        self.unsent.retain(|team| team.sends_left > 0);
        due
    }

    /// Records the measurement of a peer. Returns false if it was received before.
    pub(super) fn record_peer(&mut self, peer: &GatewayId, ratio: f32) -> bool {
        let team = KnownTeam {
            peer: peer.clone(),
            ratio: ratio.to_bits(),
        };
        if self.known.contains(&team) {
            return false;
        }
        if self.known.len() >= MAX_KNOWN_TEAMS {
            self.known.pop_front();
        }
        self.known.push_back(team);
        true
    }

    /// Removes teams with an engine that is gone.
    pub(super) fn forget(&mut self, endpoint: &EndpointProcess) {
        let has_member = |team: &UnsentTeam| {
            let mut entries = team.entries.iter();
            entries.any(|entry| entry.endpoint == *endpoint)
        };
        self.unsent.retain(|team| !has_member(team));
    }
}
