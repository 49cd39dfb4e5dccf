//! Measures the cost of applying and reading configurations of three sizes, and the cost of an
//! edit for several ways to split the configuration into chunks.
//!
//! `cargo run --release -p lovagedock-standin --example config_apply`

use std::{
    collections::HashSet,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use fastcdc::v2020::FastCDC;
use lovagedock::{FleetConfig, OrganisationLimits, OrganisationSpec};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, ChunkCache, ConfigStore, HttpObjectStore, canonical_json,
};
use lovagedock_standin::{PlatformCounters, PlatformOptions, PlatformStandin, RunningPlatform};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SIZES: [usize; 3] = [250, 2_500, 25_000];
const ROUNDS: usize = 7;
const EDITS: usize = 100;
const SEED: u64 = 7;
/// Bytes per chunk in the root object: the hash in quotes and a comma.
const ROOT_BYTES_PER_CHUNK: usize = 67;

#[tokio::main]
async fn main() {
    println!(
        "organisations  bytes    step         writes reads kB_written  kB_read  ms (median, min..max)"
    );
    for organisations in SIZES {
        measure_store(organisations).await;
    }
    println!();
    println!("edit of one of 25,000 organisations, mean of {EDITS}:");
    println!("split                chunks  root_bytes  changed_chunks  changed_bytes");
    let bytes = config_bytes(&fleet(25_000));
    for average in [8 << 10, 16 << 10, 32 << 10, 64 << 10, 256 << 10] {
        let split = move |bytes: &Bytes| split_by_content(bytes, average);
        measure_edits(&format!("content {average:>7}"), &bytes, split);
    }
    let split = |bytes: &Bytes| bytes.chunks(32 << 10).map(Bytes::copy_from_slice).collect();
    measure_edits("fixed     32768", &bytes, split);
}

struct StepCost {
    before: PlatformCounters,
    started: Instant,
}

impl StepCost {
    fn begin(running: &RunningPlatform) -> Self {
        Self {
            before: running.counters(),
            started: Instant::now(),
        }
    }

    fn end(self, running: &RunningPlatform) -> (PlatformCounters, Duration) {
        let now = running.counters();
        let used = PlatformCounters {
            writes: now.writes - self.before.writes,
            reads: now.reads - self.before.reads,
            bytes_written: now.bytes_written - self.before.bytes_written,
            bytes_read: now.bytes_read - self.before.bytes_read,
            ..PlatformCounters::default()
        };
        (used, self.started.elapsed())
    }
}

async fn measure_store(organisations: usize) {
    let config = fleet(organisations);
    let bytes = config_bytes(&config);
    let mut edited = config.clone();
    edited.organisations[organisations / 2].weight += 1;
    let edited = config_bytes(&edited);
    let steps = ["apply", "read", "apply edit", "read edit"];
    let mut costs: Vec<Vec<(PlatformCounters, Duration)>> = vec![Vec::new(); steps.len()];
    for _ in 0..ROUNDS {
        let running = PlatformStandin::start(PlatformOptions::default())
            .await
            .expect("the stand-in listens on loopback");
        let store = ConfigStore::new(Arc::new(HttpObjectStore::new(&running.url())));
        let mut cache = ChunkCache::new();
        for (generation, bytes) in [&bytes, &edited].into_iter().enumerate() {
            let nonce = generation.to_string();
            let request = ApplyRequest::new(bytes.clone(), generation as u64, "bench", nonce);
            let cost = StepCost::begin(&running);
            let outcome = store.apply(&request).await;
            costs[generation * 2].push(cost.end(&running));
            assert!(matches!(outcome, ApplyOutcome::Accepted { .. }));
            let cost = StepCost::begin(&running);
            let loaded = store
                .load_latest(&mut cache)
                .await
                .expect("load")
                .expect("the store has a configuration");
            costs[generation * 2 + 1].push(cost.end(&running));
            assert_eq!(loaded.bytes, *bytes);
        }
    }
    for (step, mut costs) in steps.into_iter().zip(costs) {
        costs.sort_by_key(|(_, took)| *took);
        let (used, median) = costs[costs.len() / 2];
        let millis = |took: Duration| took.as_secs_f64() * 1e3;
        println!(
            "{organisations:>13} {:>8}  {step:<12} {:>6} {:>5} {:>10.1} {:>8.1}  {:.1}, {:.1}..{:.1}",
            bytes.len(),
            used.writes,
            used.reads,
            used.bytes_written as f64 / 1e3,
            used.bytes_read as f64 / 1e3,
            millis(median),
            millis(costs[0].1),
            millis(costs[costs.len() - 1].1),
        );
    }
}

fn measure_edits(name: &str, bytes: &Bytes, split: impl Fn(&Bytes) -> Vec<Bytes>) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let chunks = split(bytes);
    let known: HashSet<&Bytes> = chunks.iter().collect();
    let (mut changed_chunks, mut changed_bytes) = (0, 0);
    for _ in 0..EDITS {
        let mut config = fleet(25_000);
        let index = rng.random_range(0..config.organisations.len());
        config.organisations[index].services.push("one-more".into());
        let edited = split(&config_bytes(&config));
        let changed = edited.iter().filter(|chunk| !known.contains(chunk));
        for chunk in changed {
            changed_chunks += 1;
            changed_bytes += chunk.len();
        }
    }
    println!(
        "{name:<20} {:>6} {:>11} {:>15.2} {:>14}",
        chunks.len(),
        chunks.len() * ROOT_BYTES_PER_CHUNK,
        changed_chunks as f64 / EDITS as f64,
        changed_bytes / EDITS,
    );
}

fn split_by_content(bytes: &Bytes, average: usize) -> Vec<Bytes> {
    FastCDC::new(bytes, average / 4, average, average * 4)
        .map(|chunk| bytes.slice(chunk.offset..chunk.offset + chunk.length))
        .collect()
}

fn fleet(organisations: usize) -> FleetConfig {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut organisation = |n: usize| OrganisationSpec {
        id: format!("organisation-{n:05}").into(),
        key_hashes: (0..2).map(|_| random_hash(&mut rng)).collect(),
        priority: Default::default(),
        weight: 1,
        limits: OrganisationLimits {
            requests_per_second: 50,
            ..OrganisationLimits::default()
        },
        services: vec!["summaries".into()],
    };
    FleetConfig {
        version: 1,
        organisations: (0..organisations).map(&mut organisation).collect(),
        ..FleetConfig::default()
    }
}

fn random_hash(rng: &mut ChaCha8Rng) -> String {
    format!("{:032x}{:032x}", rng.random::<u128>(), rng.random::<u128>())
}

fn config_bytes(config: &FleetConfig) -> Bytes {
    canonical_json(config).expect("the configuration can be serialised")
}
