//! Random schedules of applies, faults and chunk collections against the configuration store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{DomainSpec, FleetConfig};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, CHUNK_PREFIX, CallKind, ChunkCache, ConfigStore, MemoryFault,
    MemoryStore, ROOT_KEY, canonical_json,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const CASES: u32 = 256;
const SEED: u64 = 20_261;

#[derive(Clone, Debug)]
struct PlannedFault {
    kind: CallKind,
    key: &'static str,
    skip: u32,
    times: u32,
    fault: MemoryFault,
}

/// Two operators apply at the same time under some faults. Afterwards delayed writes may take
/// effect and chunks may be collected.
#[derive(Clone, Debug)]
struct PlannedRound {
    faults: Vec<PlannedFault>,
    /// Number of generations that each operator is behind the newest.
    behind: [u64; 2],
    apply_delayed: bool,
    collect: bool,
}

fn planned_fault() -> impl Strategy<Value = PlannedFault> {
    let kind = prop_oneof![Just(CallKind::Read), Just(CallKind::Write)];
    let key = prop_oneof![4 => Just(ROOT_KEY), 1 => Just(CHUNK_PREFIX)];
    let fault = prop_oneof![
        Just(MemoryFault::Down),
        Just(MemoryFault::LoseResponse),
        Just(MemoryFault::LoseRequest),
        Just(MemoryFault::DelayWrite),
        Just(MemoryFault::RateLimited),
    ];
    (kind, key, 0..4u32, 1..12u32, fault).prop_map(|(kind, key, skip, times, fault)| PlannedFault {
        kind,
        key,
        skip,
        times,
        fault,
    })
}

fn planned_round() -> impl Strategy<Value = PlannedRound> {
    let behind = prop_oneof![4 => Just(0u64), 1 => 1..3u64];
    let behind = [behind.clone(), behind];
    (
        vec(planned_fault(), 0..4),
        behind,
        any::<bool>(),
        any::<bool>(),
    )
        .prop_map(|(faults, behind, apply_delayed, collect)| PlannedRound {
            faults,
            behind,
            apply_delayed,
            collect,
        })
}

fn config(name: &str) -> Bytes {
    let config = FleetConfig {
        failure_domains: vec![DomainSpec {
            id: name.into(),
            region: String::new(),
        }],
        ..FleetConfig::default()
    };
    canonical_json(&config).expect("serialisable")
}

struct Schedule {
    memory: Arc<MemoryStore>,
    config: ConfigStore,
    /// Nonce of each generation, as read from the store while no fault was active.
    accepted_nonces: HashMap<u64, String>,
    newest: u64,
    reported: Vec<(String, ApplyOutcome)>,
}

impl Schedule {
    fn new() -> Self {
        let memory = Arc::new(MemoryStore::new());
        Self {
            config: ConfigStore::new(memory.clone()),
            memory,
            accepted_nonces: HashMap::new(),
            newest: 0,
            reported: Vec::new(),
        }
    }

    async fn run_round(&mut self, at: usize, round: &PlannedRound) {
        for planned in &round.faults {
            self.memory.script_fault(
                planned.kind,
                planned.key,
                planned.skip,
                planned.times,
                planned.fault,
            );
        }
        let request = |operator: usize| {
            let nonce = format!("{at}-{operator}");
            let expected = self.newest.saturating_sub(round.behind[operator]);
            ApplyRequest::new(config(&nonce), expected, "operator", nonce)
                .with_timeout(Duration::from_secs(2))
        };
        let (one, two) = (request(0), request(1));
        let (first, second) = tokio::join!(self.config.apply(&one), self.config.apply(&two));
        self.reported.push((one.nonce, first));
        self.reported.push((two.nonce, second));
        self.memory.clear_faults();
        if round.collect {
            self.config
                .collect_chunks(usize::MAX)
                .await
                .expect("collect");
        }
        if round.apply_delayed {
            self.memory.apply_delayed();
        }
        self.verify_state().await;
    }

    /// Checks that the store has a complete configuration, that the generation did not decrease,
    /// and that no generation changed its nonce.
    async fn verify_state(&mut self) {
        let loaded = self.config.load_latest(&mut ChunkCache::new()).await;
        let Some(loaded) = loaded.expect("complete configuration") else {
            assert_eq!(self.newest, 0);
            return;
        };
        let root = loaded.root;
        assert!(root.generation() >= self.newest, "the generation decreased");
        self.newest = root.generation();
        assert_eq!(
            loaded.bytes,
            config(&root.accepted.nonce),
            "the configuration is not that of the accepted nonce"
        );
        for record in root.history.iter().chain([&root.accepted]) {
            let known = self
                .accepted_nonces
                .entry(record.generation)
                .or_insert(record.nonce.clone());
            assert_eq!(*known, record.nonce, "a generation changed its nonce");
        }
    }

    async fn check_outcomes(&mut self) {
        self.memory.apply_delayed();
        self.verify_state().await;
        for (nonce, outcome) in &self.reported {
            let mut generations = self
                .accepted_nonces
                .iter()
                .filter(|(_, accepted)| *accepted == nonce);
            let generation = generations.next().map(|(generation, _)| *generation);
            assert_eq!(generations.next(), None, "{nonce} was accepted twice");
            match outcome {
                ApplyOutcome::Accepted {
                    generation: reported,
                } => {
                    assert_eq!(generation, Some(*reported), "{nonce}");
                }
                ApplyOutcome::Conflict { winner, .. } => {
                    assert_eq!(generation, None, "{nonce}");
                    assert!(self.accepted_nonces.contains_key(winner), "{nonce}");
                }
                ApplyOutcome::NotAccepted { .. } => assert_eq!(generation, None, "{nonce}"),
                ApplyOutcome::Unknown => {}
            }
        }
    }
}

fn paused_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime")
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    /// Operators apply concurrently under lost responses, delayed writes, outages and rejections.
    /// Every reported outcome stays true: an accepted apply is in the history exactly once, one
    /// that was not accepted never is, and the newest configuration can always be read completely.
    #[test]
    fn reported_outcomes_match_the_store(rounds in vec(planned_round(), 1..12)) {
        paused_runtime().block_on(async {
            let mut schedule = Schedule::new();
            for (at, round) in rounds.iter().enumerate() {
                schedule.run_round(at, round).await;
            }
            schedule.check_outcomes().await;
        });
    }
}
