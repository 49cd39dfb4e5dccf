//! Memory limit for data that callers and endpoints have not read yet.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::ids::Timestamp;

/// Number of a response in the budget.
pub type OutputId = u64;

/// Maximum number of bytes that one read from an endpoint returns.
pub const MAX_READ_BYTES: usize = 64 << 10;

/// Time without a read after which a caller whose response holds too much may be disconnected.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks from which the process was paused. Callers may have read meanwhile.
const CHECK_GAP: Duration = Duration::from_secs(1);

/// Whether the caller of a response can read what the response holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputPhase {
    /// No part of the response has been given to the caller.
    Waiting,
    /// The response is read as a whole before the caller gets it.
    Collecting,
    /// The caller can read what the response holds.
    Delivering,
}

/// A caller to be disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowCaller {
    /// Its response.
    pub id: OutputId,
    /// Bytes that the response holds.
    pub held: usize,
    /// Time since the caller last read, or since there is something to read.
    pub unread_for: Duration,
}

/// How much of the budget is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum BudgetLevel {
    /// Less than half: responses are read without a limit.
    Free,
    /// Up to nine tenths: a response holds at most its equal share.
    Shared,
    /// Above nine tenths: a response is read only while it holds nothing, and no connection is
    /// admitted.
    Scarce,
    /// The next read might exceed the budget.
    Exhausted,
}

#[derive(Clone, Debug)]
struct OutputState {
    held: usize,
    phase: OutputPhase,
    /// When the caller last read, or when the response last began to hold something.
    unread_since: Timestamp,
    is_disconnected: bool,
}

/// Divides the memory of a gateway between the responses that callers have not read yet.
///
/// A limit for each response would not bound their sum, and the sum is what ends the process. The
/// last tenth is left to responses that hold nothing, so callers that read promptly are served
/// beside those that do not read.
///
/// The equal share is that of nine tenths of the budget. Above nine tenths some response then always holds more than its share, so that disconnecting callers who do
/// not read leads back below. With shares of the whole budget, all responses could hold a little
/// less than their share, and no connection would be admitted any more.
#[derive(Clone, Debug)]
pub struct OutputBudget {
    limit: usize,
    used: usize,
    outputs: BTreeMap<OutputId, OutputState>,
    next_id: OutputId,
    holder_count: usize,
    collecting: BTreeSet<OutputId>,
    checked_at: Timestamp,
    /// Times before it do not count as unread.
    resumed_at: Timestamp,
}

