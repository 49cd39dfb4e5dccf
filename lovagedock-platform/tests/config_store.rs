//! The configuration store under concurrent applies, lost confirmations, outages and damaged
//! objects.

use std::{collections::HashSet, sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock::{FleetConfig, OrganisationSpec};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, CHUNK_PREFIX, CallKind, CallPurpose, ChunkCache, ConfigStore,
    LoadError, MAX_VALUE_BYTES, MemoryFault, MemoryStore, NotAcceptedReason, ObjectStore,
    PutCondition, ROOT_KEY, StoreError, canonical_json, split_chunks,
};

const ALWAYS: u32 = u32::MAX;

fn fleet(organisations: usize) -> FleetConfig {
    let organisation = |n: usize| OrganisationSpec {
        id: format!("organisation-{n:05}").into(),
        key_hashes: vec![blake3::hash(&n.to_le_bytes()).to_hex().to_string()],
        priority: Default::default(),
        weight: 1,
        limits: Default::default(),
        services: Vec::new(),
    };
    FleetConfig {
        version: 1,
        organisations: (0..organisations).map(organisation).collect(),
        ..FleetConfig::default()
    }
}

fn bytes_of(config: &FleetConfig) -> Bytes {
    canonical_json(config).expect("serialisable")
}

fn request(organisations: usize, expected: u64, author: &str) -> ApplyRequest {
    let nonce = format!("nonce of {author} for {expected}");
    ApplyRequest::new(bytes_of(&fleet(organisations)), expected, author, nonce)
}

struct Fixture {
    memory: Arc<MemoryStore>,
    config: ConfigStore,
}

impl Fixture {
    fn new() -> Self {
        let memory = Arc::new(MemoryStore::new());
        let config = ConfigStore::new(memory.clone());
        Self { memory, config }
    }

    /// A store in which generation 1 has one organisation.
    async fn with_first() -> Self {
        let fixture = Self::new();
        fixture.accept(1, 0, "first").await;
        fixture
    }

    async fn accept(&self, organisations: usize, expected: u64, author: &str) {
        let outcome = self
            .config
            .apply(&request(organisations, expected, author))
            .await;
        assert_eq!(outcome, accepted(expected + 1));
    }

    async fn load(&self) -> Result<(u64, usize), LoadError> {
        let loaded = self.config.load_latest(&mut ChunkCache::new()).await?;
        let loaded = loaded.expect("a configuration");
        Ok((loaded.root.generation(), loaded.config.organisations.len()))
    }

    async fn chunk_keys(&self) -> Vec<String> {
        let entries = self.memory.list(CHUNK_PREFIX, CallPurpose::Config).await;
        entries
            .expect("list")
            .into_iter()
            .map(|entry| entry.key)
            .collect()
    }
}

fn accepted(generation: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted { generation }
}

fn not_accepted(reason: NotAcceptedReason) -> ApplyOutcome {
    ApplyOutcome::NotAccepted { reason }
}

struct FaultCase {
    name: &'static str,
    kind: CallKind,
    key: &'static str,
    /// Calls that succeed before the fault begins.
    skip: u32,
    times: u32,
    fault: MemoryFault,
    expected: ApplyOutcome,
    /// Generation and number of organisations in the store after the faults.
    after: (u64, usize),
}

