//! Endpoints listed by the platform's discovery.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::process::EndpointProcess;
use crate::ids::{DomainId, EndpointId, ServiceId, StartStamp, Timestamp};

/// An endpoint as listed by discovery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectEndpoint {
    /// The process to which the entry refers.
    #[serde(rename = "life")]
    pub process: EndpointProcess,
    /// Service to which the endpoint belongs.
    pub service: ServiceId,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts new work.
    pub state: EndpointState,
    /// Time for which the endpoint tolerates only a low request rate, as of its latest entry.
    pub cold_left: Duration,
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new work.
    Ready,
    /// Finishes its current work and then exits.
    Draining,
}

/// Effect of an entry on the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The table did not change.
    Unchanged,
    /// The endpoint is new, or a property of its process changed.
    Changed,
    /// The endpoint has restarted; contains its former process.
    Restarted(DirectEndpoint),
    /// The entry refers to a process that has been replaced already. It was not applied.
    Outdated,
}

/// Time for which an entry with an earlier start than the known process must remain in the store
/// before it is applied.
///
/// Such an entry has one of two causes. The store may have carried out the last write of a former
/// process late; the new process overwrites it within a second or two. Or the host's clock was set
/// back before the restart.
const DEFERRAL_TIME: Duration = Duration::from_secs(4);

/// Maximum number of former processes that are remembered: the number of endpoints in the largest
/// supported fleet.
const MAX_FORMER: usize = 10_000;

/// All listed endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, DirectEndpoint>,
    former: FormerProcesses,
    /// Entries that were not applied, with the time since which they have been known: they have an
    /// earlier start than the known process, or belong to a process that is gone.
    deferred: HashMap<EndpointId, (Timestamp, DirectEndpoint)>,
}

/// Latest known process of each endpoint whose entry is gone.
#[derive(Clone, Debug, Default)]
struct FormerProcesses {
    processes: HashMap<EndpointId, FormerProcess>,
    order: VecDeque<EndpointId>,
}

#[derive(Clone, Copy, Debug)]
struct FormerProcess {
    started: StartStamp,
    state: EndpointState,
}

impl EndpointTable {
    /// Creates a table without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies an entry.
    ///
    /// A process that was seen draining never becomes ready again. It has announced its exit, so an
    /// entry that says otherwise is older and was read late. This does not apply to the next
    /// process under the same name.
    pub fn insert(&mut self, now: Timestamp, mut endpoint: DirectEndpoint) -> EntryChange {
        let id = endpoint.process.id.clone();
        let known = self.latest_process(&id);
        if known.is_some_and(|known| endpoint.process.started < known.started) {
            self.defer(now, endpoint);
            return EntryChange::Outdated;
        }
        self.deferred.remove(&id);
        if let Some(known) = known.filter(|known| known.started == endpoint.process.started) {
            endpoint.state = known.state.or(endpoint.state);
        }
        self.replace(endpoint)
    }

    /// Applies an entry that was read from a restored copy of the store.
    ///
    /// The copy may list a process whose entry has been removed since. That process has left, and
    /// requests sent to it would be lost. So an entry of a process that is known to be gone is
    /// deferred, and the store removes it again in that time. A running process writes its entry,
    /// and that write is applied at once.
    pub fn insert_restored(&mut self, now: Timestamp, endpoint: DirectEndpoint) -> EntryChange {
        if !self.is_unlisted(&endpoint.process) {
            return self.insert(now, endpoint);
        }
        self.defer(now, endpoint);
        EntryChange::Outdated
    }

    fn defer(&mut self, now: Timestamp, endpoint: DirectEndpoint) {
        let id = endpoint.process.id.clone();
        let since = self.deferred.get(&id).map_or(now, |(since, _)| *since);
        self.deferred.insert(id, (since, endpoint));
    }

    /// Applies deferred entries that were neither overwritten nor removed in time, and returns the
    /// resulting changes.
    pub fn apply_deferred(&mut self, now: Timestamp) -> Vec<(DirectEndpoint, EntryChange)> {
        let due = self.deferred.values();
        let due: Vec<DirectEndpoint> = due
            .filter(|(since, _)| now.saturating_sub(*since) >= DEFERRAL_TIME)
            .map(|(_, endpoint)| endpoint.clone())
            .collect();
        let apply = |mut endpoint: DirectEndpoint| {
            self.deferred.remove(&endpoint.process.id);
            let known = self.latest_process(&endpoint.process.id);
            if let Some(known) = known.filter(|known| known.started == endpoint.process.started) {
                endpoint.state = known.state.or(endpoint.state);
            }
            let change = self.replace(endpoint.clone());
            (endpoint, change)
        };
        due.into_iter().map(apply).collect()
    }

    /// Removes an endpoint whose entry is gone, and returns its process.
    pub fn remove(&mut self, id: &EndpointId) -> Option<DirectEndpoint> {
        self.deferred.remove(id);
        let removed = self.endpoints.remove(id)?;
        self.former.insert(&removed);
        Some(removed)
    }

