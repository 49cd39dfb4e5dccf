//! Shares of long prompts that are started, by their length.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Timestamp, TokenCount};

/// Short form of a route's name. Two routes of a fleet are unlikely to share one; their prompts would
/// then be counted together.
pub type RouteTag = u32;

/// Returns the short form of a route's name.
pub fn route_tag(name: &str) -> RouteTag {
    xxh3_64(name.as_bytes()) as RouteTag
}

/// Number of bands into which lengths are divided between a length and its double.
const BANDS_PER_DOUBLING: f64 = 4.0;

/// Prompts of about the same length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LengthBand(pub u8);

impl LengthBand {
    /// Returns the band of a prompt.
    pub fn new(prompt: TokenCount) -> Self {
        Self(((prompt.max(1) as f64).log2() * BANDS_PER_DOUBLING) as u8)
    }
}

/// What became of a long prompt, as counted here and sent to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LengthOutcome {
    /// Route of the request.
    pub route: RouteTag,
    /// Length of the prompt.
    pub band: LengthBand,
    /// Whether the request came for the first time. One that returns after a refusal was counted
    /// as asked for then.
    pub is_new: bool,
    /// Whether it was started; otherwise it was refused.
    pub is_started: bool,
}

/// Time for which an outcome counts. It is several times the interval between two of the longest
/// prompts of a small fleet.
const WINDOW: Duration = Duration::from_secs(60);

/// Share of the prompts of any length that is to be started, relative to all prompts of their
/// route. Callers are promised half; the rest makes up for prompts that are started and fail.
const MIN_RELATIVE_SHARE: f64 = 0.65;

/// Smallest share of a route's prompts that is treated as a size class of its own. The prompts of a
/// class have equal chances: if each length had its share, the few longest prompts would take several
/// times the endpoints of the others of their class.
const MIN_CLASS_SHARE: f64 = 0.1;

/// Counts how many long prompts of each length are asked for and started, over all gateways.
///
/// A long prompt needs several endpoints at once, the more the longer it is. Where shorter prompts
/// use each endpoint as it becomes idle, the longest find too few, and are refused however many
/// prompts are started in all.
#[derive(Clone, Debug, Default)]
pub struct LengthShares {
    counts: HashMap<(RouteTag, LengthBand), LengthCount>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LengthCount {
    asked: f64,
    started: f64,
    updated_at: Timestamp,
}

impl LengthCount {
    fn at(self, now: Timestamp) -> Self {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = (-age / WINDOW.as_secs_f64()).exp();
        Self {
            asked: self.asked * factor,
            started: self.started * factor,
            updated_at: now,
        }
    }

    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.started += other.started;
    }
}

impl LengthShares {
    /// Creates a state without counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a prompt.
    pub fn record(&mut self, now: Timestamp, outcome: LengthOutcome) {
        let count = self
            .counts
            .entry((outcome.route, outcome.band))
            .or_default();
        *count = count.at(now);
        count.asked += f64::from(u8::from(outcome.is_new));
        count.started += f64::from(u8::from(outcome.is_started));
    }

    /// Returns the size class of a prompt: the band of its length, or a shorter one if fewer than
    /// a tenth of the prompts of its route are as long.
    pub fn size_class(&self, now: Timestamp, route: RouteTag, band: LengthBand) -> LengthBand {
        let counts = self.counts_of(now, route);
        let asked: f64 = counts.iter().map(|(_, count)| count.asked).sum();
        let mut as_long = 0.0;
        for (shorter, count) in counts {
            as_long += count.asked;
            if as_long >= asked * MIN_CLASS_SHARE {
                return band.min(shorter);
            }
        }
        band
    }

    /// Returns how many more prompts of a size class have to be started until they are started often
    /// enough, compared with all prompts of their route; negative if they are.
    pub fn owed(&self, now: Timestamp, route: RouteTag, class: LengthBand) -> f64 {
        let largest = self.size_class(now, route, LengthBand(u8::MAX));
        let mut all = LengthCount::default();
        let mut own = LengthCount::default();
        for (band, count) in self.counts_of(now, route) {
            all.add(count);
            if band.min(largest) == class {
                own.add(count);
            }
        }
        let share = (all.started / all.asked.max(f64::MIN_POSITIVE)).min(1.0);
        share * MIN_RELATIVE_SHARE * own.asked - own.started
    }

    /// Returns the counts of a route, longest prompts first.
    fn counts_of(&self, now: Timestamp, route: RouteTag) -> Vec<(LengthBand, LengthCount)> {
        let of_route = self.counts.iter().filter(|((of, _), _)| *of == route);
        let mut counts: Vec<_> = of_route
            .map(|((_, band), count)| (*band, count.at(now)))
            .collect();
        counts.sort_unstable_by_key(|(band, _)| Reverse(*band));
        counts
    }
}
