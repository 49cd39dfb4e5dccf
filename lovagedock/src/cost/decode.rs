//! Interval between the tokens of an answer as a function of the batch size.

/// Smoothed token intervals, one for each power of two of the batch size.
#[derive(Clone, Debug, Default)]
pub(super) struct DecodeTable {
    slots: [DecodeSlot; DECODE_SLOTS],
}

#[derive(Clone, Copy, Debug, Default)]
struct DecodeSlot {
    seconds: f64,
    observations: u32,
}

impl DecodeTable {
    pub(super) fn observe(&mut self, batch: u32, seconds: f64) {
        let slot = &mut self.slots[slot_of(batch)];
        slot.observations = slot.observations.saturating_add(1);
        if slot.observations == 1 {
            slot.seconds = seconds;
            return;
        }
        // Limits the effect of a stalled engine or a late report on the mean.
        let limited = seconds.min(slot.seconds * MAX_STEP_RATIO);
        let gain = DECODE_GAIN.max(1.0 / f64::from(slot.observations));
        slot.seconds += gain * (limited - slot.seconds);
    }

    /// Returns the interval at a batch size, interpolated between the nearest observed sizes.
    pub(super) fn interval_seconds(&self, batch: u32) -> Option<f64> {
        let at = slot_of(batch);
        let below = (0..=at).rev().find(|slot| self.is_observed(*slot));
        let above = (at..DECODE_SLOTS).find(|slot| self.is_observed(*slot));
        match (below, above) {
            (Some(low), Some(high)) if low < high => Some(self.interpolate(low, high, at)),
            (Some(slot), _) | (None, Some(slot)) => Some(self.slots[slot].seconds),
            (None, None) => None,
        }
    }

    fn is_observed(&self, slot: usize) -> bool {
        self.slots[slot].observations > 0
    }

    fn interpolate(&self, low: usize, high: usize, at: usize) -> f64 {
        let share = (at - low) as f64 / (high - low) as f64;
        let low = self.slots[low].seconds;
        low + share * (self.slots[high].seconds - low)
    }
}

fn slot_of(batch: u32) -> usize {
    (batch.max(1).ilog2() as usize).min(DECODE_SLOTS - 1)
}

/// Number of slots, for batch sizes of 1 to 1,023.
const DECODE_SLOTS: usize = 10;
const DECODE_GAIN: f64 = 0.1;
const MAX_STEP_RATIO: f64 = 1.5;
