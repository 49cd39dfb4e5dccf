//! What all gateways have placed on each endpoint.

use std::{collections::HashMap, time::Duration};

use super::{
    load::{CombinedLoad, PeerLoad, PlacedWork, WorkKey, WriterGroup},
    process::EndpointProcess,
    rate::EventRate,
    record::EndpointRecord,
};
use crate::ids::{GatewayId, Timestamp};

#[derive(Clone, Debug)]
struct OwnWork {
    work: PlacedWork,
    prefill_until: Timestamp,
    is_prefilling: bool,
}

/// Time for which an endpoint that is not listed is remembered: longer than the store is away, with
/// the seconds in which lapsed entries come back.
const UNLISTED_RETENTION: Duration = Duration::from_secs(120);

/// Part of an engine's lateness that is carried over to the prompts behind. All of it would count
/// the same delay once for each prompt that it delayed.
const LATENESS_FACTOR: f64 = 0.5;

/// Pause that a request bears which has missed an objective already: callers of streams leave after
/// two seconds without an event, and an engine that is asked again in the meantime adds to a pause.
pub const RELAXED_GAP: Duration = Duration::from_millis(1000);

/// Part of its value that is left to lose then.
const RELAXED_VALUE_FACTOR: f32 = 0.33;

/// Memory of the rate at which peers place. A burst shows within half of this.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Counts the work on each endpoint.
///
/// Engines report with a lag of hundreds of milliseconds. Gateways that place by such reports all
/// see the same engine idle and fill it together. So each tells the others what it has placed, and
/// slots are counted from that.
#[derive(Clone, Debug)]
pub struct WorkLedger {
    pub(super) endpoints: HashMap<EndpointProcess, EndpointRecord>,
    works: HashMap<WorkKey, OwnWork>,
    next_key: WorkKey,
    pub(super) last_message_at: HashMap<GatewayId, Timestamp>,
    pub(super) slot_delay: Duration,
    /// Short prompts that peers place.
    pub(super) short_rate: EventRate,
}

impl Default for WorkLedger {
    fn default() -> Self {
        Self {
            endpoints: HashMap::new(),
            works: HashMap::new(),
            next_key: 0,
            last_message_at: HashMap::new(),
            slot_delay: Duration::ZERO,
            short_rate: EventRate::new(RATE_WINDOW),
        }
    }
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
    pub fn record_missed_objective(&mut self, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        let Some(gap) = own.work.gap.filter(|gap| *gap < RELAXED_GAP) else {
            return;
        };
        let value = own.work.value;
        own.work.gap = Some(RELAXED_GAP);
        own.work.value *= RELAXED_VALUE_FACTOR;
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        for writers in [&mut record.own.writers, &mut record.total.writers] {
            writers.remove(WriterGroup::new(gap, value));
            writers.add(WriterGroup::new(RELAXED_GAP, own.work.value));
        }
    }

    /// Records work that is being sent.
    pub fn place(&mut self, now: Timestamp, work: PlacedWork) -> WorkKey {
        let record = self.endpoints.entry(work.endpoint.clone()).or_default();
        record.add_own(&work);
        record.free_at = record.free_at.max(now) + work.prefill_time;
        let prefill_until = record.free_at;
        let key = self.next_key;
        self.next_key += 1;
        let own = OwnWork {
            work,
            prefill_until,
            is_prefilling: true,
        };
        self.works.insert(key, own);
        key
    }

    /// Records that the prompt of some work has been read.
    pub fn finish_prefill(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut own.is_prefilling) {
            return;
        }
        let prefill_until = own.prefill_until;
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        if own.work.is_long_prefill() {
            record.finish_prefill();
        }
        if now > prefill_until {
            let late = (now - prefill_until).mul_f64(LATENESS_FACTOR);
            if record.free_at > now {
                record.free_at += late;
            }
        } else {
            record.free_at = record.free_at.saturating_sub(prefill_until - now);
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
        if own.is_prefilling {
            if own.work.is_long_prefill() {
                record.finish_prefill();
            }
            let left = own
                .prefill_until
                .saturating_sub(now)
                .min(own.work.prefill_time);
            record.free_at = record.free_at.saturating_sub(left);
        }
    }

    /// Forgets a process whose place another one has taken; its work ended with it.
    pub fn forget_process(&mut self, endpoint: &EndpointProcess) {
        self.endpoints.remove(endpoint);
    }

    /// Records that an endpoint is no longer listed.
    ///
    /// It may come back, such as one whose entry lapsed while the store was away. What peers have
    /// placed there in all their life would then be counted as new: the engine would look as if it
    /// had minutes of prompts to read, and get none.
    pub fn record_unlisted(&mut self, now: Timestamp, endpoint: &EndpointProcess) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.unlisted_at = Some(now);
        }
    }

    /// Records that an endpoint is listed.
    pub fn record_listed(&mut self, endpoint: &EndpointProcess) {
        if let Some(record) = self.endpoints.get_mut(endpoint) {
            record.unlisted_at = None;
        }
    }

    /// Forgets endpoints that have not been listed for long; work there is still counted out by its
    /// key.
    pub fn forget_unlisted(&mut self, now: Timestamp) {
        let is_expired = |record: &EndpointRecord| {
            let unlisted_at = record.unlisted_at;
            unlisted_at.is_some_and(|at| now.saturating_sub(at) > UNLISTED_RETENTION)
        };
        self.endpoints.retain(|_, record| !is_expired(record));
    }

    /// Whether anything is counted on an endpoint.
    pub fn contains(&self, endpoint: &EndpointProcess) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// What is on an endpoint.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointProcess) -> CombinedLoad {
        self.load_with_short_count(now, endpoint).0
    }

    /// Requests with short prompts on an endpoint, over all gateways.
    pub fn short_count(&self, endpoint: &EndpointProcess) -> u32 {
        let record = self.endpoints.get(endpoint);
        record.map_or(0, |record| record.total.short)
    }

    /// What is on an endpoint, and how many of its requests have short prompts.
    pub fn load_with_short_count(
        &self,
        now: Timestamp,
        endpoint: &EndpointProcess,
    ) -> (CombinedLoad, u32) {
        let Some(record) = self.endpoints.get(endpoint) else {
            return Default::default();
        };
        let reserved = record
            .reserved
            .iter()
            .filter(|reserved| now < reserved.until);
        let reserved: u32 = reserved.map(|reserved| reserved.slots).sum();
        let slowdowns = record
            .peers
            .values()
            .map(|last_message_at| last_message_at.load.slowdown);
        let load = CombinedLoad {
            occupied: record.total.occupied + reserved,
            context: record.total.context,
            backlog: record.free_at.saturating_sub(now),
            pending_prefills: record.total.pending_prefills,
            suspects: record.total.suspects,
            slowdown: slowdowns.fold(0.0, f32::max),
            writers: record.total.writers.clone(),
        };
        (load, record.total.short)
    }

    /// Begins the counts of endpoints anew on which this gateway has nothing any more; peers are told
    /// of them once more.
    pub(super) fn reset_idle(&mut self, endpoint: &EndpointProcess) {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if record.own.occupied == 0 && record.own.pending_prefills == 0 {
            record.own.prefill_total = Duration::ZERO;
            record.is_used = false;
        }
    }

    /// What this gateway has placed, for its peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (&EndpointProcess, &PeerLoad)> {
        let used = self.endpoints.iter().filter(|(_, record)| record.is_used);
        used.map(|(process, record)| (process, &record.own))
    }
}
