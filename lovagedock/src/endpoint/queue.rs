//! The queue of requests waiting for the engine, and the choice of the next one to start.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    config::PriorityTier,
    endpoint::{
        fair_queue::{FairTags, VirtualTime},
        head_reservation::HeadReservation,
        limits::EndpointLimits,
        work::{EngineCapacity, QueuedWork, WorkAhead},
    },
    ids::{RequestId, Timestamp, TokenCount},
};

/// Maximum number of queued requests examined for one start.
const SCAN_DEPTH: usize = 64;
const TIER_COUNT: usize = 3;

#[derive(Debug)]
struct QueueSlot {
    work: QueuedWork,
    tag: VirtualTime,
    sequence: u64,
    queued_at: Timestamp,
}

#[derive(Debug, Default)]
struct TierQueue {
    by_tag: BTreeSet<TagEntry>,
    ahead: WorkAhead,
    tags: FairTags,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TagEntry {
    tag: VirtualTime,
    sequence: u64,
    request: RequestId,
}

/// The queue of a sidecar. Higher tiers go first. Within a tier, organisations are served by
/// start-time fair queueing. A bounded share of starts goes to the oldest request, and memory is
/// reserved for the first request that does not fit.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueue {
    slots: BTreeMap<RequestId, QueueSlot>,
    tiers: [TierQueue; TIER_COUNT],
    by_age: BTreeMap<u64, RequestId>,
    next_sequence: u64,
    starts_since_aged: u32,
    tokens: TokenCount,
    head: HeadReservation,
}

impl AdmissionQueue {
    /// Appends a request to the queue of its organisation.
    pub(crate) fn push(&mut self, now: Timestamp, work: QueuedWork) {
        let request = work.request;
        self.remove(request);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let tier = &mut self.tiers[work.tier as usize];
        let cost = work.cost.total();
        let tag = tier.tags.assign_tag(&work.organisation, cost, work.weight);
        tier.ahead.add(work.cost);
        tier.by_tag.insert(TagEntry {
            tag,
            sequence,
            request,
        });
        self.by_age.insert(sequence, request);
        self.tokens += work.need;
        let slot = QueueSlot {
            work,
            tag,
            sequence,
            queued_at: now,
        };
        self.slots.insert(request, slot);
    }

    /// Removes and returns the request to start now, if any fits.
    pub(crate) fn pop(
        &mut self,
        now: Timestamp,
        capacity: EngineCapacity<'_>,
        limits: &EndpointLimits,
        reserve: bool,
    ) -> Option<QueuedWork> {
        let (request, aged) = self.choose_request(now, capacity, limits, reserve)?;
        let tag = self.slots.get(&request)?.tag;
        let was_head = self.head.is_head(request);
        let work = self.remove(request)?;
        self.tiers[work.tier as usize].tags.record_start(tag);
        self.starts_since_aged = if aged { 0 } else { self.starts_since_aged + 1 };
        if !was_head {
            self.head.record_bypass(request, work.need);
        }
        Some(work)
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, request: RequestId) -> Option<QueuedWork> {
        let slot = self.slots.remove(&request)?;
        let tier = &mut self.tiers[slot.work.tier as usize];
        tier.by_tag.remove(&TagEntry {
            tag: slot.tag,
            sequence: slot.sequence,
            request,
        });
        tier.ahead.prefill -= slot.work.cost.prefill;
        tier.ahead.total -= slot.work.cost.total();
        if tier.by_tag.is_empty() {
            tier.tags.prune();
        }
        self.by_age.remove(&slot.sequence);
        self.tokens -= slot.work.need;
        self.head.clear_if_head(request);
        Some(slot.work)
    }

    /// Resets the fair-queueing tags when no request is queued or running.
    pub(crate) fn reset_tags(&mut self) {
        for tier in &mut self.tiers {
            tier.tags.reset();
        }
    }

    /// Records that a started request has left the engine.
    pub(crate) fn record_end(&mut self, request: RequestId) {
        self.head.record_end(request);
    }

    /// Whether the head still fits if this memory is granted outside the queue.
    pub(crate) fn leaves_memory_for_head(&self, need: TokenCount, memory: TokenCount) -> bool {
        self.head.leaves_memory_for_head(need, memory)
    }

    /// Returns the memory that is available in addition to the memory kept for the head.
    pub(crate) fn available_beside_head(&self, memory: TokenCount) -> TokenCount {
        self.head.available_beside_head(memory)
    }

    /// Records that memory was granted outside the queue.
    pub(crate) fn record_external_grant(&mut self, request: RequestId, need: TokenCount) {
        self.head.record_bypass(request, need);
    }

