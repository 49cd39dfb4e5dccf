//! Compares the registered placement policies over several seeds.
//!
//! `cargo run --release -p lovagedock --example compare -- [LOAD] [SEEDS] [fifo|short-first]
//! [SHARE] [POLICY|all] [GATEWAYS]` prints one row per policy: the p95 first-token time of each
//! bucket in seconds of virtual time (median over the seeds), the slowdown of short prompts with
//! its range, and the numbers of refused and late requests. If the environment variable
//! `TOKENS_ONLY` is set, reports contain token counts but no predicted waiting times.

mod engine;
mod fleet;
mod traffic;

use std::env;

use engine::EngineOrder;
use fleet::{FleetResult, FleetSetup, run};
use lovagedock::{LengthBucket, PlacementSpec, policy_names};

fn main() {
    let mut args = env::args().skip(1);
    let load: f64 = args.next().map_or(0.8, |a| a.parse().expect("LOAD"));
    let seeds: u64 = args.next().map_or(5, |a| a.parse().expect("SEEDS"));
    let order = match args.next().as_deref() {
        None | Some("fifo") => EngineOrder::Fifo,
        Some("short-first") => EngineOrder::ShortFirst,
        Some(other) => panic!("unknown engine order: {other}"),
    };
    let default = PlacementSpec::default();
    let share = args
        .next()
        .map_or(default.long_share_percent, |a| a.parse().expect("SHARE"));
    let with_backlog = env::var_os("TOKENS_ONLY").is_none();
    println!("load {load}, {seeds} seeds, engines {order:?}, long share {share}%");
    println!(
        "| policy | 1k | 4k | 16k | 64k | 256k | 1m | slowdown 1k | slowdown 4k | refused | late | good Mtok |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let only = args.next();
    let wanted = |name: &&str| {
        only.as_deref()
            .is_none_or(|only| only == "all" || only == *name)
    };
    let gateways = args.next().map_or(3, |a| a.parse().expect("GATEWAYS"));
    for policy in policy_names().into_iter().filter(wanted) {
        let runs: Vec<PairedRun> = (1..=seeds)
            .map(|seed| {
                let setup = FleetSetup {
                    spec: PlacementSpec {
                        policy: policy.to_owned(),
                        long_share_percent: share,
                        ..default.clone()
                    },
                    seed,
                    load,
                    engines: 20,
                    gateways,
                    seconds: 1_200.0,
                    order,
                    with_long: true,
                    with_backlog,
                };
                PairedRun::new(&setup)
            })
            .collect();
        print_row(policy, &runs);
    }
}

/// Results of the same short requests with and without the long ones.
struct PairedRun {
    mixed: FleetResult,
    short: FleetResult,
}

impl PairedRun {
    fn new(setup: &FleetSetup) -> Self {
        let short = FleetSetup {
            with_long: false,
            ..setup.clone()
        };
        Self {
            mixed: run(setup),
            short: run(&short),
        }
    }

    fn slowdown(&self, bucket: LengthBucket) -> f64 {
        self.mixed.p95(bucket) / self.short.p95(bucket)
    }
}

fn print_row(policy: &str, runs: &[PairedRun]) {
    print!("| {policy} ");
    for bucket in LengthBucket::ALL {
        print!(
            "| {:.2} ",
            min_median_max(runs, |pair| pair.mixed.p95(bucket)).1
        );
    }
    for bucket in [LengthBucket::K1, LengthBucket::K4] {
        let (low, mid, high) = min_median_max(runs, |pair| pair.slowdown(bucket));
        print!("| {mid:.2} ({low:.2}-{high:.2}) ");
    }
    let refused: Vec<u64> = (0..6)
        .map(|bucket| runs.iter().map(|pair| pair.mixed.refused[bucket]).sum())
        .collect();
    let late: u64 = runs.iter().map(|pair| pair.mixed.late).sum();
    let good = min_median_max(runs, |pair| pair.mixed.good_tokens as f64 / 1e6).1;
    println!("| {refused:?} | {late} | {good:.1} |");
}

/// Returns the minimum, median and maximum over the runs.
fn min_median_max(runs: &[PairedRun], value: impl Fn(&PairedRun) -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = runs.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    (
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    )
}
