//! Reconciliation of the ledger with the allocations that the engine reports.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    endpoint::{
        ledger::{LeaseState, MemoryLease, MemoryLedger, OrphanAllocation},
        messages::EngineAllocation,
    },
    ids::{RequestId, Timestamp},
};

impl MemoryLedger {
    /// Applies the engine's complete list of allocations. Returns the running requests that were in
    /// an earlier list and have been missing for longer than `grace`.
    pub fn reconcile(
        &mut self,
        now: Timestamp,
        allocations: &[EngineAllocation],
        grace: Duration,
    ) -> Vec<RequestId> {
        self.allocations_known = true;
        let held: BTreeSet<_> = allocations
            .iter()
            .map(|allocation| allocation.request)
            .collect();
        self.record_orphans(now, allocations, grace);
        self.orphans.retain(|request, _| held.contains(request));
        self.orphaned = self.orphans.values().map(|orphan| orphan.tokens).sum();
        self.grow_leases(allocations);
        self.release_freed(&held);
        self.track_missing(now, &held, grace)
    }

    /// Returns the requests whose cancellation must be sent to the engine now, for the first time
    /// or again.
    pub fn collect(&mut self, now: Timestamp, grace: Duration, retry: Duration) -> Vec<RequestId> {
        let allocations_known = self.allocations_known;
        let is_unconfirmed = |lease: &MemoryLease| match lease.state {
            LeaseState::Closing { since, .. } => !allocations_known && since + grace <= now,
            _ => false,
        };
        // There is no way to check the memory of an engine that neither lists its allocations nor
        // confirms cancellations. The lease is removed after the grace period, since a lost
        // confirmation would otherwise occupy the memory for good.
        let unconfirmed = self
            .leases
            .iter()
            .filter(|(_, lease)| is_unconfirmed(lease));
        let unconfirmed: Vec<_> = unconfirmed.map(|(request, _)| *request).collect();
        for request in unconfirmed {
            self.release(request);
        }
        if !allocations_known {
            self.orphans.retain(|_, orphan| orphan.since + grace > now);
            self.orphaned = self.orphans.values().map(|orphan| orphan.tokens).sum();
        }
        let mut due = Vec::new();
        for (request, lease) in &mut self.leases {
            if let LeaseState::Closing { retry_at, .. } = &mut lease.state
                && *retry_at <= now
            {
                *retry_at = now + retry;
                due.push(*request);
            }
        }
        for (request, orphan) in &mut self.orphans {
            if orphan.cancel_at <= now {
                orphan.cancel_at = now + retry;
                due.push(*request);
            }
        }
        due
    }

    fn record_orphans(
        &mut self,
        now: Timestamp,
        allocations: &[EngineAllocation],
        grace: Duration,
    ) {
        for allocation in allocations {
            if self.leases.contains_key(&allocation.request) {
                continue;
            }
            let orphan = self
                .orphans
                .entry(allocation.request)
                .or_insert(OrphanAllocation {
                    tokens: 0,
                    since: now,
                    cancel_at: now + grace,
                });
            orphan.tokens = allocation.tokens;
        }
    }

    /// Grows leases that are smaller than the reported allocation, as far as memory is free. This
    /// happens when the length of a prompt was underestimated. Without it, new requests would be
    /// admitted into memory that is already in use.
    fn grow_leases(&mut self, allocations: &[EngineAllocation]) {
        for allocation in allocations {
            let free = self.free();
            let Some(lease) = self.leases.get_mut(&allocation.request) else {
                continue;
            };
            lease.reported_by_engine = true;
            lease.missing_since = None;
            let growth = allocation.tokens.saturating_sub(lease.tokens).min(free);
            lease.tokens += growth;
            self.leased += growth;
        }
    }

    fn release_freed(&mut self, held: &BTreeSet<RequestId>) {
        let closed = |lease: &MemoryLease| matches!(lease.state, LeaseState::Closing { .. });
        let freed = self.leases.iter();
        let freed = freed.filter(|(request, lease)| closed(lease) && !held.contains(request));
        let freed: Vec<_> = freed.map(|(request, _)| *request).collect();
        for request in freed {
            self.release(request);
        }
    }

    fn track_missing(
        &mut self,
        now: Timestamp,
        held: &BTreeSet<RequestId>,
        grace: Duration,
    ) -> Vec<RequestId> {
        let mut lost = Vec::new();
        for (request, lease) in &mut self.leases {
            if lease.state != LeaseState::Running
                || !lease.reported_by_engine
                || held.contains(request)
            {
                continue;
            }
            let since = *lease.missing_since.get_or_insert(now);
            if since + grace <= now {
                lost.push(*request);
            }
        }
        lost
    }
}
