//! Work that all gateways have placed on each endpoint.

use std::{collections::HashMap, time::Duration};

use super::{
    ledger_peers::PROPAGATION_WINDOW,
    load::{CombinedLoad, PeerLoad, PlacedWork, WorkKey, WriterGroup},
    process::EndpointProcess,
    rate::EventRate,
    record::EndpointRecord,
};
use crate::ids::{GatewayId, Timestamp};

#[derive(Clone, Debug)]
struct OwnWork {
    work: PlacedWork,
    stage: WorkStage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WorkStage {
    /// The endpoint is reserved for the work, which is not sent yet.
    Claimed(LoadBefore),
    /// The prompt is prefilled until about this time.
    Prefilling { until: Timestamp },
    /// The prompt has been prefilled.
    Prefilled,
}

/// Load of an endpoint before it was claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LoadBefore {
    pub(super) free_at: Timestamp,
    pub(super) pending_prefills: u32,
}

/// Time for which an unlisted endpoint is remembered. It exceeds the duration of store outages plus
/// the seconds in which lapsed entries are written again.
const UNLISTED_RETENTION: Duration = Duration::from_secs(120);

/// Share of a prefill's delay that is added to the backlog behind it. With the full delay, the same
/// delay would be counted once for each prompt that it affects.
const LATENESS_FACTOR: f64 = 0.5;

/// Gap that a request tolerates after it has missed an objective. Callers of streams disconnect
/// after two seconds without an event, and a further prefill that is placed on the engine meanwhile
/// extends the gap.
pub const RELAXED_GAP: Duration = Duration::from_millis(1000);

/// Share of the value that can still be lost after a missed objective.
const RELAXED_VALUE_FACTOR: f32 = 0.33;

/// Averaging window of the rate at which peers place requests. A burst shows within half of this
/// time.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Counts the work on each endpoint.
///
/// Engines report their load with a delay of hundreds of milliseconds. Gateways that place by these
/// reports all see the same idle engine and fill it at the same time. Instead, each gateway sends
/// its placements to the others, and occupied slots are computed from these.
#[derive(Clone, Debug)]
pub struct WorkLedger {
    pub(super) endpoints: HashMap<EndpointProcess, EndpointRecord>,
    works: HashMap<WorkKey, OwnWork>,
    next_key: WorkKey,
    pub(super) last_message_at: HashMap<GatewayId, Timestamp>,
    pub(super) slot_delay: Duration,
    /// Rate at which peers place short prompts.
    pub(super) short_rate: EventRate,
    pub(super) propagation_window: Duration,
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
            propagation_window: PROPAGATION_WINDOW,
        }
    }
}

impl WorkLedger {
    /// Creates a ledger without work.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how long a slot freed by a peer stays reserved for that peer.
    ///
    /// When all slots are occupied and requests wait at every gateway, all gateways would use a
    /// freed slot at the same time, and the engine would queue or reject all but one of the
    /// requests. So the former user may reuse the slot first, and the others follow after different
    /// delays.
    pub fn with_slot_delay(mut self, delay: Duration) -> Self {
        self.slot_delay = delay;
        self
    }

    /// Records that the caller of some work has once waited longer than its objective.
    ///
    /// This covers a burst of short prompts that ends as a burst of long prompts begins. A few long
    /// responses remain on every engine, and each long prompt would delay a writer wherever it is
    /// placed. Only the first such delay has a cost.
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

    /// Records work that is being sent, and returns its key.
    pub fn place(&mut self, now: Timestamp, work: PlacedWork) -> WorkKey {
        let key = self.claim(work);
        self.confirm(now, key);
        key
    }

    /// Reserves an endpoint for work that is not sent yet, and returns its key.
    ///
    /// The prefill time is not counted: peers add up what was placed, and would count the prefill of
    /// a claim that is given up.
    pub fn claim(&mut self, work: PlacedWork) -> WorkKey {
        let record = self.endpoints.entry(work.endpoint.clone()).or_default();
        let before = LoadBefore {
            free_at: record.free_at,
            pending_prefills: record.total.pending_prefills,
        };
        record.add_claim(&work);
        record.own.claimed += u32::from(work.short);
        let key = self.next_key;
        self.next_key += 1;
        let stage = WorkStage::Claimed(before);
        self.works.insert(key, OwnWork { work, stage });
        key
    }

    /// Records that claimed work is being sent.
    pub fn confirm(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        let WorkStage::Claimed(_) = own.stage else {
            return;
        };
        let record = self.endpoints.entry(own.work.endpoint.clone()).or_default();
        record.own.claimed -= u32::from(own.work.short).min(record.own.claimed);
        record.own.prefill_total += own.work.prefill_time;
        record.prefill_rate.record(now, own.work.prefill_time);
        record.free_at = record.free_at.max(now) + own.work.prefill_time;
        own.stage = WorkStage::Prefilling {
            until: record.free_at,
        };
    }

    /// Returns the endpoint of claimed work, and its load before the claim.
    pub(super) fn claimed(&self, key: WorkKey) -> Option<(&EndpointProcess, LoadBefore)> {
        let own = self.works.get(&key)?;
        match own.stage {
            WorkStage::Claimed(before) => Some((&own.work.endpoint, before)),
            WorkStage::Prefilling { .. } | WorkStage::Prefilled => None,
        }
    }

