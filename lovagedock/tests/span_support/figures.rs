//! Arrivals of spans and statistics of their results.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Contention, ENGINES, GIVE_UP_MS, Span, SpanState, Step};

const SIZES: [(usize, f64); 4] = [(2, 0.5), (3, 0.25), (4, 0.15), (6, 0.1)];

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ContentionFigures {
    pub(crate) begun: u64,
    pub(crate) given_up: u64,
    pub(crate) wait_p50_ms: u64,
    pub(crate) wait_p95_ms: u64,
    pub(crate) widest_p95_ms: u64,
    /// Share of engine time reserved for spans that could not begin yet, in percent.
    pub(crate) held_idle_percent: f64,
    pub(crate) messages_per_span: f64,
}

impl Contention {
    pub(super) fn add_arrivals(&mut self, load: f64, end: u64) {
        let mut arrivals = ChaCha8Rng::from_rng(&mut self.rng);
        let mean_work: f64 = SIZES
            .iter()
            .map(|(size, share)| *size as f64 * share * 5_000.0)
            .sum();
        let mean_gap = mean_work / (ENGINES as f64 * load);
        let mut at = 0.0;
        loop {
            at += -mean_gap * (1.0 - arrivals.random::<f64>()).ln();
            if at as u64 >= end {
                return;
            }
            let size = draw_size(&mut arrivals);
            let span = self.spans.len();
            self.spans.push(Span {
                arrived: at as u64,
                size,
                service_ms: arrivals.random_range(2_000..8_000),
                members: Vec::new(),
                granted: Vec::new(),
                round: 0,
                state: SpanState::Waiting,
                wait_ms: None,
            });
            self.schedule(at as u64, Step::Arrive(span));
            self.schedule(at as u64 + GIVE_UP_MS, Step::GiveUp(span));
        }
    }

    pub(super) fn figures(&self) -> ContentionFigures {
        let mut waits: Vec<u64> = self.spans.iter().filter_map(|span| span.wait_ms).collect();
        let widest = self.spans.iter().filter(|span| span.size == SIZES[3].0);
        // A span that gave up waited at least this long.
        let mut widest: Vec<u64> = widest
            .map(|span| span.wait_ms.unwrap_or(GIVE_UP_MS))
            .collect();
        waits.sort_unstable();
        widest.sort_unstable();
        let total = self.spans.len() as u64;
        ContentionFigures {
            begun: waits.len() as u64,
            given_up: total - waits.len() as u64,
            wait_p50_ms: quantile(&waits, 0.5),
            wait_p95_ms: quantile(&waits, 0.95),
            widest_p95_ms: quantile(&widest, 0.95),
            held_idle_percent: 100.0 * self.held_idle_ms as f64
                / (ENGINES as u64 * self.now) as f64,
            messages_per_span: self.messages as f64 / total as f64,
        }
    }
}

fn draw_size(rng: &mut impl Rng) -> usize {
    let mut left = rng.random::<f64>();
    for (size, share) in SIZES {
        left -= share;
        if left < 0.0 {
            return size;
        }
    }
    SIZES[0].0
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    let at = (sorted.len() as f64 * share) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
