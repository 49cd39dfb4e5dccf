//! Leases on an engine's memory, reconciled with the engine's own account.

use std::{collections::BTreeMap, time::Duration};

use crate::ids::{AttemptNumber, RequestId, Timestamp, TokenCount};

/// Why memory is leased.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// A request that was started, or a span's request that waits for its start.
    Running,
    /// A reservation for a span that lapses by itself.
    Reserved {
        /// The attempt that holds it.
        attempt: AttemptNumber,
        /// When it lapses without renewal.
        until: Timestamp,
    },
    /// The owner is gone and the engine was told to free it.
    Closing {
        /// When the engine was told first.
        since: Timestamp,
        /// When the engine is told again.
        retry_at: Timestamp,
    },
}

/// A lease on memory of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLease {
    /// Tokens of KV memory.
    pub tokens: TokenCount,
    /// Why it is leased.
    pub state: LeaseState,
    /// Whether the engine's account has shown it.
    pub(super) seen: bool,
    /// Since when the account, which showed it before, lacks it.
    pub(super) missing_since: Option<Timestamp>,
}

/// Memory that the engine holds and no lease explains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OrphanAllocation {
    pub(super) tokens: TokenCount,
    /// Since when no account was there to tell whether it is still held.
    pub(super) since: Timestamp,
    pub(super) cancel_at: Timestamp,
}

/// A lease for everything that holds memory of the engine.
///
/// The ledger decides what fits, the engine's account what is true: without the account, memory
/// of a request whose owner died (a crash of this sidecar, a lost cancellation) would stay
/// occupied for good and the engine would fill up. Whatever no lease explains for a stated time
/// is cancelled again and again until the account lacks it, so no block stays without an owner.
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
    /// An empty ledger of an engine with so much memory.
    pub fn new(memory: TokenCount) -> Self {
        Self {
            memory,
            ..Self::default()
        }
    }

    /// Changes the size of the memory; leases stay.
    pub fn set_memory(&mut self, memory: TokenCount) {
        self.memory = memory;
    }

    /// All memory, in tokens.
    pub fn memory(&self) -> TokenCount {
        self.memory
    }

    /// Sum of all leases.
    pub fn leased(&self) -> TokenCount {
        self.leased
    }

    /// Memory that the engine holds without a lease.
    pub fn orphaned(&self) -> TokenCount {
        self.orphaned
    }

    /// Memory that a new lease may take.
    pub fn free(&self) -> TokenCount {
        self.memory.saturating_sub(self.leased + self.orphaned)
    }

    /// All leases by request.
    pub fn leases(&self) -> impl Iterator<Item = (RequestId, &MemoryLease)> {
        self.leases.iter().map(|(request, lease)| (*request, lease))
    }

    /// The lease of a request.
    pub fn lease(&self, request: RequestId) -> Option<&MemoryLease> {
        self.leases.get(&request)
    }

    /// Whether the engine has given an account since the ledger was empty.
    pub fn knows_allocations(&self) -> bool {
        self.allocations_known
    }

    /// Whether the engine holds memory under this request that no lease explains.
    pub fn is_orphan(&self, request: RequestId) -> bool {
        self.orphans.contains_key(&request)
    }

    /// Whether a request holds a reservation.
    pub fn is_reserved(&self, request: RequestId) -> bool {
        let lease = self.leases.get(&request);
        lease.is_some_and(|lease| matches!(lease.state, LeaseState::Reserved { .. }))
    }

    /// Requests whose memory no lease explains.
    pub fn orphans(&self) -> impl Iterator<Item = RequestId> {
        self.orphans.keys().copied()
    }

    /// Memory reserved for spans that have not started.
    pub fn reserved(&self) -> TokenCount {
        self.leases
            .values()
            .filter(|lease| matches!(lease.state, LeaseState::Reserved { .. }))
            .map(|lease| lease.tokens)
            .sum()
    }

    /// Grants a lease if it fits; a lease that the request has already changes its state only.
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
            seen: false,
            missing_since: None,
        };
        self.leases.insert(request, lease);
        self.leased += tokens;
        true
    }

    /// The owner is gone: the lease stays until the engine has freed the memory.
    ///
    /// Returns whether there was a lease, that is, whether the engine has to be told.
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

    /// The engine has freed the memory.
    pub fn release(&mut self, request: RequestId) {
        if let Some(lease) = self.leases.remove(&request) {
            self.leased -= lease.tokens;
        }
    }

    /// The engine is dead or cut off: what it held is ownerless from now on.
    ///
    /// If it was only cut off, everything is still there when it comes back and is cancelled at
    /// once; if it died, its next account lacks it.
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

    /// Reservations that have lapsed.
    pub fn expired_reservations(&self, now: Timestamp) -> Vec<RequestId> {
        let expired = |lease: &MemoryLease| match lease.state {
            LeaseState::Reserved { until, .. } => until <= now,
            _ => false,
        };
        let leases = self.leases.iter().filter(|(_, lease)| expired(lease));
        leases.map(|(request, _)| *request).collect()
    }

    /// When [`Self::collect`] or [`Self::lapsed`] has something to say, at the earliest.
    pub fn next_due(&self) -> Option<Timestamp> {
        let leases = self.leases.values().filter_map(|lease| match lease.state {
            LeaseState::Running => None,
            LeaseState::Reserved { until, .. } => Some(until),
            LeaseState::Closing { retry_at, .. } => Some(retry_at),
        });
        let orphans = self.orphans.values().map(|orphan| orphan.cancel_at);
        leases.chain(orphans).min()
    }
}
