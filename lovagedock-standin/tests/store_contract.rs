//! What every object store has to keep, as a table of cases that runs against each adapter: the
//! store in memory, and the HTTP client with the stand-in platform on loopback.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use lovagedock_platform::{
    CallKind, CallPurpose, HttpObjectStore, MAX_VALUE_BYTES, MemoryFault, MemoryStore, ObjectStore,
    ObjectVersion, PutCondition, StoreError, StoreTimeouts,
};
use lovagedock_standin::{
    FaultCommand, FaultKind, PlatformOptions, PlatformStandin, RunningPlatform,
};

const KEY: &str = "contract/object";
/// Long enough for an ordinary call on a busy machine.
const SLOW_CALL: Duration = Duration::from_secs(1);
/// Longer than any test: held calls go on when the test releases them.
const SLOW_DELAY_MS: u64 = 3_600_000;
const LONG_WAIT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy)]
enum Fault {
    None,
    Down,
    Slow,
    LoseConfirmations,
}

#[derive(Clone, Copy)]
enum When {
    Any,
    Absent,
    /// The version that the last successful put returned.
    Last,
    /// The version that the put before the last returned.
    Stale,
}

#[derive(Clone, Copy, Debug)]
enum Want {
    Done,
    Conflict,
    Unknown,
    /// Not carried out, or not known to be; never a success.
    NoSuccess,
    TooLarge,
    Malformed,
}