    /// Returns the number of claims of this gateway on the endpoint that were made before `key`.
    pub(super) fn earlier_claims(&self, endpoint: &EndpointProcess, key: WorkKey) -> u32 {
        let is_earlier = |(other, own): &(&WorkKey, &OwnWork)| {
            **other < key
                && own.work.short
                && own.work.endpoint == *endpoint
                && matches!(own.stage, WorkStage::Claimed(_))
        };
        self.works.iter().filter(is_earlier).count() as u32
    }

    /// Records that the prompt of some work has been prefilled.
    pub fn finish_prefill(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.get_mut(&key) else {
            return;
        };
        let stage = std::mem::replace(&mut own.stage, WorkStage::Prefilled);
        if stage == WorkStage::Prefilled {
            return;
        }
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        if own.work.is_long_prefill() {
            record.finish_prefill();
        }
        let WorkStage::Prefilling { until } = stage else {
            return;
        };
        if now > until {
            let late = (now - until).mul_f64(LATENESS_FACTOR);
            if record.free_at > now {
                record.free_at += late;
            }
        } else {
            record.free_at = record.free_at.saturating_sub(until - now);
        }
    }

    /// Records that some work ended, successfully or not.
    pub fn finish(&mut self, now: Timestamp, key: WorkKey) {
        let Some(own) = self.works.remove(&key) else {
            return;
        };
        let Some(record) = self.endpoints.get_mut(&own.work.endpoint) else {
            return;
        };
        record.remove_own(&own.work);
        if let WorkStage::Claimed(_) = own.stage {
            record.own.claimed -= u32::from(own.work.short).min(record.own.claimed);
        }
        if own.stage != WorkStage::Prefilled && own.work.is_long_prefill() {
            record.finish_prefill();
        }
        if let WorkStage::Prefilling { until } = own.stage {
            let left = until.saturating_sub(now).min(own.work.prefill_time);
            record.free_at = record.free_at.saturating_sub(left);
        }
    }

    /// Removes a process that has been replaced; its work ended with it.
    pub fn forget_process(&mut self, endpoint: &EndpointProcess) {
        self.endpoints.remove(endpoint);
    }

    /// Records that an endpoint is no longer listed.
    ///
    /// The endpoint may be listed again, for example if its entry lapsed during a store outage. If
    /// its record were removed, everything that peers have ever placed there would then be counted
    /// as new. The engine would appear to have minutes of pending prefills and would get no work.
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

    /// Removes endpoints that have been unlisted for the retention time. Work there can still be
    /// finished by its key.
    pub fn forget_unlisted(&mut self, now: Timestamp) {
        let is_expired = |record: &EndpointRecord| {
            let unlisted_at = record.unlisted_at;
            unlisted_at.is_some_and(|at| now.saturating_sub(at) > UNLISTED_RETENTION)
        };
        self.endpoints.retain(|_, record| !is_expired(record));
    }

    /// Returns whether the ledger has a record of the endpoint.
    pub fn contains(&self, endpoint: &EndpointProcess) -> bool {
        self.endpoints.contains_key(endpoint)
    }

    /// Returns the combined load of an endpoint.
    pub fn load(&self, now: Timestamp, endpoint: &EndpointProcess) -> CombinedLoad {
        self.load_with_short_count(now, endpoint).0
    }

    /// Returns the number of requests with short prompts on an endpoint, over all gateways.
    pub fn short_count(&self, endpoint: &EndpointProcess) -> u32 {
        let record = self.endpoints.get(endpoint);
        record.map_or(0, |record| record.total.short)
    }

    /// Returns the combined load of an endpoint, and how many of its requests have short prompts.
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
        let slowdowns = record.peers.values().map(|received| received.load.slowdown);
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

    /// Returns the prefill time that all gateways place on an endpoint per second, in seconds,
    /// averaged over the last seconds.
    pub fn prefill_rate(&self, now: Timestamp, endpoint: &EndpointProcess) -> f64 {
        let record = self.endpoints.get(endpoint);
        record.map_or(0.0, |record| record.prefill_rate.per_second_at(now))
    }

    /// Returns the loads that peers have placed on an endpoint, by peer.
    pub fn peer_loads(
        &self,
        endpoint: &EndpointProcess,
    ) -> impl Iterator<Item = (&GatewayId, &PeerLoad)> {
        let record = self.endpoints.get(endpoint);
        let peers = record.into_iter().flat_map(|record| &record.peers);
        peers.map(|(peer, received)| (peer, &received.load))
    }

    /// Returns the load that this gateway has placed on an endpoint.
    pub fn own_load(&self, endpoint: &EndpointProcess) -> Option<&PeerLoad> {
        self.endpoints.get(endpoint).map(|record| &record.own)
    }

    /// Resets the totals of an endpoint on which this gateway has no work. `own_loads` omits the
    /// endpoint from then on, so it is called after the idle load was sent to peers.
    pub(super) fn reset_idle(&mut self, endpoint: &EndpointProcess) {
        let Some(record) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if record.own.occupied == 0 && record.own.pending_prefills == 0 {
            record.own.prefill_total = Duration::ZERO;
            record.is_used = false;
        }
    }

    /// Returns the loads of this gateway, to be sent to peers.
    pub fn own_loads(&self) -> impl Iterator<Item = (&EndpointProcess, &PeerLoad)> {
        let used = self.endpoints.iter().filter(|(_, record)| record.is_used);
        used.map(|(process, record)| (process, &record.own))
    }
}