impl OutputBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: 0,
            outputs: BTreeMap::new(),
            next_id: 0,
            holder_count: 0,
            collecting: BTreeSet::new(),
            checked_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
        }
    }

    /// Returns the reserved bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a response that holds nothing.
    pub fn open(&mut self) -> OutputId {
        self.next_id += 1;
        let output = OutputState {
            held: 0,
            phase: OutputPhase::Waiting,
            unread_since: Duration::ZERO,
            is_disconnected: false,
        };
        self.outputs.insert(self.next_id, output);
        self.next_id
    }

    /// Records the phase of a response.
    pub fn set_phase(&mut self, now: Timestamp, id: OutputId, phase: OutputPhase) {
        match phase {
            OutputPhase::Collecting => self.collecting.insert(id),
            OutputPhase::Waiting | OutputPhase::Delivering => self.collecting.remove(&id),
        };
        if let Some(output) = self.outputs.get_mut(&id) {
            output.phase = phase;
            output.unread_since = now;
        }
    }

    /// Returns whether a response may be read further from its endpoint.
    ///
    /// The oldest response that is collected goes on above its share. Otherwise all collected
    /// responses could wait for each other, since their callers read nothing before the end.
    pub fn may_read(&self, id: OutputId) -> bool {
        let held = self.outputs.get(&id).map_or(0, |output| output.held);
        let is_oldest = self.collecting.first() == Some(&id);
        match self.level() {
            BudgetLevel::Free => true,
            BudgetLevel::Shared => held == 0 || held < self.share() || is_oldest,
            BudgetLevel::Scarce => held == 0 || is_oldest,
            BudgetLevel::Exhausted => false,
        }
    }

    /// Reserves bytes that a response holds.
    pub fn reserve(&mut self, now: Timestamp, id: OutputId, bytes: usize) {
        self.used += bytes;
        let Some(output) = self.outputs.get_mut(&id) else {
            return;
        };
        if output.held == 0 && bytes > 0 {
            self.holder_count += 1;
            output.unread_since = now;
        }
        output.held += bytes;
    }

    /// Releases bytes of a response that were written to the caller or dropped. Returns whether
    /// responses that may not be read now may have become readable.
    pub fn release(&mut self, now: Timestamp, id: OutputId, bytes: usize) -> bool {
        let level = self.level();
        self.used = self.used.saturating_sub(bytes);
        let mut is_emptied = false;
        if let Some(output) = self.outputs.get_mut(&id) {
            is_emptied = output.held > 0 && output.held <= bytes;
            output.held = output.held.saturating_sub(bytes);
            output.unread_since = now;
        }
        self.holder_count -= usize::from(is_emptied);
        self.level() < level || (is_emptied && level > BudgetLevel::Free)
    }

    /// Removes a response that holds nothing any more. Returns the same as
    /// [`release`](Self::release).
    pub fn close(&mut self, now: Timestamp, id: OutputId) -> bool {
        let held = self.outputs.get(&id).map_or(0, |output| output.held);
        let is_released = self.release(now, id, held);
        self.outputs.remove(&id);
        self.collecting.remove(&id) || is_released
    }

    /// Returns whether new connections are read. Otherwise they have to be closed unread.
    pub fn admits_connections(&self) -> bool {
        self.used <= self.shared_limit()
    }

    /// Returns the callers to be disconnected now, those whose responses hold the most first, each
    /// only once. To be called several times a second.
    pub fn take_slow_callers(&mut self, now: Timestamp) -> Vec<SlowCaller> {
        if now.saturating_sub(self.checked_at) > CHECK_GAP {
            self.resumed_at = now;
        }
        self.checked_at = now;
        let mut excess = self.used.saturating_sub(self.shared_limit());
        if excess == 0 {
            return Vec::new();
        }
        let share = self.share();
        let mut slow = Vec::new();
        for (id, output) in &self.outputs {
            if output.is_disconnected {
                excess = excess.saturating_sub(output.held);
                continue;
            }
            let unread_since = output.unread_since.max(self.resumed_at);
            let unread_for = now.saturating_sub(unread_since);
            let is_readable = output.phase == OutputPhase::Delivering;
            if is_readable && output.held > share && unread_for >= UNREAD_TIMEOUT {
                slow.push(SlowCaller {
                    id: *id,
                    held: output.held,
                    unread_for,
                });
            }
        }
        slow.sort_by_key(|caller| Reverse(caller.held));
        slow.retain(|caller| {
            let is_needed = excess > 0;
            excess = excess.saturating_sub(caller.held);
            is_needed
        });
        for caller in &slow {
            if let Some(output) = self.outputs.get_mut(&caller.id) {
                output.is_disconnected = true;
            }
        }
        slow
    }

    fn shared_limit(&self) -> usize {
        self.limit / 10 * 9
    }

    /// Returns the bytes that a response may hold while the budget is shared.
    fn share(&self) -> usize {
        self.shared_limit() / self.holder_count.max(1)
    }

    fn level(&self) -> BudgetLevel {
        if self.used < self.limit / 2 {
            return BudgetLevel::Free;
        }
        if self.used + MAX_READ_BYTES > self.limit {
            return BudgetLevel::Exhausted;
        }
        match self.admits_connections() {
            true => BudgetLevel::Shared,
            false => BudgetLevel::Scarce,
        }
    }
}
