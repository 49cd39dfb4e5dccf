//! What all gateways have placed on each endpoint.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::ids::{EndpointId, GatewayId, Timestamp, TokenCount};

/// Names one placed piece of work within a gateway.
pub type WorkKey = u64;

/// Work that a gateway has placed on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedWork {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt reading that it takes there.
    pub reading: Duration,
    /// Tokens that it keeps in the engine's memory.
    pub context: TokenCount,
    /// Longest pause between events that its caller expects; `None` for work that writes no
    /// events, such as a helper's part of a prompt.
    pub gap: Option<Duration>,
    /// Whether its prompt is short, see [`DirectPlacer::is_long`](super::DirectPlacer::is_long).
    pub short: bool,
    /// What it is worth to be on time, see [`DirectRequest::value`](super::DirectRequest::value).
    pub value: f32,
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
    /// All prompt reading that it ever placed there; only grows, so that a lost message is made
    /// good by the next one.
    pub reading_total: Duration,
    /// Long prompts and parts of them that should have been read a while ago and are not.
    pub overdue: u32,
    /// How many times as long as declared it takes, as the peer measured it; 0 if it did not.
    pub pace: f32,
    /// Writers by the pause that they bear, with their number and summed value.
    pub writers: Vec<(Duration, u32, f32)>,
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
    /// Long prompts and parts of them that it should have read a while ago and has not.
    pub overdue: u32,
    /// How many times as long as declared it takes, as peers measured it; 0 if none did.
    pub pace: f32,
    /// Writers by the pause that they bear, with their number and summed value.
    pub writers: Vec<(Duration, u32, f32)>,
}

impl CombinedLoad {
    /// Requests that write or will write.
    pub fn writer_count(&self) -> u32 {
        self.writers.iter().map(|(_, count, _)| count).sum()
    }

    /// Value of the writers that bear no pause as long as `pause`.
    pub fn value_hurt_by(&self, pause: Duration) -> f64 {
        let hurt = self.writers.iter().filter(|(gap, _, _)| *gap < pause);
        hurt.map(|(_, _, value)| f64::from(*value)).sum()
    }
}

#[derive(Clone, Debug, Default)]
struct EndpointRecord {
    own: PeerLoad,
    /// When this gateway's long prompts that are not read yet should be.
    own_reads: Vec<(WorkKey, Timestamp)>,
    /// When the engine has read everything that is known to be placed there.
    free_at: Timestamp,
    peers: HashMap<GatewayId, PeerLoad>,
    /// What this gateway and all peers have placed, kept up with every change. Placement looks at
    /// all endpoints for each request and each event is compared with the load of its engine:
    /// beside 23 peers and 70 endpoints a look takes 19 us instead of 25 (`examples/direct_cost`).
    total: LoadTotal,
    held: Vec<HeldSlots>,
}

/// What all gateways have placed on an endpoint.
#[derive(Clone, Debug, Default)]
struct LoadTotal {
    occupied: u32,
    short: u32,
    /// Of peers; this gateway's own come due with time.
    overdue: u32,
    context: TokenCount,
    writers: Vec<(Duration, u32, f32)>,
}

impl LoadTotal {
    fn add(&mut self, load: &PeerLoad) {
        self.occupied += load.occupied;
        self.short += load.short;
        self.overdue += load.overdue;
        self.context += load.context;
        for (gap, count, value) in &load.writers {
            add_writers(&mut self.writers, *gap, *count, *value);
        }
    }

    fn subtract(&mut self, load: &PeerLoad) {
        self.occupied = self.occupied.saturating_sub(load.occupied);
        self.short = self.short.saturating_sub(load.short);
        self.overdue = self.overdue.saturating_sub(load.overdue);
        self.context = self.context.saturating_sub(load.context);
        for (gap, count, value) in &load.writers {
            remove_writers(&mut self.writers, *gap, *count, *value);
        }
    }
}

/// Slots that a peer freed a moment ago and that are left to it for a while.
#[derive(Clone, Debug)]
struct HeldSlots {
    peer: GatewayId,
    slots: u32,
    until: Timestamp,
}

impl EndpointRecord {
    /// Replaces what a peer has placed; `None` forgets the peer.
    fn set_peer(&mut self, peer: &GatewayId, load: Option<PeerLoad>) {
        if let Some(load) = &load {
            self.total.add(load);
        }
        let known = match load {
            Some(load) => self.peers.insert(peer.clone(), load),
            None => self.peers.remove(peer),
        };
        if let Some(known) = known {
            self.total.subtract(&known);
        }
    }

    fn own_overdue(&self, now: Timestamp) -> u32 {
        let due = self.own_reads.iter();
        due.filter(|(_, due)| now > *due + OVERDUE_TIME).count() as u32
    }

