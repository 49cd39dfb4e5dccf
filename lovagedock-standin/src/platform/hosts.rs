//! Host list of the stand-in platform, which lags behind the actual state.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::Timestamp;
use lovagedock_platform::{HostEntry, HostList, HostState};

/// History of the changes of host states.
#[derive(Debug)]
pub(crate) struct HostHistory {
    lag: Duration,
    initial: Vec<String>,
    changes: Vec<HostChange>,
}

#[derive(Debug)]
struct HostChange {
    at: Timestamp,
    host: String,
    state: Option<HostState>,
}

impl HostHistory {
    pub(crate) fn new(initial: Vec<String>, lag: Duration) -> Self {
        Self {
            lag,
            initial,
            changes: Vec::new(),
        }
    }

    /// Records a change of a host; `None` if the host is gone.
    pub(crate) fn record(&mut self, host: &str, state: Option<HostState>, now: Timestamp) {
        self.changes.push(HostChange {
            at: now,
            host: host.to_owned(),
            state,
        });
    }

    /// Returns the list as it was at `now` minus the lag.
    pub(crate) fn list(&self, now: Timestamp) -> HostList {
        let mut hosts: BTreeMap<&str, HostState> = self
            .initial
            .iter()
            .map(|host| (host.as_str(), HostState::Live))
            .collect();
        let visible = |change: &&HostChange| change.at + self.lag <= now;
        for change in self.changes.iter().filter(visible) {
            match change.state {
                Some(state) => hosts.insert(&change.host, state),
                None => hosts.remove(change.host.as_str()),
            };
        }
        let hosts = hosts
            .into_iter()
            .map(|(host, state)| HostEntry {
                host: host.into(),
                state,
            })
            .collect();
        HostList { hosts }
    }
}