    /// Returns the known endpoints that a full listing does not contain.
    pub fn unlisted(&self, listed: &[DirectEndpoint]) -> Vec<EndpointId> {
        let listed: HashSet<&EndpointId> =
            listed.iter().map(|endpoint| &endpoint.process.id).collect();
        let known = self.endpoints.keys();
        known.filter(|id| !listed.contains(id)).cloned().collect()
    }

    /// Drops deferred entries that a full listing does not contain.
    pub fn drop_unlisted_deferred(&mut self, listed: &[DirectEndpoint]) {
        let listed: HashSet<&EndpointId> =
            listed.iter().map(|endpoint| &endpoint.process.id).collect();
        self.deferred.retain(|id, _| listed.contains(id));
    }

    /// Returns the entries that are not applied yet. They are sent to peers, since applying them
    /// later does not coincide with a change in the store.
    pub fn deferred(&self) -> impl Iterator<Item = &DirectEndpoint> {
        self.deferred.values().map(|(_, endpoint)| endpoint)
    }

    /// Records that a process announced that it is leaving. Returns whether it was ready until now.
    ///
    /// The entry of the process may show this much later, or never if the store is unreachable.
    pub fn record_leaving(&mut self, process: &EndpointProcess) -> bool {
        if let Some(former) = self.former.processes.get_mut(&process.id)
            && former.started == process.started
        {
            former.state = EndpointState::Draining;
        }
        let known = self.endpoints.get_mut(&process.id);
        let Some(known) = known.filter(|known| known.process == *process) else {
            return false;
        };
        let previous = std::mem::replace(&mut known.state, EndpointState::Draining);
        previous == EndpointState::Ready
    }

    /// Returns whether the process is known to be leaving.
    pub fn is_leaving(&self, process: &EndpointProcess) -> bool {
        let known = self.endpoints.get(&process.id);
        known.is_some_and(|known| {
            known.process == *process && known.state == EndpointState::Draining
        })
    }

    /// Returns whether the process is the latest known process of its endpoint.
    pub fn is_current(&self, process: &EndpointProcess) -> bool {
        let known = self.endpoints.get(&process.id);
        known.is_some_and(|known| known.process == *process)
    }

    /// Returns whether another process has replaced this one.
    pub fn is_replaced(&self, process: &EndpointProcess) -> bool {
        let known = self.endpoints.get(&process.id);
        known.is_some_and(|known| known.process != *process)
    }

    /// Returns whether the process was listed before and no longer is.
    pub fn is_unlisted(&self, process: &EndpointProcess) -> bool {
        let former = self.former.processes.get(&process.id);
        former.is_some_and(|former| process.started <= former.started)
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: &EndpointId) -> Option<&DirectEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns the endpoints of a service that accept new work, ordered by id.
    pub fn ready(&self, service: &ServiceId) -> impl Iterator<Item = &DirectEndpoint> {
        self.endpoints.values().filter(move |endpoint| {
            endpoint.service == *service && endpoint.state == EndpointState::Ready
        })
    }

    /// Returns all endpoints, ordered by id.
    pub fn all(&self) -> impl Iterator<Item = &DirectEndpoint> {
        self.endpoints.values()
    }

    fn latest_process(&self, id: &EndpointId) -> Option<FormerProcess> {
        let listed = self.endpoints.get(id).map(FormerProcess::new);
        listed.or_else(|| self.former.processes.get(id).copied())
    }

    fn replace(&mut self, endpoint: DirectEndpoint) -> EntryChange {
        let id = endpoint.process.id.clone();
        self.former.remove(&id);
        match self.endpoints.insert(id.clone(), endpoint) {
            None => EntryChange::Changed,
            Some(known) if known == self.endpoints[&id] => EntryChange::Unchanged,
            Some(known) if known.process == self.endpoints[&id].process => EntryChange::Changed,
            Some(known) => EntryChange::Restarted(known),
        }
    }
}

impl EndpointState {
    /// Returns `Draining` if either state is.
    fn or(self, other: Self) -> Self {
        match self {
            Self::Ready => other,
            Self::Draining => Self::Draining,
        }
    }
}

impl FormerProcess {
    fn new(endpoint: &DirectEndpoint) -> Self {
        Self {
            started: endpoint.process.started,
            state: endpoint.state,
        }
    }
}

impl FormerProcesses {
    fn insert(&mut self, endpoint: &DirectEndpoint) {
        let id = endpoint.process.id.clone();
        if self
            .processes
            .insert(id.clone(), FormerProcess::new(endpoint))
            .is_none()
        {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_FORMER
            && let Some(oldest) = self.order.pop_front()
        {
            self.processes.remove(&oldest);
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        if self.processes.remove(id).is_some() {
            self.order.retain(|known| known != id);
        }
    }
}