    fn add_own(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.add(&load);
        self.own.occupied += load.occupied;
        self.own.short += load.short;
        self.own.context += load.context;
        self.own.reading_total += load.reading_total;
        for (gap, count, value) in load.writers {
            add_writers(&mut self.own.writers, gap, count, value);
        }
    }

    fn remove_own(&mut self, work: &PlacedWork) {
        let load = work.as_load();
        self.total.subtract(&load);
        self.own.occupied = self.own.occupied.saturating_sub(load.occupied);
        self.own.short = self.own.short.saturating_sub(load.short);
        self.own.context = self.own.context.saturating_sub(load.context);
        for (gap, count, value) in load.writers {
            remove_writers(&mut self.own.writers, gap, count, value);
        }
    }
}

impl PlacedWork {
    fn as_load(&self) -> PeerLoad {
        let writers = self.gap.map(|gap| (gap, 1, self.value));
        PeerLoad {
            occupied: 1,
            short: u32::from(self.short),
            context: self.context,
            reading_total: self.reading,
            overdue: 0,
            pace: 0.0,
            writers: writers.into_iter().collect(),
        }
    }
}

#[derive(Clone, Debug)]
struct OwnWork {
    work: PlacedWork,
    read_until: Timestamp,
    reading: bool,
}

/// Time without a message after which what a peer had placed no longer counts: its requests have
/// ended with its connections.
const PEER_SILENCE: Duration = Duration::from_millis(1500);

/// Part of an engine's lateness that is carried over to the prompts behind. All of it would count
/// the same delay once for each prompt that it delayed.
const LATENESS_CARRIED: f64 = 0.5;

/// Pause that a request bears which has missed an objective already: callers of streams leave after
/// two seconds without an event, and an engine that is asked again in the meantime adds to a pause.
pub const MISSED_GAP: Duration = Duration::from_millis(1000);

/// Part of its value that is left to lose then.
const MISSED_VALUE: f32 = 0.33;

/// Lateness from which a read is overdue. Predictions miss by a pass or two of up to 100 ms, and the
/// end of a read shows by the event that follows it.
const OVERDUE_TIME: Duration = Duration::from_millis(250);

/// Counts the work on each endpoint.
///
/// Engines report with a lag of hundreds of milliseconds. Gateways that place by such reports all
/// see the same engine idle and fill it together. So each tells the others what it has placed, and
/// slots are counted from that.
#[derive(Clone, Debug, Default)]
pub struct WorkLedger {
    endpoints: BTreeMap<EndpointId, EndpointRecord>,
    works: HashMap<WorkKey, OwnWork>,
    next_key: WorkKey,
    heard: HashMap<GatewayId, Timestamp>,
    slot_delay: Duration,
}

impl WorkLedger {
    /// A ledger without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a slot that a peer freed is left to that peer.
    ///
    /// The load that it answers: all slots taken and requests waiting at every gateway. Each slot
    /// that becomes free would be taken by all gateways at once; the engine queues or refuses all
    /// but one. So its former user may take it first, and the others after unlike delays.
    pub fn with_slot_delay(mut self, delay: Duration) -> Self {
        self.slot_delay = delay;
        self
    }

    /// Records that the caller of some work has waited longer than it should once.
    ///
    /// The load that it answers: a burst of short prompts that ends as a burst of long ones begins. A
    /// few long answers linger on every engine, and each long prompt finds every engine in use by
    /// somebody whom it would make wait. Only the first of them costs anything.
    pub fn note_missed(&mut self, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        let Some(gap) = own.work.gap.filter(|gap| *gap < MISSED_GAP) else {
            return;
        };
        let value = own.work.value;
        own.work.gap = Some(MISSED_GAP);
        own.work.value *= MISSED_VALUE;
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        for writers in [&mut record.own.writers, &mut record.total.writers] {
            remove_writers(writers, gap, 1, value);
            add_writers(writers, MISSED_GAP, 1, own.work.value);
        }
    }

    /// Records work that is being sent.
    pub fn place(&mut self, now: Timestamp, work: PlacedWork) -> WorkKey {
        let record = self.endpoints.entry(work.endpoint.clone()).or_default();
        record.add_own(&work);
        record.free_at = record.free_at.max(now) + work.reading;
        let read_until = record.free_at;
        let key = self.next_key;
        self.next_key += 1;
        if !work.short && !work.reading.is_zero() {
            record.own_reads.push((key, read_until));
        }
        let own = OwnWork {
            work,
            read_until,
            reading: true,
        };
        self.works.insert(key, own);
        key
    }