/// Generation 1 has one organisation; an apply of two organisations runs under each fault. The
/// reported outcome must match what the store holds afterwards, and may be "unknown" only if the
/// store could not be queried before the time limit of the apply.
fn fault_cases() -> Vec<FaultCase> {
    let down = || not_accepted(NotAcceptedReason::Unavailable(StoreError::Unavailable));
    let base = |name| FaultCase {
        name,
        kind: CallKind::Write,
        key: ROOT_KEY,
        skip: 0,
        times: 1,
        fault: MemoryFault::Down,
        expected: accepted(2),
        after: (2, 2),
    };
    vec![
        FaultCase {
            fault: MemoryFault::LoseResponse,
            ..base("confirmation lost, took effect")
        },
        FaultCase {
            fault: MemoryFault::LoseRequest,
            ..base("confirmation lost, did not take effect: sent again")
        },
        FaultCase {
            fault: MemoryFault::DelayWrite,
            ..base("confirmation lost, takes effect later: sent again, applied once")
        },
        FaultCase {
            fault: MemoryFault::RateLimited,
            times: 3,
            ..base("rate limit exceeded temporarily")
        },
        FaultCase {
            kind: CallKind::Read,
            times: 3,
            ..base("outage before the apply, shorter than the time limit")
        },
        FaultCase {
            kind: CallKind::Read,
            times: ALWAYS,
            expected: down(),
            after: (1, 1),
            ..base("outage before the apply, longer than the time limit")
        },
        FaultCase {
            key: CHUNK_PREFIX,
            times: ALWAYS,
            expected: down(),
            after: (1, 1),
            ..base("outage while the chunks are written")
        },
        FaultCase {
            key: CHUNK_PREFIX,
            times: 2,
            fault: MemoryFault::LoseResponse,
            ..base("confirmation of a chunk lost")
        },
        FaultCase {
            times: ALWAYS,
            expected: down(),
            after: (1, 1),
            ..base("outage before the root is written")
        },
        FaultCase {
            times: ALWAYS,
            fault: MemoryFault::RateLimited,
            expected: not_accepted(NotAcceptedReason::Unavailable(StoreError::RateLimited)),
            after: (1, 1),
            ..base("rate limit exceeded permanently")
        },
        FaultCase {
            times: ALWAYS,
            fault: MemoryFault::LoseRequest,
            expected: ApplyOutcome::Unknown,
            after: (1, 1),
            ..base("each call lost, though the store can be read: may still take effect")
        },
        FaultCase {
            kind: CallKind::Read,
            skip: 1,
            times: ALWAYS,
            ..base("outage of reads after the acceptance")
        },
    ]
}

#[tokio::test(start_paused = true)]
async fn apply_outcome_matches_the_store_under_each_fault() {
    for case in fault_cases() {
        let fixture = Fixture::with_first().await;
        fixture
            .memory
            .script_fault(case.kind, case.key, case.skip, case.times, case.fault);
        let outcome = fixture.config.apply(&request(2, 1, "operator")).await;
        assert_eq!(outcome, case.expected, "{}", case.name);
        fixture.memory.clear_faults();
        fixture.memory.apply_delayed();
        assert_eq!(fixture.load().await, Ok(case.after), "{}", case.name);
    }
}

/// The root is written, its confirmation is lost, and the store becomes unavailable before the root
/// can be read back. The outcome is "unknown". Applying the same request again after the store has
/// recovered finds the first acceptance and does not create a second generation.
#[tokio::test(start_paused = true)]
async fn reapplying_resolves_an_unknown_outcome() {
    let fixture = Fixture::with_first().await;
    let request = request(2, 1, "operator");
    fixture
        .memory
        .script_fault(CallKind::Write, ROOT_KEY, 0, 1, MemoryFault::LoseResponse);
    fixture
        .memory
        .script_fault(CallKind::Write, ROOT_KEY, 0, ALWAYS, MemoryFault::Down);
    fixture
        .memory
        .script_fault(CallKind::Read, ROOT_KEY, 1, ALWAYS, MemoryFault::Down);
    assert_eq!(fixture.config.apply(&request).await, ApplyOutcome::Unknown);
    fixture.memory.clear_faults();
    assert_eq!(fixture.config.apply(&request).await, accepted(2));
    fixture.accept(3, 2, "another").await;
    assert_eq!(fixture.config.apply(&request).await, accepted(2));
    assert_eq!(fixture.load().await, Ok((3, 3)));
}

