//! What is on an endpoint, as it is counted and told.

use std::time::Duration;

use smallvec::SmallVec;

use super::process::EndpointProcess;
use crate::ids::TokenCount;

/// Names one placed piece of work within a gateway.
pub type WorkKey = u64;

/// Work that a gateway has placed on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedWork {
    /// The endpoint.
    pub endpoint: EndpointProcess,
    /// Prompt reading that it takes there.
    pub prefill_time: Duration,
    /// Tokens that it keeps in the engine's memory.
    pub context: TokenCount,
    /// Longest pause between events that its caller expects; `None` for work that writes no
    /// events, such as a helper's part of a prompt.
    pub gap: Option<Duration>,
    /// Whether its prompt is short, see [`DirectPlacer::is_long`](super::DirectPlacer::is_long).
    pub short: bool,
    /// What it is worth to be on time, see [`DirectRequest::value`](super::DirectRequest::value).
    pub value: f32,
    /// Whether a process ended under the request, see [`SuspectLedger`](super::SuspectLedger).
    pub suspect: bool,
}

/// What a peer has placed on an endpoint, as it tells it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests that hold a slot.
    pub occupied: u32,
    /// Those of them with short prompts.
    pub short: u32,
    /// Tokens in memory.
    pub context: TokenCount,
    /// Prompt reading that it placed there since it last had nothing there. It grows until then, so
    /// that a lost message is made good by the next one.
    pub prefill_total: Duration,
    /// Long prompts and parts of them that are not read yet.
    pub pending_prefills: u32,
    /// Requests under which a process ended elsewhere.
    pub suspects: u32,
    /// How many times as long as declared it takes, as the peer measured it; 0 if it did not.
    pub slowdown: f32,
    /// Those who write.
    pub writers: WriterTable,
}

impl PeerLoad {
    /// The same with a pace.
    pub(super) fn with_slowdown(&self, slowdown: f32) -> Self {
        Self {
            slowdown,
            ..self.clone()
        }
    }

    /// Whether there is nothing of the gateway on the endpoint, and nothing to say of its pace.
    pub fn is_idle(&self) -> bool {
        let has_work =
            self.occupied > 0 || self.short > 0 || self.pending_prefills > 0 || self.suspects > 0;
        let has_memory = self.context > 0 || self.writers.count() > 0;
        !has_work && !has_memory && self.slowdown <= 1.0
    }
}

/// What is on an endpoint, over all gateways.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CombinedLoad {
    /// Requests that hold a slot.
    pub occupied: u32,
    /// Tokens in memory.
    pub context: TokenCount,
    /// Time until it has read all prompts that were placed there.
    pub backlog: Duration,
    /// Long prompts and parts of them that it has not read yet.
    pub pending_prefills: u32,
    /// Requests under which a process ended elsewhere.
    pub suspects: u32,
    /// How many times as long as declared it takes, as peers measured it; 0 if none did.
    pub slowdown: f32,
    /// Those who write.
    pub writers: WriterTable,
}

impl CombinedLoad {
    /// Requests that write or will write.
    pub fn writer_count(&self) -> u32 {
        self.writers.count()
    }

    /// Value of the writers that bear no pause as long as `pause`.
    pub fn value_delayed_by(&self, pause: Duration) -> f64 {
        let delayed = self.writers.groups().filter(|group| group.gap < pause);
        delayed.map(|group| f64::from(group.value)).sum()
    }
}

impl PlacedWork {
    /// Whether it is the reading of a long prompt or of a part of one.
    pub(super) fn is_long_prefill(&self) -> bool {
        !self.short && !self.prefill_time.is_zero()
    }

    pub(super) fn as_load(&self) -> PeerLoad {
        let writers = self.gap.map(|gap| WriterGroup::new(gap, self.value));
        PeerLoad {
            occupied: 1,
            short: u32::from(self.short),
            context: self.context,
            prefill_total: self.prefill_time,
            pending_prefills: u32::from(self.is_long_prefill()),
            suspects: u32::from(self.suspect),
            slowdown: 0.0,
            writers: writers.into_iter().collect(),
        }
    }
}

/// Requests that write on an endpoint and bear the same pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriterGroup {
    /// Longest pause between events that their callers expect.
    pub gap: Duration,
    /// Their number.
    pub count: u32,
    /// What it is worth, in sum, that none of them has to wait longer.
    pub value: f32,
}

impl WriterGroup {
    /// One writer.
    pub fn new(gap: Duration, value: f32) -> Self {
        Self {
            gap,
            count: 1,
            value,
        }
    }
}

/// All who write on an endpoint, by the pause that they bear.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriterTable(SmallVec<[WriterGroup; INLINE_GROUPS]>);

/// Pauses that writers of one engine bear, usually: one for each kind of request, and that of writers
/// which were late already. A table is copied for each endpoint at each look for a place.
const INLINE_GROUPS: usize = 4;

impl WriterTable {
    /// The groups; none is empty.
    pub fn groups(&self) -> impl Iterator<Item = &WriterGroup> {
        self.0.iter()
    }

    /// Number of writers.
    pub fn count(&self) -> u32 {
        self.groups().map(|group| group.count).sum()
    }

    /// Adds writers to those who bear the same pause.
    pub(super) fn add(&mut self, added: WriterGroup) {
        match self.0.iter_mut().find(|group| group.gap == added.gap) {
            Some(group) => {
                group.count += added.count;
                group.value += added.value;
            }
            None => self.0.push(added),
        }
    }

    /// Takes writers out; the last one of a group takes what rounding has left of its value along.
    pub(super) fn remove(&mut self, removed: WriterGroup) {
        if let Some(group) = self.0.iter_mut().find(|group| group.gap == removed.gap) {
            group.count = group.count.saturating_sub(removed.count);
            group.value = (group.value - removed.value).max(0.0);
        }
        self.0.retain(|group| group.count > 0);
    }
}

impl FromIterator<WriterGroup> for WriterTable {
    fn from_iter<I: IntoIterator<Item = WriterGroup>>(groups: I) -> Self {
        let mut table = Self::default();
        groups.into_iter().for_each(|group| table.add(group));
        table
    }
}