    /// Records that the prompt of some work has been read.
    pub fn finish_reading(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut own.reading) {
            return;
        }
        let read_until = own.read_until;
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        record.own_reads.retain(|(read, _)| *read != key);
        if now > read_until {
            let late = (now - read_until).mul_f64(LATENESS_CARRIED);
            if record.free_at > now {
                record.free_at += late;
            }
        } else {
            record.free_at = record.free_at.saturating_sub(read_until - now);
        }
    }

    /// Records that work ended, however it ended.
    pub fn finish(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.remove(&key) else {
            return;
        };
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        record.remove_own(&own.work);
        if own.reading {
            record.own_reads.retain(|(read, _)| *read != key);
            let left = own.read_until.saturating_sub(now).min(own.work.reading);
            record.free_at = record.free_at.saturating_sub(left);
        }
    }

    /// Takes in what a peer has placed on some endpoints.
    pub fn hear(
        &mut self,
        now: Timestamp,
        peer: &GatewayId,
        loads: impl IntoIterator<Item = (EndpointId, PeerLoad)>,
    ) {
        let is_known = self.heard.insert(peer.clone(), now).is_some();
        for (endpoint, load) in loads {
            let record = self.endpoints.entry(endpoint).or_default();
            let known = record.peers.get(peer);
            // A peer that was heard before has placed nothing yet on an endpoint that it never
            // named. What one that is new has placed in all its life says nothing about now.
            let unnamed = is_known.then_some(Duration::ZERO);
            let before = known.map(|known| known.reading_total).or(unnamed);
            let freed = known.map_or(0, |known| known.occupied.saturating_sub(load.occupied));
            if let Some(before) = before {
                let added = load.reading_total.saturating_sub(before);
                record.free_at = record.free_at.max(now) + added;
            }
            record
                .held
                .retain(|held| held.peer != *peer && now < held.until);
            if freed > 0 {
                record.held.push(HeldSlots {
                    peer: peer.clone(),
                    slots: freed,
                    until: now + self.slot_delay,
                });
            }
            record.set_peer(peer, Some(load));
        }
    }

    /// Forgets what a peer placed, such as one that restarted.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        self.heard.remove(peer);
        for record in self.endpoints.values_mut() {
            record.set_peer(peer, None);
            record.held.retain(|held| held.peer != *peer);
        }
    }

    /// Forgets peers that have been silent for too long; returns them.
    pub fn forget_silent(&mut self, now: Timestamp) -> Vec<GatewayId> {
        let silent: Vec<GatewayId> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.saturating_sub(**heard) > PEER_SILENCE)
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in &silent {
            self.forget_peer(peer);
        }
        silent
    }

    /// Peers that were heard lately.
    pub fn peer_count(&self) -> usize {
        self.heard.len()
    }

    /// Forgets an endpoint that is gone; work on it is still counted out by its key.
    pub fn forget_endpoint(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }

    /// What is on an endpoint.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointId) -> CombinedLoad {
        let Some(record) = self.endpoints.get(endpoint) else {
            return CombinedLoad::default();
        };
        let held = record.held.iter().filter(|held| now < held.until);
        let held: u32 = held.map(|held| held.slots).sum();
        let paces = record.peers.values().map(|peer| peer.pace);
        CombinedLoad {
            occupied: record.total.occupied + held,
            context: record.total.context,
            backlog: record.free_at.saturating_sub(now),
            overdue: record.total.overdue + record.own_overdue(now),
            pace: paces.fold(0.0, f32::max),
            writers: record.total.writers.clone(),
        }
    }

    /// Requests with short prompts on an endpoint, over all gateways.
    pub fn short_count(&self, endpoint: &EndpointId) -> u32 {
        let record = self.endpoints.get(endpoint);
        record.map_or(0, |record| record.total.short)
    }

    /// What this gateway has placed, for its peers.
    pub fn own_loads(&self, now: Timestamp) -> impl Iterator<Item = (&EndpointId, PeerLoad)> {
        self.endpoints.iter().map(move |(id, record)| {
            let overdue = record.own_overdue(now);
            let load = record.own.clone();
            (id, PeerLoad { overdue, ..load })
        })
    }
}

fn add_writers(writers: &mut Vec<(Duration, u32, f32)>, gap: Duration, count: u32, value: f32) {
    match writers.iter_mut().find(|(known, _, _)| *known == gap) {
        Some((_, known_count, known_value)) => {
            *known_count += count;
            *known_value += value;
        }
        None => writers.push((gap, count, value)),
    }
}

/// Takes writers out; the last one of a kind takes what rounding has left of the value with it.
fn remove_writers(writers: &mut Vec<(Duration, u32, f32)>, gap: Duration, count: u32, value: f32) {
    if let Some((_, known_count, sum)) = writers.iter_mut().find(|(known, _, _)| *known == gap) {
        *known_count = known_count.saturating_sub(count);
        *sum = (*sum - value).max(0.0);
    }
    writers.retain(|(_, count, _)| *count > 0);
}
