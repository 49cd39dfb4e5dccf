//! Measures how a configuration change reaches every process: `cargo run --release --example
//! relay_capacity`.
//!
//! Every process is a real state machine with simulated time, network and store. One-way latency is
//! 0.3 to 0.6 ms within a failure domain, 1.5 to 3 ms within a region, 60 to 120 ms between
//! regions, and 3 to 15 ms to the store. A lost message is detected after 400 ms.

#[allow(dead_code)]
#[path = "../tests/support/relay_simulation/mod.rs"]
mod relay_simulation;

use std::time::Duration;

use relay_simulation::{RelaySetup, RelaySimulation};

const CHANGES: usize = 8;
const CHANGE_INTERVAL: Duration = Duration::from_secs(8);
const CHANGES_PER_SECOND: f64 = 19_000.0 / 86_400.0;
const SEEDS: u64 = 3;

struct SizeRow {
    relays: usize,
    leaves: usize,
    regions: usize,
    domains: usize,
}

const SIZES: &[SizeRow] = &[
    SizeRow {
        relays: 4,
        leaves: 24,
        regions: 1,
        domains: 3,
    },
    SizeRow {
        relays: 28,
        leaves: 172,
        regions: 2,
        domains: 6,
    },
    SizeRow {
        relays: 1_600,
        leaves: 0,
        regions: 7,
        domains: 16,
    },
    SizeRow {
        relays: 1_600,
        leaves: 10_000,
        regions: 7,
        domains: 16,
    },
];
const LOSSES: &[u32] = &[0, 2, 10];
const CHUNK_BYTES: usize = 2_048;

fn main() {
    println!(
        "Change of one chunk of {CHUNK_BYTES} bytes, {CHANGES} changes, {SEEDS} seeds; bytes and"
    );
    println!("messages are what a process sends; B/s is idle traffic plus 19,000 changes a day.\n");
    println!(
        "| relays | leaves | regions | loss % | watchers | in force p50 ms | p99 ms | max ms | \
         hops max | messages/change mean | max | bytes/change mean | max | idle B/s mean | \
         B/s mean | B/s max | store calls/s |"
    );
    println!("|{}", "---|".repeat(17));
    for size in SIZES {
        for loss in LOSSES {
            print_row(size, *loss);
        }
    }
    println!(
        "\nA region is cut off for 60 s while 13 changes are accepted, then reconnects; loss 2%.\n"
    );
    println!(
        "| relays | leaves | regions | all in force after ms | store calls/s before | worst second \
         after | messages/s before | worst second after |"
    );
    println!("|{}", "---|".repeat(8));
    for size in SIZES.iter().filter(|size| size.regions > 1) {
        print_cut(size);
    }
}

fn setup(size: &SizeRow, loss: u32, seed: u64) -> RelaySetup {
    RelaySetup {
        seed,
        regions: size.regions,
        domains: size.domains,
        relays: size.relays,
        leaves: size.leaves,
        chunks: 32,
        chunk_bytes: CHUNK_BYTES,
        loss,
        ..RelaySetup::default()
    }
}

#[derive(Clone, Copy, Default)]
struct Totals {
    messages: usize,
    bytes: usize,
    store_calls: usize,
}

fn totals(simulation: &RelaySimulation) -> Totals {
    let mut totals = Totals::default();
    for tally in &simulation.tallies {
        totals.messages += tally.messages;
        totals.bytes += tally.bytes;
        totals.store_calls += tally.store_reads;
    }
    totals
}

