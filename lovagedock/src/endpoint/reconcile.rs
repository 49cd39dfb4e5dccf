//! Reconciliation of the ledger with the engine's own account.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    endpoint::{
        ledger::{LeaseState, MemoryLease, MemoryLedger, OrphanHolding},
        messages::EngineAllocation,
    },
    ids::{RequestId, Timestamp},
};

impl MemoryLedger {
    /// Takes the engine's complete account; returns running requests that it lacks for longer
    /// than `grace` after it had shown them.
    pub fn reconcile(
        &mut self,
        now: Timestamp,
        account: &[EngineAllocation],
        grace: Duration,
    ) -> Vec<RequestId> {
        self.accounted = true;
        let held: BTreeSet<_> = account.iter().map(|holding| holding.request).collect();
        self.adopt_orphans(now, account, grace);
        self.orphans.retain(|request, _| held.contains(request));
        self.orphaned = self.orphans.values().map(|orphan| orphan.tokens).sum();
        self.correct_leases(account);
        self.drop_freed(&held);
        self.note_missing(now, &held, grace)
    }

    /// Requests that the engine has to be told to cancel now, for the first time or again.
    pub fn collect(&mut self, now: Timestamp, grace: Duration, retry: Duration) -> Vec<RequestId> {
        let accounted = self.accounted;
        let lost = |lease: &MemoryLease| match lease.state {
            LeaseState::Closing { since, .. } => !accounted && since + grace <= now,
            _ => false,
        };
        // An engine that gives no account and confirms no cancellation cannot be asked: the
        // lease goes after the grace, or a lost confirmation would occupy it for good.
        let unconfirmed = self.leases.iter().filter(|(_, lease)| lost(lease));
        let unconfirmed: Vec<_> = unconfirmed.map(|(request, _)| *request).collect();
        for request in unconfirmed {
            self.release(request);
        }
        if !accounted {
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

    fn adopt_orphans(&mut self, now: Timestamp, account: &[EngineAllocation], grace: Duration) {
        for holding in account {
            if self.leases.contains_key(&holding.request) {
                continue;
            }
            let orphan = self
                .orphans
                .entry(holding.request)
                .or_insert(OrphanHolding {
                    tokens: 0,
                    since: now,
                    cancel_at: now + grace,
                });
            orphan.tokens = holding.tokens;
        }
    }

    /// A prompt that was estimated too short holds more than its lease: the lease grows as far
    /// as memory is free, so that nothing else is admitted into blocks that are taken.
    fn correct_leases(&mut self, account: &[EngineAllocation]) {
        for holding in account {
            let free = self.free();
            let Some(lease) = self.leases.get_mut(&holding.request) else {
                continue;
            };
            lease.seen = true;
            lease.missing_since = None;
            let growth = holding.tokens.saturating_sub(lease.tokens).min(free);
            lease.tokens += growth;
            self.leased += growth;
        }
    }

    fn drop_freed(&mut self, held: &BTreeSet<RequestId>) {
        let closed = |lease: &MemoryLease| matches!(lease.state, LeaseState::Closing { .. });
        let freed = self.leases.iter();
        let freed = freed.filter(|(request, lease)| closed(lease) && !held.contains(request));
        let freed: Vec<_> = freed.map(|(request, _)| *request).collect();
        for request in freed {
            self.release(request);
        }
    }

    fn note_missing(
        &mut self,
        now: Timestamp,
        held: &BTreeSet<RequestId>,
        grace: Duration,
    ) -> Vec<RequestId> {
        let mut lost = Vec::new();
        for (request, lease) in &mut self.leases {
            if lease.state != LeaseState::Running || !lease.seen || held.contains(request) {
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
