//! How a change reaches every process, in virtual time with instances of the pure decision.

#[allow(dead_code)]
#[path = "../../lovagedock/tests/support/relay_world/mod.rs"]
mod relay_world;

use std::time::Duration;

use relay_world::{RelaySetup, RelayWorld};

use crate::{
    meter::{cpu_micros, heap_of},
    scale::DESIGN_SCALE,
    slope::{SlopeSeries, short},
};

const SEEDS: u64 = 3;
const CHANGES: usize = 5;
const CHANGE_INTERVAL: Duration = Duration::from_secs(8);
const SETTLE: Duration = Duration::from_secs(15);
const IDLE: Duration = Duration::from_secs(20);
const LOSS_PERCENT: u32 = 2;
const CHUNK_BYTES: usize = 2_048;
const CHUNKS: usize = 32;

/// A fleet that relays.
struct RelaySize {
    relays: usize,
    leaves: usize,
    regions: usize,
    domains: usize,
}

const SIZES: &[RelaySize] = &[
    RelaySize {
        relays: 4,
        leaves: 24,
        regions: 1,
        domains: 3,
    },
    RelaySize {
        relays: 28,
        leaves: 172,
        regions: 2,
        domains: 6,
    },
    RelaySize {
        relays: 200,
        leaves: 1_250,
        regions: 7,
        domains: 16,
    },
    RelaySize {
        relays: 1_600,
        leaves: 10_000,
        regions: 7,
        domains: 16,
    },
];

/// What the relay costs.
pub(crate) struct RelaySlopes {
    /// Bytes a second of a process without changes, mean, over processes.
    pub(crate) idle_bytes: SlopeSeries,
    /// Bytes that a process sends for a change, mean, over processes.
    pub(crate) change_bytes: SlopeSeries,
    /// The same of the process that sends most.
    pub(crate) change_most: SlopeSeries,
    /// Milliseconds until the last process has a change, over processes.
    pub(crate) last_millis: SlopeSeries,
    /// Calls to the store a second, over processes.
    pub(crate) store_calls: SlopeSeries,
    /// Processor time of a process for a second with changes at the design rate.
    pub(crate) cpu: SlopeSeries,
    /// Heap of a process.
    pub(crate) heap: SlopeSeries,
    watchers: usize,
}

impl RelaySlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let of = |name, unit| SlopeSeries::new(name, "processes", unit);
        let mut slopes = Self {
            idle_bytes: of("sent by a process without changes, mean", "B/s"),
            change_bytes: of("sent by a process for a change of 2 KiB, mean", "B"),
            change_most: of("sent by the busiest process for a change", "B"),
            last_millis: of("time until a change is in force at the last process", "ms"),
            store_calls: of("calls to the store, whole fleet", "1/s"),
            cpu: of("simulated second, with its network, for a process", "µs"),
            heap: of("heap of a process with 64 KiB of configuration", "B"),
            watchers: 0,
        };
        for size in SIZES {
            slopes.add(size);
        }
        slopes
    }

    fn add(&mut self, size: &RelaySize) {
        let processes = size.relays + size.leaves;
        let runs: Vec<RelayRun> = (1..=SEEDS).map(|seed| run(size, seed)).collect();
        let all = |value: fn(&RelayRun) -> f64| runs.iter().map(value).collect();
        self.idle_bytes.push(processes, all(|run| run.idle_bytes));
        self.change_bytes
            .push(processes, all(|run| run.change_bytes));
        self.change_most.push(processes, all(|run| run.change_most));
        self.last_millis.push(processes, all(|run| run.last_millis));
        self.store_calls.push(processes, all(|run| run.store_calls));
        self.cpu.push(processes, all(|run| run.cpu_micros));
        self.heap.push(processes, all(|run| run.heap));
        self.watchers = runs.last().map_or(0, |run| run.watchers);
    }

    /// Processes that watch the store at the largest size.
    pub(crate) fn watchers(&self) -> usize {
        self.watchers
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![
            &self.idle_bytes,
            &self.change_bytes,
            &self.change_most,
            &self.last_millis,
            &self.store_calls,
            &self.cpu,
            &self.heap,
        ]
    }
}

struct RelayRun {
    idle_bytes: f64,
    change_bytes: f64,
    change_most: f64,
    last_millis: f64,
    store_calls: f64,
    cpu_micros: f64,
    heap: f64,
    watchers: usize,
}