enum Step {
    Fault(Fault),
    Put(&'static str, When, Want),
    PutSized(usize, Want),
    Delete(When, Want),
    /// Reads the object: its value, or `None`.
    Read(Option<&'static str>),
    ReadFails,
    /// Lets the writes that were held back reach the store.
    ReleaseLate,
    /// Waits until the object changes after the last version seen.
    AwaitChange,
    BadKey(&'static str),
}

struct ContractCase {
    name: &'static str,
    steps: &'static [Step],
}

use Step::{AwaitChange, BadKey, Delete, Put, PutSized, Read, ReadFails, ReleaseLate};
use Want::{Conflict, Done, Malformed, NoSuccess, TooLarge, Unknown};
use When::{Absent, Any, Last, Stale};

const CASES: &[ContractCase] = &[
    ContractCase {
        name: "conditional create happens once",
        steps: &[
            Read(None),
            Put("a", Absent, Done),
            Put("b", Absent, Conflict),
            Read(Some("a")),
        ],
    },
    ContractCase {
        name: "a stale version is refused, the present one accepted",
        steps: &[
            Put("a", Any, Done),
            Put("b", Any, Done),
            Put("c", Stale, Conflict),
            Put("c", Last, Done),
            Read(Some("c")),
        ],
    },
    ContractCase {
        name: "a deleted object can be created again, and its old version is dead",
        steps: &[
            Put("a", Any, Done),
            Delete(Last, Done),
            Read(None),
            Delete(Any, Done),
            Delete(Last, Conflict),
            Put("b", Last, Conflict),
            Put("b", Absent, Done),
            Delete(Stale, Conflict),
            Read(Some("b")),
        ],
    },
    ContractCase {
        // The writer is told nothing, yet the value is there; a repeat under the same condition
        // meets its own write.
        name: "a lost confirmation is unknown and can be read back",
        steps: &[
            Put("a", Any, Done),
            Step::Fault(Fault::LoseConfirmations),
            Put("b", Last, Unknown),
            Step::Fault(Fault::None),
            Read(Some("b")),
            Put("c", Last, Conflict),
        ],
    },
    ContractCase {
        name: "a store that is down carries nothing out and fails reads",
        steps: &[
            Put("a", Any, Done),
            Step::Fault(Fault::Down),
            Put("b", Last, NoSuccess),
            Delete(Last, NoSuccess),
            ReadFails,
            Step::Fault(Fault::None),
            Read(Some("a")),
            Put("b", Last, Done),
        ],
    },
    ContractCase {
        // The writer's time passes first and the write takes effect afterwards. Called
        // unavailable, the writer would take it for not written.
        name: "a write that times out is unknown and takes effect later",
        steps: &[
            Put("a", Any, Done),
            Step::Fault(Fault::Slow),
            Put("b", Last, Unknown),
            Step::Fault(Fault::None),
            Read(Some("a")),
            ReleaseLate,
            AwaitChange,
            Read(Some("b")),
        ],
    },
    ContractCase {
        // The slow write is still under way when another write moves the version.
        name: "a late write whose condition has passed has no effect",
        steps: &[
            Put("a", Any, Done),
            Step::Fault(Fault::Slow),
            Put("late", Last, Unknown),
            Step::Fault(Fault::None),
            Put("b", Last, Done),
            ReleaseLate,
            Read(Some("b")),
            Put("c", Last, Done),
        ],
    },
    ContractCase {
        name: "a value of one megabyte fits and one more byte does not",
        steps: &[
            PutSized(MAX_VALUE_BYTES, Done),
            PutSized(MAX_VALUE_BYTES + 1, TooLarge),
        ],
    },
    ContractCase {
        name: "keys outside the alphabet are refused",
        steps: &[
            BadKey(""),
            BadKey("/a"),
            BadKey("a/"),
            BadKey("a b"),
            BadKey("a?b"),
            BadKey("a%2fb"),
        ],
    },
];

enum Rig {
    Memory(Arc<MemoryStore>),
    Http(RunningPlatform, Box<HttpObjectStore>),
}

impl Rig {
    fn memory() -> Self {
        Self::Memory(Arc::new(MemoryStore::new()))
    }

    async fn http(options: PlatformOptions, call: Duration) -> Self {
        let running = PlatformStandin::start(options).await.expect("loopback");
        let timeouts = StoreTimeouts {
            call,
            ..StoreTimeouts::default()
        };
        let store = HttpObjectStore::with_timeouts(&running.url(), timeouts);
        Self::Http(running, Box::new(store))
    }

    fn store(&self) -> &dyn ObjectStore {
        match self {
            Self::Memory(store) => &**store,
            Self::Http(_, store) => &**store,
        }
    }

    fn set_fault(&self, fault: Fault) {
        match self {
            Self::Memory(store) => set_memory_fault(store, fault),
            Self::Http(running, _) => running.set_fault(FaultCommand {
                delay_ms: SLOW_DELAY_MS,
                ..FaultCommand::new(match fault {
                    Fault::None => FaultKind::None,
                    Fault::Down => FaultKind::Down,
                    Fault::Slow => FaultKind::Slow,
                    Fault::LoseConfirmations => FaultKind::LoseConfirmations,
                })
            }),
        }
    }

    /// Lets the writes that were held back reach the store, and waits until they have.
    async fn apply_delayed(&self) {
        match self {
            Self::Memory(store) => {
                store.apply_delayed();
            }
            Self::Http(running, _) => {
                running.release_delayed();
                while running.counters().delayed_calls > 0 {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
        }
    }
}

fn set_memory_fault(store: &MemoryStore, fault: Fault) {
    store.clear_faults();
    let script = |kind, fault| store.script_fault(kind, "", 0, u32::MAX, fault);
    match fault {
        Fault::None => {}
        Fault::Down => {
            script(CallKind::Read, MemoryFault::Down);
            script(CallKind::Write, MemoryFault::Down);
        }
        Fault::Slow => script(CallKind::Write, MemoryFault::DelayWrite),
        Fault::LoseConfirmations => script(CallKind::Write, MemoryFault::LoseResponse),
    }
}

struct CaseRun<'a> {
    case: &'a ContractCase,
    rig: &'a Rig,
    versions: Vec<ObjectVersion>,
}

impl CaseRun<'_> {
    async fn run(&mut self) {
        for (at, step) in self.case.steps.iter().enumerate() {
            let place = format!("{}, step {at}", self.case.name);
            self.step(step, &place).await;
        }
    }

    async fn step(&mut self, step: &Step, place: &str) {
        let store = self.rig.store();
        match step {
            Step::Fault(fault) => self.rig.set_fault(*fault),
            Put(value, when, want) => {
                let condition = self.condition(*when);
                let put = store.put(KEY, Bytes::from(*value), condition, CallPurpose::Status);
                let result = put.await;
                self.note(&result);
                check(&result.map(|_| ()), *want, place);
            }
            PutSized(size, want) => {
                let value = Bytes::from(vec![7; *size]);
                let put = store.put(KEY, value, PutCondition::Any, CallPurpose::Status);
                check(&put.await.map(|_| ()), *want, place);
            }
            Delete(when, want) => {
                let delete = store.delete(KEY, self.condition(*when), CallPurpose::Status);
                check(&delete.await, *want, place);
            }
            Read(want) => {
                let object = store.get(KEY, CallPurpose::Status).await.expect(place);
                let value = object.as_ref().map(|object| object.value.clone());
                assert_eq!(value, want.map(Bytes::from), "{place}");
                let listed = store.list("contract/", CallPurpose::Status).await;
                assert_eq!(listed.expect(place).len(), want.iter().len(), "{place}");
            }
            ReadFails => {
                let result = store.get(KEY, CallPurpose::Status).await;
                assert_eq!(result, Err(StoreError::Unavailable), "{place}");
            }
            ReleaseLate => self.rig.apply_delayed().await,
            AwaitChange => {
                let after = self.versions.last().copied().unwrap_or_default();
                await_change(store, after, place).await;
            }
            BadKey(key) => {
                let put = store.put(key, Bytes::new(), PutCondition::Any, CallPurpose::Status);
                check(&put.await.map(|_| ()), Malformed, place);
                let delete = store.delete(key, PutCondition::Any, CallPurpose::Status);
                check(&delete.await, Malformed, place);
                let read = store.get(key, CallPurpose::Status).await;
                assert_eq!(read, Err(StoreError::Malformed), "{place}");
            }
        }
    }

    fn note(&mut self, result: &Result<ObjectVersion, StoreError>) {
        let Ok(version) = *result else { return };
        let last = self.versions.last().copied().unwrap_or_default();
        assert!(version > last, "versions of {} do not grow", self.case.name);
        self.versions.push(version);
    }

    fn condition(&self, when: When) -> PutCondition {
        let from_end = |n: usize| PutCondition::Version(self.versions[self.versions.len() - n]);
        match when {
            Any => PutCondition::Any,
            Absent => PutCondition::Absent,
            Last => from_end(1),
            Stale => from_end(2),
        }
    }
}

fn check(result: &Result<(), StoreError>, want: Want, place: &str) {
    let as_wanted = match want {
        Done => result.is_ok(),
        Conflict => matches!(result, Err(StoreError::Conflict { .. })),
        Unknown => *result == Err(StoreError::OutcomeUnknown),
        NoSuccess => matches!(
            result,
            Err(StoreError::Unavailable | StoreError::OutcomeUnknown)
        ),
        TooLarge => *result == Err(StoreError::TooLarge),
        Malformed => *result == Err(StoreError::Malformed),
    };
    assert!(as_wanted, "{place}: wanted {want:?}, got {result:?}");
}

async fn await_change(store: &dyn ObjectStore, after: u64, place: &str) {
    let watch = store.watch("contract/", after, LONG_WAIT, CallPurpose::Status);
    let batch = watch.await.expect(place);
    assert_eq!(batch.keys, [KEY], "{place}");
    assert!(batch.revision > after, "{place}");
}

#[tokio::test]
async fn memory_store_keeps_the_contract() {
    for case in CASES {
        let rig = Rig::memory();
        let versions = Vec::new();
        CaseRun {
            case,
            rig: &rig,
            versions,
        }
        .run()
        .await;
    }
}

#[tokio::test]
async fn http_store_keeps_the_contract() {
    for case in CASES {
        let slow = case
            .steps
            .iter()
            .any(|step| matches!(step, Step::Fault(Fault::Slow)));
        let call = if slow { SLOW_CALL } else { LONG_WAIT };
        let rig = Rig::http(PlatformOptions::default(), call).await;
        let versions = Vec::new();
        CaseRun {
            case,
            rig: &rig,
            versions,
        }
        .run()
        .await;
    }
}

/// Sixteen writers read the same version and write at once: one is accepted, and each other is
/// told the winner's version, because the store compares and writes in one step.
#[tokio::test]
async fn one_of_many_racing_writers_wins() {
    for rig in [
        Rig::memory(),
        Rig::http(PlatformOptions::default(), LONG_WAIT).await,
    ] {
        let store = rig.store();
        let put = store.put(KEY, Bytes::new(), PutCondition::Absent, CallPurpose::Lease);
        let condition = PutCondition::Version(put.await.expect("first"));
        let writes = (0..16).map(|n| {
            let value = Bytes::from(format!("writer {n}"));
            store.put(KEY, value, condition, CallPurpose::Lease)
        });
        let results = futures::future::join_all(writes).await;
        let winners: Vec<_> = results
            .iter()
            .filter_map(|result| result.as_ref().ok())
            .collect();
        assert_eq!(winners.len(), 1);
        let current = Some(*winners[0]);
        let losers = results.iter().filter(|result| result.is_err());
        for loser in losers {
            assert_eq!(*loser, Err(StoreError::Conflict { current }));
        }
    }
}

/// A watcher that waits is woken by a write under its prefix and not by one beside it; a change
/// that came before the watch is told at once, deletes included.
#[tokio::test]
async fn watch_tells_changes_under_its_prefix() {
    for rig in [
        Rig::memory(),
        Rig::http(PlatformOptions::default(), LONG_WAIT).await,
    ] {
        let store = rig.store();
        let put = |key| store.put(key, Bytes::new(), PutCondition::Any, CallPurpose::Config);
        let quiet = store.watch("watched/", 0, Duration::ZERO, CallPurpose::Config);
        assert_eq!(quiet.await.expect("quiet").keys, [""; 0]);
        let waiting = store.watch("watched/", 0, LONG_WAIT, CallPurpose::Config);
        let writes = async {
            put("beside").await.expect("beside");
            put("watched/a").await.expect("watched")
        };
        let (batch, version) = tokio::join!(waiting, writes);
        assert_eq!(batch.expect("batch").keys, ["watched/a"]);
        let delete = store.delete("watched/a", PutCondition::Any, CallPurpose::Config);
        delete.await.expect("delete");
        let batch = store
            .watch("watched/", version, LONG_WAIT, CallPurpose::Config)
            .await;
        assert_eq!(batch.expect("batch").keys, ["watched/a"]);
    }
}

/// A host that refuses connections cannot have got the write: this is the one failure without an
/// answer that a writer may take for "not written".
#[tokio::test]
async fn refused_connection_is_unavailable_for_writes_too() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let store = HttpObjectStore::new(&format!("http://{address}"));
    let put = store.put(KEY, Bytes::new(), PutCondition::Any, CallPurpose::Claim);
    assert_eq!(put.await, Err(StoreError::Unavailable));
}