/// The first operator's write is delayed in the network, so its outcome is unknown. A second
/// operator's file is accepted. When the first write finally arrives, its condition no longer
/// holds: the accepted file stays, and the first operator's retry reports the conflict and the
/// winner.
#[tokio::test(start_paused = true)]
async fn late_write_does_not_undo_an_accepted_file() {
    let fixture = Fixture::with_first().await;
    let slow = request(2, 1, "slow").with_timeout(Duration::from_secs(1));
    fixture.memory.script_fault(
        CallKind::Write,
        ROOT_KEY,
        0,
        ALWAYS,
        MemoryFault::DelayWrite,
    );
    assert_eq!(fixture.config.apply(&slow).await, ApplyOutcome::Unknown);
    fixture.memory.clear_faults();
    fixture.accept(3, 1, "fast").await;
    assert_eq!(fixture.memory.apply_delayed(), 0);
    assert_eq!(fixture.load().await, Ok((2, 3)));
    let conflict = ApplyOutcome::Conflict {
        winner: 2,
        author: "fast".to_owned(),
    };
    assert_eq!(fixture.config.apply(&slow).await, conflict);
}

/// Two operators read generation 1 and apply at once. One is accepted; the other gets a conflict
/// with the winner's name and generation, even if further files were accepted in the meantime.
#[tokio::test(start_paused = true)]
async fn one_of_two_concurrent_applies_is_accepted() {
    let fixture = Fixture::with_first().await;
    let (ann, bob) = (request(2, 1, "ann"), request(3, 1, "bob"));
    let (first, second) = tokio::join!(fixture.config.apply(&ann), fixture.config.apply(&bob));
    let (winner, loser) = match first {
        ApplyOutcome::Accepted { .. } => ("ann", second),
        _ => ("bob", first),
    };
    let conflict = ApplyOutcome::Conflict {
        winner: 2,
        author: winner.to_owned(),
    };
    assert_eq!(loser, conflict);
    fixture.accept(4, 2, "carla").await;
    let late = request(5, 1, "dan");
    assert_eq!(fixture.config.apply(&late).await, conflict);
    let ahead = request(5, 9, "eve");
    let wrong = not_accepted(NotAcceptedReason::WrongGeneration);
    assert_eq!(fixture.config.apply(&ahead).await, wrong);
}

/// The second write fails with a conflict and the store becomes unavailable before the winner can
/// be read: the file was certainly not accepted, but the winner is not known.
#[tokio::test(start_paused = true)]
async fn conflict_without_read_back_is_not_accepted() {
    let fixture = Fixture::with_first().await;
    let slow = request(2, 1, "slow");
    fixture
        .memory
        .script_fault(CallKind::Write, ROOT_KEY, 0, 1, MemoryFault::RateLimited);
    fixture
        .memory
        .script_fault(CallKind::Read, ROOT_KEY, 2, ALWAYS, MemoryFault::Down);
    let fast = request(3, 1, "fast");
    let (slow, fast) = tokio::join!(fixture.config.apply(&slow), fixture.config.apply(&fast));
    assert_eq!(fast, accepted(2));
    assert_eq!(slow, not_accepted(NotAcceptedReason::WrongGeneration));
}

#[tokio::test]
async fn damaged_objects_are_never_loaded() {
    let fixture = Fixture::with_first().await;
    let key = fixture.chunk_keys().await.remove(0);
    let hash = key.strip_prefix(CHUNK_PREFIX).expect("prefix").into();
    let put = |key: &'static str, value| {
        fixture.memory.put(
            key,
            Bytes::from(value),
            PutCondition::Any,
            CallPurpose::Config,
        )
    };
    let key: &'static str = key.leak();
    put(key, "damaged").await.expect("put");
    assert_eq!(
        fixture.load().await,
        Err(LoadError::CorruptChunk(Arc::clone(&hash)))
    );
    fixture
        .memory
        .delete(key, PutCondition::Any, CallPurpose::Config)
        .await
        .expect("delete");
    assert_eq!(fixture.load().await, Err(LoadError::MissingChunk(hash)));
    let repair = request(1, 1, "repair").with_all_chunks();
    assert_eq!(fixture.config.apply(&repair).await, accepted(2));
    assert_eq!(fixture.load().await, Ok((2, 1)));
    put(ROOT_KEY, "{").await.expect("put");
    assert_eq!(fixture.load().await, Err(LoadError::CorruptRoot));
    let corrupt_root = not_accepted(NotAcceptedReason::CorruptRoot);
    assert_eq!(
        fixture.config.apply(&request(2, 2, "operator")).await,
        corrupt_root
    );
}

