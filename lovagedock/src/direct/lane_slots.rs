//! Slots of time in which returns are scheduled.

use std::{collections::VecDeque, time::Duration};

use crate::ids::Timestamp;

/// Length of a slot, and time for which slots are scheduled ahead: a third of the longest deadlines.
pub(super) const SLOT: Duration = Duration::from_millis(100);
pub(super) const MAX_AHEAD: Duration = Duration::from_secs(5);

/// Minimum number of returns for which room is counted together. If a slot has room for fewer, several
/// are joined: gateways that decide at the same moment overfill a slot by a few, and its neighbours
/// make up for it.
const MIN_ROOM: f64 = 20.0;

/// Maximum number of slots that are joined: all that are scheduled ahead.
pub(super) const MAX_JOINED: u64 = (MAX_AHEAD.as_millis() / SLOT.as_millis()) as u64;

/// Number of a slot since the start of the process.
pub(super) type SlotIndex = u64;

/// Numbers of returns in the slots of a lane.
#[derive(Clone, Debug, Default)]
pub(super) struct LaneSlots {
    /// Slot of the first count.
    first: SlotIndex,
    counts: VecDeque<u32>,
}

impl LaneSlots {
    pub(super) fn drop_before(&mut self, slot: SlotIndex) {
        while self.first < slot && self.counts.pop_front().is_some() {
            self.first += 1;
        }
        if self.counts.is_empty() {
            self.first = slot;
        }
    }

    pub(super) fn add(&mut self, slot: SlotIndex) {
        let Some(index) = slot.checked_sub(self.first) else {
            return;
        };
        let index = index as usize;
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] += 1;
    }

    pub(super) fn remove(&mut self, slot: SlotIndex) {
        let index = slot.checked_sub(self.first).map(|index| index as usize);
        if let Some(count) = index.and_then(|index| self.counts.get_mut(index)) {
            *count = count.saturating_sub(1);
        }
    }

    fn count(&self, slot: SlotIndex) -> u32 {
        let index = slot.checked_sub(self.first).map(|index| index as usize);
        let count = index.and_then(|index| self.counts.get(index));
        count.copied().unwrap_or_default()
    }

    pub(super) fn counts_from(&self, slot: SlotIndex) -> Vec<u32> {
        let end = self.first + self.counts.len() as u64;
        (slot..end).map(|slot| self.count(slot)).collect()
    }

    /// Returns one of the first joined slots between two times that have room, and a draw for the moment
    /// within it. `room` is the number of returns for which
    /// a slot has room.
    ///
    /// Gateways that decide at the same moment would all choose the very first one. A slot has room if
    /// all joined slots around it have. With groups of slots at fixed positions,
    /// gateways whose slots begin at different moments would fill them up to twice.
    pub(super) fn first_with_room(
        &self,
        earliest: Timestamp,
        latest: Timestamp,
        room: f64,
        draw: f64,
    ) -> Option<(SlotIndex, f64)> {
        if room <= 0.0 || latest < earliest {
            return None;
        }
        let joined = (MIN_ROOM / room).ceil().clamp(1.0, MAX_JOINED as f64) as usize;
        let max_count = room.ceil() as u32;
        let max_joined = (room * joined as f64) as u32;
        let (first, last) = (slot_of(earliest), slot_of(latest));
        let before = (joined as u64 - 1).min(first);
        let counts = (first - before..=last + joined as u64).map(|slot| self.count(slot));
        let counts: Vec<u32> = counts.collect();
        let sums = counts.windows(joined).map(|joined| joined.iter().sum());
        let sums: Vec<u32> = sums.collect();
        let has_room = |slot: &SlotIndex| {
            let end = (slot - (first - before)) as usize;
            let around = &sums[(end + 1).saturating_sub(joined)..=end];
            self.count(*slot) < max_count && around.iter().all(|sum| *sum < max_joined)
        };
        let found = (first..=last).find(has_room)?;
        let near = (found..=last.min(found + joined as u64 - 1)).filter(has_room);
        let near: Vec<SlotIndex> = near.collect();
        let position = draw.clamp(0.0, 1.0 - f64::EPSILON) * near.len() as f64;
        let slot = near.get(position as usize)?;
        Some((*slot, position.fract()))
    }
}

pub(super) fn slot_of(at: Timestamp) -> SlotIndex {
    (at.as_millis() / SLOT.as_millis()) as SlotIndex
}

pub(super) fn slot_start(slot: SlotIndex) -> Timestamp {
    Duration::from_millis(slot * SLOT.as_millis() as u64)
}
