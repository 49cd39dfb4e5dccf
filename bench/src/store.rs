//! Calls to the platform's store when many processes want them at once.

use std::{collections::BTreeMap, time::Duration};

use lovagedock::Timestamp;
use lovagedock_platform::{BudgetDecision, BudgetLimits, CallPurpose, CallResult, StoreBudget};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::slope::SlopeSeries;

const REPEATS: usize = 5;
const PROCESSES: [usize; 4] = [30, 100, 400, 1_600];
/// Reads of a start at the size to design for: the root and its chunks.
const START_READS: usize = 171;
const OUTAGE: Duration = Duration::from_secs(60);

/// What the budgets of many processes add up to.
pub(crate) struct StoreSlopes {
    /// Calls in the busiest second of a start, over processes.
    pub(crate) start_busiest: SlopeSeries,
    /// Calls in the busiest second after an outage, over processes.
    pub(crate) return_busiest: SlopeSeries,
    /// Calls in the busiest second late in an outage, over processes.
    pub(crate) outage_probes: SlopeSeries,
}

impl StoreSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let mut seed = 0;
        let mut of = |name, unit, measure: fn(usize, u64) -> f64| {
            SlopeSeries::new(name, "processes that read the store", unit).with_points(
                &PROCESSES,
                REPEATS,
                |count| {
                    seed += 1;
                    measure(count, seed)
                },
            )
        };
        Self {
            start_busiest: of(
                "calls in the busiest second of a start",
                "calls",
                start_busiest,
            ),
            return_busiest: of(
                "calls in the busiest second after an outage of 60 s",
                "calls",
                return_busiest,
            ),
            outage_probes: of(
                "calls in the busiest second late in an outage",
                "calls",
                outage_busiest,
            ),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.start_busiest,
            &self.return_busiest,
            &self.outage_probes,
        ]
    }
}

/// Seconds in which calls were sent.
type SecondCounts = BTreeMap<u64, usize>;

fn busiest(counts: &SecondCounts) -> f64 {
    counts.values().max().copied().unwrap_or(0) as f64
}

/// Each process reads its configuration, one call after the other.
fn start_busiest(processes: usize, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = SecondCounts::new();
    for _ in 0..processes {
        let limits = BudgetLimits::default();
        let mut budget = StoreBudget::new(limits, Timestamp::ZERO, rng.random());
        read_all(&mut budget, Timestamp::ZERO, &mut rng, &mut counts);
    }
    busiest(&counts)
}

fn read_all(
    budget: &mut StoreBudget,
    start: Timestamp,
    rng: &mut ChaCha8Rng,
    counts: &mut SecondCounts,
) {
    let mut now = start;
    for _ in 0..START_READS {
        now += match budget.admit(CallPurpose::Config, now, rng.random()) {
            BudgetDecision::Proceed => Duration::ZERO,
            BudgetDecision::Wait(wait) => wait,
            BudgetDecision::Refuse(_) => Duration::from_secs(1),
        };
        *counts.entry(now.as_secs()).or_default() += 1;
        now += Duration::from_millis(5);
        budget.record(CallPurpose::Config, CallResult::Answered, now, rng.random());
    }
}

/// Calls during the outage, and one read of the configuration after it.
fn return_busiest(processes: usize, seed: u64) -> f64 {
    let (_, after) = outage(processes, seed);
    busiest(&after)
}

fn outage_busiest(processes: usize, seed: u64) -> f64 {
    let (during, _) = outage(processes, seed);
    let late = OUTAGE.as_secs() - 20;
    let counts = during.into_iter().filter(|(second, _)| *second >= late);
    busiest(&counts.collect())
}

fn outage(processes: usize, seed: u64) -> (SecondCounts, SecondCounts) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut during, mut after) = (SecondCounts::new(), SecondCounts::new());
    for _ in 0..processes {
        let limits = BudgetLimits::default();
        let mut budget = StoreBudget::new(limits, Timestamp::ZERO, rng.random());
        let mut now = Duration::from_millis(rng.random_range(0..1_000));
        loop {
            let decision = budget.admit(CallPurpose::Config, now, rng.random());
            if let BudgetDecision::Wait(wait) = decision {
                now += wait;
            }
            if matches!(decision, BudgetDecision::Refuse(_)) {
                now += Duration::from_millis(100);
                continue;
            }
            if now >= OUTAGE {
                *after.entry(now.as_secs()).or_default() += 1;
                budget.record(CallPurpose::Config, CallResult::Answered, now, rng.random());
                read_all(&mut budget, now, &mut rng, &mut after);
                break;
            }
            *during.entry(now.as_secs()).or_default() += 1;
            now += Duration::from_millis(20);
            budget.record(CallPurpose::Config, CallResult::Failed, now, rng.random());
        }
    }
    (during, after)
}