/// Chunks of replaced configurations are collected after some generations, but never a chunk that
/// the newest configuration, a reader of a recent one, or an apply in progress needs.
#[tokio::test(start_paused = true)]
async fn collection_keeps_chunks_that_may_be_needed() {
    let fixture = Fixture::with_first().await;
    for generation in 1..=9 {
        assert_eq!(fixture.config.collect_chunks(100).await, Ok(0));
        fixture
            .accept(1 + generation, generation as u64, "operator")
            .await;
    }
    assert_eq!(fixture.config.collect_chunks(100).await, Ok(1));
    let recent = fixture.chunk_keys().await;
    assert_eq!(recent.len(), 9);
    // An apply that has written its chunks and is stopped before it writes its root.
    fixture
        .memory
        .script_fault(CallKind::Write, ROOT_KEY, 0, 1, MemoryFault::DelayWrite);
    let stopped = request(1, 10, "stopped").with_timeout(Duration::ZERO);
    assert_eq!(fixture.config.apply(&stopped).await, ApplyOutcome::Unknown);
    assert_eq!(fixture.config.collect_chunks(100).await, Ok(0));
    assert_eq!(fixture.memory.apply_delayed(), 1);
    assert_eq!(fixture.load().await, Ok((11, 1)));
    assert_eq!(fixture.config.collect_chunks(100).await, Ok(1));
    assert_eq!(fixture.load().await, Ok((11, 1)));
}

/// 25,000 organisations are many megabytes: every value stays far below the store's limit, an edit
/// of one organisation writes few chunks, and a process that has the old chunks reads few.
#[tokio::test(start_paused = true)]
async fn large_configuration_changes_in_few_chunks() {
    let fixture = Fixture::new();
    fixture.accept(25_000, 0, "first").await;
    let mut cache = ChunkCache::new();
    let loaded = fixture
        .config
        .load_latest(&mut cache)
        .await
        .expect("load")
        .expect("root");
    assert_eq!(loaded.config, fleet(25_000));
    assert!(loaded.bytes.len() > 4 * MAX_VALUE_BYTES);
    let entries = fixture
        .memory
        .list("config/", CallPurpose::Config)
        .await
        .expect("list");
    assert!(entries.iter().all(|entry| entry.size < 256 << 10));

    let mut edited = fleet(25_000);
    edited.organisations[12_345].weight = 77;
    edited.organisations.remove(20_000);
    let before = fixture.memory.counts();
    let edit = ApplyRequest::new(bytes_of(&edited), 1, "editor", "edit".to_owned());
    assert_eq!(fixture.config.apply(&edit).await, accepted(2));
    let written = fixture.memory.counts().writes - before.writes;
    assert!(written <= 8, "an edit wrote {written} objects");
    let reads = fixture.memory.counts().reads;
    let reloaded = fixture
        .config
        .load_latest(&mut cache)
        .await
        .expect("load")
        .expect("root");
    assert_eq!(reloaded.config, edited);
    let reads = fixture.memory.counts().reads - reads;
    assert!(reads <= 8, "a reload read {reads} objects");
    assert_eq!(cache.len(), reloaded.root.chunks.len());
}

#[test]
fn chunks_depend_only_on_the_bytes_and_join_to_them() {
    for organisations in [0, 1, 100, 3_000] {
        let bytes = bytes_of(&fleet(organisations));
        let chunks = split_chunks(&bytes);
        let joined: Vec<u8> = chunks
            .iter()
            .flat_map(|chunk| chunk.bytes.to_vec())
            .collect();
        assert_eq!(joined, bytes);
        assert_eq!(split_chunks(&Bytes::from(joined)), chunks);
        let hashes: HashSet<_> = chunks.iter().map(|chunk| &chunk.hash).collect();
        assert_eq!(hashes.len(), chunks.len());
    }
}
