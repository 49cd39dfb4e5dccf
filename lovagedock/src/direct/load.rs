//! Load of endpoints, as counted by a gateway and as sent to peers.

use std::time::Duration;

use smallvec::SmallVec;

use super::{
    member::{MAX_HELPER_BACKLOG, effective_backlog},
    process::EndpointProcess,
};
use crate::ids::TokenCount;

/// Identifies placed work within a gateway.
pub type WorkKey = u64;

/// Work that a gateway has placed on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedWork {
    /// The endpoint.
    pub endpoint: EndpointProcess,
    /// Prefill time of the work on this endpoint.
    pub prefill_time: Duration,
    /// Tokens that the work occupies in the engine's memory.
    pub context: TokenCount,
    /// Longest gap between events that the caller expects. `None` for work without events, such as
    /// a helper's part of a prompt.
    pub gap: Option<Duration>,
    /// Whether the prompt is short, see [`DirectPlacer::is_long`](super::DirectPlacer::is_long).
    pub short: bool,
    /// Value of being on time, see [`DirectRequest::value`](super::DirectRequest::value).
    pub value: f32,
    /// Whether an engine process ended while it ran the request, see
    /// [`SuspectLedger`](super::SuspectLedger).
    pub suspect: bool,
}

/// Load that one gateway has placed on an endpoint, as sent to peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests that hold a slot.
    pub occupied: u32,
    /// Requests with short prompts that hold a slot.
    pub short: u32,
    /// Requests with short prompts, counted above, that are not sent yet.
    pub claimed: u32,
    /// Tokens in memory.
    pub context: TokenCount,
    /// Prefill time that the gateway has placed on the endpoint since it last had no work there.
    /// Since this is a running total, the next message corrects the effect of a lost one.
    pub prefill_total: Duration,
    /// Long prompts, and parts of long prompts, that are not prefilled yet.
    pub pending_prefills: u32,
    /// Suspect requests: an engine process ended elsewhere while it ran them.
    pub suspects: u32,
    /// Ratio of measured to declared time, as measured by the gateway; 0 without a measurement.
    pub slowdown: f32,
    /// Requests that decode or will decode.
    pub writers: WriterTable,
}

impl PeerLoad {
    /// Returns the same load with another slowdown.
    pub(super) fn with_slowdown(&self, slowdown: f32) -> Self {
        Self {
            slowdown,
            ..self.clone()
        }
    }

    /// Returns whether the gateway has no work on the endpoint and has measured no slowdown.
    pub fn is_idle(&self) -> bool {
        let has_work =
            self.occupied > 0 || self.short > 0 || self.pending_prefills > 0 || self.suspects > 0;
        let has_memory = self.context > 0 || self.writers.count() > 0;
        !has_work && !has_memory && self.slowdown <= 1.0
    }
}

/// Load that all gateways have placed on an endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CombinedLoad {
    /// Requests that hold a slot.
    pub occupied: u32,
    /// Tokens in memory.
    pub context: TokenCount,
    /// Time until the endpoint has prefilled all prompts that were placed there.
    pub backlog: Duration,
    /// Long prompts, and parts of long prompts, that are not prefilled yet.
    pub pending_prefills: u32,
    /// Suspect requests: an engine process ended elsewhere while it ran them.
    pub suspects: u32,
    /// Ratio of measured to declared time, as measured by peers; 0 without a measurement.
    pub slowdown: f32,
    /// Requests that decode or will decode.
    pub writers: WriterTable,
}

impl CombinedLoad {
    /// Returns the number of requests that decode or will decode.
    pub fn writer_count(&self) -> u32 {
        self.writers.count()
    }

    /// Returns whether the endpoint can prefill a part of a long prompt at once.
    pub fn is_idle(&self) -> bool {
        effective_backlog(self, true) <= MAX_HELPER_BACKLOG
    }

    /// Returns the time until the endpoint can start to prefill a long prompt, at its declared speed.
    pub fn long_prefill_delay(&self) -> Duration {
        effective_backlog(self, true)
    }

    /// Returns the value of the writers that do not tolerate a gap of this length.
    pub fn value_delayed_by(&self, gap: Duration) -> f64 {
        let delayed = self.writers.groups().filter(|group| group.gap < gap);
        delayed.map(|group| f64::from(group.value)).sum()
    }
}

impl PlacedWork {
    /// Returns whether the work includes the prefill of a long prompt or of a part of one.
    pub(super) fn is_long_prefill(&self) -> bool {
        !self.short && !self.prefill_time.is_zero()
    }

    pub(super) fn as_load(&self) -> PeerLoad {
        let writers = self.gap.map(|gap| WriterGroup::new(gap, self.value));
        PeerLoad {
            occupied: 1,
            short: u32::from(self.short),
            claimed: 0,
            context: self.context,
            prefill_total: self.prefill_time,
            pending_prefills: u32::from(self.is_long_prefill()),
            suspects: u32::from(self.suspect),
            slowdown: 0.0,
            writers: writers.into_iter().collect(),
        }
    }
}

/// Writers of an endpoint that tolerate the same gap.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriterGroup {
    /// Longest gap between events that their callers expect.
    pub gap: Duration,
    /// Number of writers.
    pub count: u32,
    /// Total value that is lost if all of them exceed their gap.
    pub value: f32,
}

impl WriterGroup {
    /// Creates a group of one writer.
    pub fn new(gap: Duration, value: f32) -> Self {
        Self {
            gap,
            count: 1,
            value,
        }
    }
}

/// All writers of an endpoint, grouped by the gap that they tolerate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriterTable(SmallVec<[WriterGroup; INLINE_GROUPS]>);

/// Number of groups that are stored inline. Writers of one engine usually tolerate one gap for each
/// kind of request, and one for writers that were late already. The table is copied for each
/// endpoint whenever a placement is evaluated.
const INLINE_GROUPS: usize = 4;

impl WriterTable {
    /// Returns the groups; none of them is empty.
    pub fn groups(&self) -> impl Iterator<Item = &WriterGroup> {
        self.0.iter()
    }

    /// Returns the number of writers.
    pub fn count(&self) -> u32 {
        self.groups().map(|group| group.count).sum()
    }

    /// Adds writers to the group with the same gap.
    pub(super) fn add(&mut self, added: WriterGroup) {
        match self.0.iter_mut().find(|group| group.gap == added.gap) {
            Some(group) => {
                group.count += added.count;
                group.value += added.value;
            }
            None => self.0.push(added),
        }
    }

    /// Removes writers. The last writer of a group also removes the rounding error left in its
    /// value.
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