fn print_row(size: &SizeRow, loss: u32) {
    let mut delays = Vec::new();
    let mut hops = 0;
    let (mut idle_rates, mut idle_messages, mut store_rate) = (Vec::new(), Vec::new(), 0.0);
    let (mut messages, mut bytes) = (Vec::new(), Vec::new());
    let mut watchers = 0;
    for seed in 1..=SEEDS {
        let mut simulation = RelaySimulation::new(setup(size, loss, seed));
        watchers = simulation.watcher_names().len();
        simulation.run(Duration::from_secs(15));
        simulation.reset_tallies();
        let idle_time = Duration::from_secs(20);
        simulation.run(idle_time);
        let seconds = idle_time.as_secs_f64();
        store_rate += totals(&simulation).store_calls as f64 / seconds / SEEDS as f64;
        let idle: Vec<(f64, f64)> = simulation
            .tallies
            .iter()
            .map(|tally| {
                (
                    tally.messages as f64 / seconds,
                    tally.bytes as f64 / seconds,
                )
            })
            .collect();
        simulation.reset_tallies();
        run_changes(&mut simulation, &mut delays, &mut hops);
        let time = CHANGE_INTERVAL.as_secs_f64() * CHANGES as f64;
        for (tally, idle) in simulation.tallies.iter().zip(&idle) {
            idle_messages.push(idle.0);
            idle_rates.push(idle.1);
            messages.push((tally.messages as f64 - idle.0 * time) / CHANGES as f64);
            bytes.push((tally.bytes as f64 - idle.1 * time) / CHANGES as f64);
        }
    }
    delays.sort();
    let at = |share: f64| delays[((delays.len() - 1) as f64 * share) as usize].as_millis();
    let rates: Vec<f64> = idle_rates
        .iter()
        .zip(&bytes)
        .map(|(idle, change)| idle + change * CHANGES_PER_SECOND)
        .collect();
    println!(
        "| {} | {} | {} | {loss} | {watchers} | {} | {} | {} | {hops} | {:.1} | {:.0} | {:.0} | \
         {:.0} | {:.0} | {:.0} | {:.0} | {store_rate:.1} |",
        size.relays,
        size.leaves,
        size.regions,
        at(0.5),
        at(0.99),
        at(1.0),
        mean(&messages),
        max(&messages),
        mean(&bytes),
        max(&bytes),
        mean(&idle_rates),
        mean(&rates),
        max(&rates),
    );
}

/// Accepts changes one after another. A process that has not adopted a change before the next one
/// counts with the full interval.
fn run_changes(simulation: &mut RelaySimulation, delays: &mut Vec<Duration>, hops: &mut usize) {
    for _ in 0..CHANGES {
        let accepted_at = simulation.now;
        let generation = simulation.accept();
        simulation.run(CHANGE_INTERVAL);
        for tally in &simulation.tallies {
            let mut later = tally.adopted_at.range(generation..);
            let at = later.next().map_or(simulation.now, |(_, at)| *at);
            delays.push(at - accepted_at);
            *hops = (*hops).max(tally.hops);
        }
    }
}

fn print_cut(size: &SizeRow) {
    let mut simulation = RelaySimulation::new(setup(size, 2, 1));
    simulation.run(Duration::from_secs(15));
    let before = per_second(&mut simulation, 10);
    simulation.cut_regions.insert(size.regions - 1);
    for _ in 0..13 {
        simulation.accept();
        simulation.run(Duration::from_millis(4_600));
    }
    simulation.cut_regions.clear();
    let healed_at = simulation.now;
    let mut settled_at = None;
    let mut worst = Totals::default();
    for _ in 0..20 {
        let start = totals(&simulation);
        for _ in 0..20 {
            simulation.run(Duration::from_millis(50));
            let behind =
                (0..simulation.len()).any(|p| simulation.generation(p) < simulation.accepted());
            if !behind {
                settled_at.get_or_insert(simulation.now);
            }
        }
        let end = totals(&simulation);
        worst.messages = worst.messages.max(end.messages - start.messages);
        worst.store_calls = worst.store_calls.max(end.store_calls - start.store_calls);
    }
    let settled = settled_at.map_or("never".to_owned(), |at| {
        (at - healed_at).as_millis().to_string()
    });
    println!(
        "| {} | {} | {} | {settled} | {:.1} | {} | {:.0} | {} |",
        size.relays,
        size.leaves,
        size.regions,
        before.store_calls as f64 / 10.0,
        worst.store_calls,
        before.messages as f64 / 10.0,
        worst.messages,
    );
}

fn per_second(simulation: &mut RelaySimulation, seconds: u64) -> Totals {
    let start = totals(simulation);
    simulation.run(Duration::from_secs(seconds));
    let end = totals(simulation);
    Totals {
        messages: end.messages - start.messages,
        bytes: end.bytes - start.bytes,
        store_calls: end.store_calls - start.store_calls,
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