    /// Returns the request to shed in favour of a new one: the last request of the lowest non-empty
    /// tier, if the new request would start before it.
    pub(crate) fn shed_candidate(
        &self,
        tier: PriorityTier,
        organisation: &str,
    ) -> Option<RequestId> {
        let lowest = self.tiers.iter().position(|tier| !tier.by_tag.is_empty())?;
        let last = self.tiers[lowest].by_tag.last()?;
        let goes_before = match lowest.cmp(&(tier as usize)) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => self.tiers[lowest].tags.next_tag(organisation) < last.tag,
            std::cmp::Ordering::Greater => false,
        };
        goes_before.then_some(last.request)
    }

    /// Returns the work that would start before a new request.
    pub(crate) fn ahead_of(&self, tier: PriorityTier, organisation: &str) -> WorkAhead {
        let rank = tier as usize;
        let mut ahead = WorkAhead::default();
        for higher in &self.tiers[rank + 1..] {
            ahead.prefill += higher.ahead.prefill;
            ahead.total += higher.ahead.total;
        }
        let own = &self.tiers[rank];
        let tag = own.tags.next_tag(organisation);
        if own.by_tag.last().is_none_or(|last| last.tag <= tag) {
            ahead.prefill += own.ahead.prefill;
            ahead.total += own.ahead.total;
            return ahead;
        }
        for entry in own.by_tag.iter().take_while(|entry| entry.tag <= tag) {
            ahead.add(self.slots[&entry.request].work.cost);
        }
        ahead
    }

    /// Returns all queued work.
    pub(crate) fn queued_work(&self) -> WorkAhead {
        let mut all = WorkAhead::default();
        for tier in &self.tiers {
            all.prefill += tier.ahead.prefill;
            all.total += tier.ahead.total;
        }
        all
    }

    /// Returns the requests that need more than this much memory.
    pub(crate) fn requests_too_large(&self, memory: TokenCount) -> Vec<RequestId> {
        let slots = self.slots.values();
        let slots = slots.filter(|slot| slot.work.need > memory);
        slots.map(|slot| slot.work.request).collect()
    }

    /// Returns the number of queued requests.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the memory that all queued requests need, in tokens.
    pub(crate) fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Returns the request that memory is kept free for.
    pub(crate) fn waiting_head(&self) -> Option<RequestId> {
        self.head.request()
    }

    fn choose_request(
        &mut self,
        now: Timestamp,
        capacity: EngineCapacity<'_>,
        limits: &EndpointLimits,
        reserve: bool,
    ) -> Option<(RequestId, bool)> {
        if let Some(head) = self.head.request()
            && self.memory_need(head) <= capacity.free
        {
            return Some((head, false));
        }
        for (request, aged) in self.candidates(now, limits) {
            let Some(slot) = self.slots.get(&request) else {
                continue;
            };
            let need = slot.work.need;
            let ends_at = now + slot.work.cost.total();
            let fits = need <= capacity.free;
            if fits && (!reserve || self.head.allows_bypass(now, need, ends_at, capacity.memory)) {
                return Some((request, aged));
            }
            if !fits && reserve && self.head.request().is_none() {
                let free_at = (capacity.free_at)(need);
                self.head.set(request, need, now + limits.bypass, free_at);
            }
        }
        None
    }

    /// Returns the requests in the order in which they are tried.
    fn candidates(&self, now: Timestamp, limits: &EndpointLimits) -> Vec<(RequestId, bool)> {
        let aged = self.aged_request(now, limits);
        let by_tier = self.tiers.iter().rev().flat_map(|tier| tier.by_tag.iter());
        let by_tier = by_tier.map(|entry| (entry.request, false));
        let aged = aged.map(|request| (request, true));
        aged.into_iter().chain(by_tier).take(SCAN_DEPTH).collect()
    }

    /// Returns the oldest request if it is due to start before higher tiers. With strict tiers
    /// alone, a steady stream of short interactive requests would starve a long batch prompt until
    /// its deadline. Only one of `aged_interval` starts goes to the oldest request, so that the
    /// tiers do not collapse into a single queue under overload.
    fn aged_request(&self, now: Timestamp, limits: &EndpointLimits) -> Option<RequestId> {
        if limits.aged_interval == 0 || self.starts_since_aged + 1 < limits.aged_interval {
            return None;
        }
        let (_, request) = self.by_age.first_key_value()?;
        let slot = self.slots.get(request)?;
        (slot.queued_at + limits.ageing <= now).then_some(*request)
    }

    fn memory_need(&self, request: RequestId) -> TokenCount {
        self.slots.get(&request).map_or(0, |slot| slot.work.need)
    }
}