fn world(size: &RelaySize, seed: u64) -> RelayWorld {
    RelayWorld::new(RelaySetup {
        seed,
        regions: size.regions,
        domains: size.domains,
        relays: size.relays,
        leaves: size.leaves,
        chunks: CHUNKS,
        chunk_bytes: CHUNK_BYTES,
        loss: LOSS_PERCENT,
        ..RelaySetup::default()
    })
}

fn run(size: &RelaySize, seed: u64) -> RelayRun {
    let (heap, mut world) = heap_of(|| {
        let mut world = world(size, seed);
        world.run(SETTLE);
        world
    });
    let processes = world.len() as f64;
    world.reset_tallies();
    world.run(IDLE);
    let idle_seconds = IDLE.as_secs_f64();
    let idle: Vec<f64> = world
        .tallies
        .iter()
        .map(|tally| tally.bytes as f64 / idle_seconds)
        .collect();
    let calls: usize = world.tallies.iter().map(|tally| tally.store_reads).sum();
    world.reset_tallies();
    let mut last = Duration::ZERO;
    let seconds = CHANGE_INTERVAL.as_secs_f64() * CHANGES as f64;
    let cpu = cpu_micros(1, || {
        for _ in 0..CHANGES {
            last = last.max(change(&mut world));
        }
    });
    let changes: Vec<f64> = world
        .tallies
        .iter()
        .zip(&idle)
        .map(|(tally, idle)| (tally.bytes as f64 - idle * seconds) / CHANGES as f64)
        .collect();
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    RelayRun {
        idle_bytes: idle.iter().sum::<f64>() / processes,
        change_bytes: changes.iter().sum::<f64>() / processes,
        change_most: changes.iter().copied().fold(0.0, f64::max),
        last_millis: last.as_secs_f64() * 1e3,
        store_calls: calls as f64 / idle_seconds,
        cpu_micros: cpu / seconds / processes,
        heap: heap / processes,
        watchers: world.watcher_names().len(),
    }
}

/// Time until the last process has the next change; the whole interval when one has not.
fn change(world: &mut RelayWorld) -> Duration {
    let accepted_at = world.now;
    let generation = world.accept();
    world.run(CHANGE_INTERVAL);
    let adopted = world.tallies.iter().map(|tally| {
        let first = tally.adopted_at.range(generation..).next();
        first.map_or(world.now, |(_, at)| *at)
    });
    adopted.max().unwrap_or(world.now) - accepted_at
}

/// Prints what a region that was cut off causes when it returns.
pub(crate) fn print_cut() {
    println!(
        "| relays | leaves | regions | all in force after, ms | store calls/s before | worst second \
         after | messages/s before | worst second after |\n|---|---|---|---|---|---|---|---|"
    );
    for size in SIZES.iter().filter(|size| size.regions > 1) {
        print_cut_of(size);
    }
}

#[derive(Clone, Copy, Default)]
struct WorldTotals {
    messages: f64,
    store_calls: f64,
}

fn totals(world: &RelayWorld) -> WorldTotals {
    WorldTotals {
        messages: world
            .tallies
            .iter()
            .map(|tally| tally.messages as f64)
            .sum(),
        store_calls: world
            .tallies
            .iter()
            .map(|tally| tally.store_reads as f64)
            .sum(),
    }
}

fn print_cut_of(size: &RelaySize) {
    let mut world = world(size, 1);
    world.run(SETTLE);
    world.reset_tallies();
    world.run(Duration::from_secs(10));
    let before = totals(&world);
    world.cut.insert(size.regions - 1);
    let changes = (60.0 * DESIGN_SCALE.changes) as usize;
    for _ in 0..changes {
        world.accept();
        world.run(Duration::from_secs(60) / changes as u32);
    }
    world.cut.clear();
    let healed_at = world.now;
    let mut settled = None;
    let mut worst = WorldTotals::default();
    for _ in 0..15 {
        let start = totals(&world);
        for _ in 0..20 {
            world.run(Duration::from_millis(50));
            let behind = (0..world.len()).any(|at| world.generation(at) < world.accepted());
            if !behind {
                settled.get_or_insert(world.now);
            }
        }
        let end = totals(&world);
        worst.messages = worst.messages.max(end.messages - start.messages);
        worst.store_calls = worst.store_calls.max(end.store_calls - start.store_calls);
    }
    let settled = settled.map_or("not within 15 s".to_owned(), |at| {
        (at - healed_at).as_millis().to_string()
    });
    println!(
        "| {} | {} | {} | {settled} | {} | {} | {} | {} |",
        size.relays,
        size.leaves,
        size.regions,
        short(before.store_calls / 10.0),
        short(worst.store_calls),
        short(before.messages / 10.0),
        short(worst.messages),
    );
}
