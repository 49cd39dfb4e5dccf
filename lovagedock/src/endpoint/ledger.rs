//! Leases on an engine's memory, reconciled with the allocations that the engine reports.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{AttemptNumber, RequestId, Timestamp, TokenCount};

/// The state of a memory lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Held by a started request, or by a queued request of a span.
    Running,
    /// A reservation for a span. It expires unless it is renewed.
    Reserved {
        /// The attempt that holds the reservation.
        attempt: AttemptNumber,
        /// Time at which the reservation expires without renewal.
        expires_at: Timestamp,
    },
    /// The request has ended and a cancellation has been sent so that the engine frees the memory.
    Closing {
        /// Time at which the first cancellation was requested.
        since: Timestamp,
        /// Time at which the cancellation is repeated.
        retry_at: Timestamp,
    },
}

/// A lease on memory of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLease {
    /// Tokens of KV memory.
    pub tokens: TokenCount,
    /// State of the lease.
    pub state: LeaseState,
    /// Whether the engine has reported an allocation of the request.
    pub(super) reported_by_engine: bool,
    /// Time since which the engine no longer reports an allocation that it reported before.
    pub(super) missing_since: Option<Timestamp>,
}

/// Memory that the engine holds without a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OrphanAllocation {
    pub(super) tokens: TokenCount,
    /// Time of the first report that contained the allocation, or at which the engine was last
    /// lost.
    pub(super) since: Timestamp,
    pub(super) cancel_at: Timestamp,
}

/// Leases on the memory of an engine.
///
/// The ledger decides whether a request fits, and the allocations reported by the engine show what
/// is really in use. Without these reports, memory would stay occupied for good after a crash of
/// this sidecar or a lost cancellation, and the engine would fill up. Memory without a lease for a
/// set time is cancelled repeatedly until the engine no longer reports it, so no memory stays
/// without an owner.
#[derive(Debug, Default)]
pub struct MemoryLedger {
    pub(super) memory: TokenCount,
    pub(super) leased: TokenCount,
    pub(super) orphaned: TokenCount,
    pub(super) leases: BTreeMap<RequestId, MemoryLease>,
    pub(super) orphans: BTreeMap<RequestId, OrphanAllocation>,
    pub(super) allocations_known: bool,
}

impl MemoryLedger {
    /// Creates an empty ledger for an engine with this much memory.
    pub fn new(memory: TokenCount) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    /// Changes the size of the memory. Existing leases are kept.
    pub fn set_memory(&mut self, memory: TokenCount) {
        self.memory = memory;
    }

    /// Returns the size of the memory in tokens.
    pub fn memory(&self) -> TokenCount {
        self.memory
    }

    /// Returns the sum of all leases in tokens.
    pub fn leased(&self) -> TokenCount {
        self.leased
    }

    /// Returns the memory that the engine holds without a lease, in tokens.
    pub fn orphaned(&self) -> TokenCount {
        self.orphaned
    }

    /// Returns the memory available to new leases, in tokens.
    pub fn free(&self) -> TokenCount {
        self.memory.saturating_sub(self.leased + self.orphaned)
    }

    /// Returns all leases with their requests.
    pub fn leases(&self) -> impl Iterator<Item = (RequestId, &MemoryLease)> {
        self.leases.iter().map(|(request, lease)| (*request, lease))
    }

    /// Returns the lease of a request.
    pub fn lease(&self, request: RequestId) -> Option<&MemoryLease> {
        self.leases.get(&request)
    }

    /// Whether the engine has reported its allocations since the sidecar started or last lost the
    /// engine.
    pub fn allocations_known(&self) -> bool {
        self.allocations_known
    }

    /// Whether the engine holds memory for this request without a lease.
    pub fn is_orphan(&self, request: RequestId) -> bool {
        self.orphans.contains_key(&request)
    }

    /// Whether a request holds a reservation.
    pub fn is_reserved(&self, request: RequestId) -> bool {
        let lease = self.leases.get(&request);
        lease.is_some_and(|lease| matches!(lease.state, LeaseState::Reserved { .. }))
    }

    /// Returns the requests for which the engine holds memory without a lease.
    pub fn orphans(&self) -> impl Iterator<Item = RequestId> {
        self.orphans.keys().copied()
    }

    /// Returns the memory reserved for spans that have not been submitted, in tokens.
    pub fn reserved(&self) -> TokenCount {
        self.leases
            .values()
            .filter(|lease| matches!(lease.state, LeaseState::Reserved { .. }))
            .map(|lease| lease.tokens)
            .sum()
    }

    /// Grants a lease if it fits. If the request already has a lease, only its state changes.
    pub fn grant(&mut self, request: RequestId, tokens: TokenCount, state: LeaseState) -> bool {
        if let Some(lease) = self.leases.get_mut(&request) {
            lease.state = state;
            return true;
        }
        if tokens > self.free() {
            return false;
        }
        let lease = MemoryLease {
            tokens,
            state,
            reported_by_engine: false,
            missing_since: None,
        };
        self.leases.insert(request, lease);
        self.leased += tokens;
        true
    }

    /// Starts to close the lease of a request that has ended. The lease is kept until the engine
    /// has freed the memory.
    ///
    /// Returns whether there was a lease, that is, whether a cancellation must be sent to the
    /// engine.
    pub fn close(&mut self, now: Timestamp, request: RequestId, retry: Duration) -> bool {
        let Some(lease) = self.leases.get_mut(&request) else {
            return false;
        };
        lease.state = LeaseState::Closing {
            since: now,
            retry_at: now + retry,
        };
        true
    }

    /// Removes the lease of a request after the engine has freed its memory.
    pub fn release(&mut self, request: RequestId) {
        if let Some(lease) = self.leases.remove(&request) {
            self.leased -= lease.tokens;
        }
    }

    /// Turns all leases into orphans after the engine has ended or become unreachable.
    ///
    /// If the engine was only unreachable, it still holds the memory when it is reachable again,
    /// and the memory is cancelled immediately. If the engine has ended, its next report no longer
    /// contains the allocations.
    pub fn orphan_all(&mut self, now: Timestamp) {
        for orphan in self.orphans.values_mut() {
            orphan.since = now;
        }
        for (request, lease) in std::mem::take(&mut self.leases) {
            let orphan = OrphanAllocation {
                tokens: lease.tokens,
                since: now,
                cancel_at: now,
            };
            self.orphans.insert(request, orphan);
        }
        self.leased = 0;
        self.orphaned = self.orphans.values().map(|orphan| orphan.tokens).sum();
        self.allocations_known = false;
    }

    /// Returns the requests whose reservations have expired.
    pub fn expired_reservations(&self, now: Timestamp) -> Vec<RequestId> {
        let expired = |lease: &MemoryLease| match lease.state {
            LeaseState::Reserved { expires_at, .. } => expires_at <= now,
            _ => false,
        };
        let leases = self.leases.iter().filter(|(_, lease)| expired(lease));
        leases.map(|(request, _)| *request).collect()
    }

    /// Returns the earliest time at which [`Self::collect`] or [`Self::expired_reservations`] may
    /// return a request.
    pub fn next_due(&self) -> Option<Timestamp> {
        let leases = self.leases.values().filter_map(|lease| match lease.state {
            LeaseState::Running => None,
            LeaseState::Reserved { expires_at, .. } => Some(expires_at),
            LeaseState::Closing { retry_at, .. } => Some(retry_at),
        });
        let orphans = self.orphans.values().map(|orphan| orphan.cancel_at);
        leases.chain(orphans).min()
    }
}
