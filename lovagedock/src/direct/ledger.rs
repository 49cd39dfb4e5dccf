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
    own_reads: u32,
    /// When the engine has read everything that is known to be placed there.
    free_at: Timestamp,
    peers: HashMap<GatewayId, PeerRecord>,
}

#[derive(Clone, Debug)]
struct PeerRecord {
    load: PeerLoad,
    /// Slots that the peer held a moment ago, and until when they are left to it.
    held: u32,
    held_until: Timestamp,
}

impl PeerRecord {
    /// Slots of the peer, with those that it may take again at once.
    fn occupied(&self, now: Timestamp) -> u32 {
        match now < self.held_until {
            true => self.held.max(self.load.occupied),
            false => self.load.occupied,
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

    /// Records work that is being sent.
    pub fn place(&mut self, now: Timestamp, work: PlacedWork) -> WorkKey {
        let record = self.endpoints.entry(work.endpoint.clone()).or_default();
        record.own.occupied += 1;
        record.own.short += u32::from(work.short);
        record.own.context += work.context;
        if let Some(gap) = work.gap {
            add_writer(&mut record.own.writers, gap, work.value);
        }
        record.own.reading_total += work.reading;
        record.free_at = record.free_at.max(now) + work.reading;
        record.own_reads += 1;
        let read_until = record.free_at;
        let key = self.next_key;
        self.next_key += 1;
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
        record.own_reads = record.own_reads.saturating_sub(1);
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
        record.own.occupied = record.own.occupied.saturating_sub(1);
        record.own.short = record.own.short.saturating_sub(u32::from(own.work.short));
        record.own.context = record.own.context.saturating_sub(own.work.context);
        if let Some(gap) = own.work.gap {
            remove_writer(&mut record.own.writers, gap, own.work.value);
        }
        if own.reading {
            record.own_reads = record.own_reads.saturating_sub(1);
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
            let before = known.map(|known| known.load.reading_total).or(unnamed);
            if let Some(before) = before {
                let added = load.reading_total.saturating_sub(before);
                record.free_at = record.free_at.max(now) + added;
            }
            let mut held = load.occupied;
            let mut held_until = Timestamp::ZERO;
            if let Some(known) = known.filter(|known| known.load.occupied > load.occupied) {
                held = known.load.occupied;
                held_until = now + self.slot_delay;
            }
            let heard = PeerRecord {
                load,
                held,
                held_until,
            };
            record.peers.insert(peer.clone(), heard);
        }
    }

    /// Forgets what a peer placed, such as one that restarted.
    pub fn forget_peer(&mut self, peer: &GatewayId) {
        self.heard.remove(peer);
        for record in self.endpoints.values_mut() {
            record.peers.remove(peer);
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
        let mut load = CombinedLoad {
            occupied: record.own.occupied,
            context: record.own.context,
            backlog: record.free_at.saturating_sub(now),
            pace: 0.0,
            writers: record.own.writers.clone(),
        };
        for peer in record.peers.values() {
            load.occupied += peer.occupied(now);
            load.context += peer.load.context;
            load.pace = load.pace.max(peer.load.pace);
            for (gap, count, value) in &peer.load.writers {
                merge_writers(&mut load.writers, *gap, *count, *value);
            }
        }
        load
    }

    /// Requests with short prompts on an endpoint, over all gateways.
    pub fn short_count(&self, endpoint: &EndpointId) -> u32 {
        let Some(record) = self.endpoints.get(endpoint) else {
            return 0;
        };
        let peers = record.peers.values().map(|peer| peer.load.short);
        record.own.short + peers.sum::<u32>()
    }

    /// What this gateway has placed, for its peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (&EndpointId, &PeerLoad)> {
        self.endpoints.iter().map(|(id, record)| (id, &record.own))
    }
}

fn add_writer(writers: &mut Vec<(Duration, u32, f32)>, gap: Duration, value: f32) {
    merge_writers(writers, gap, 1, value);
}

fn merge_writers(writers: &mut Vec<(Duration, u32, f32)>, gap: Duration, count: u32, value: f32) {
    match writers.iter_mut().find(|(known, _, _)| *known == gap) {
        Some((_, known_count, known_value)) => {
            *known_count += count;
            *known_value += value;
        }
        None => writers.push((gap, count, value)),
    }
}

fn remove_writer(writers: &mut Vec<(Duration, u32, f32)>, gap: Duration, value: f32) {
    if let Some((_, count, sum)) = writers.iter_mut().find(|(known, _, _)| *known == gap) {
        *count = count.saturating_sub(1);
        *sum = (*sum - value).max(0.0);
    }
    writers.retain(|(_, count, _)| *count > 0);
}
