//! Claims of keyed requests: size of a partition's object and processor time of its writes.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{
    ClaimAction, ClaimEvent, ClaimLimits, ClaimPartition, ClaimRequest, KeyHash, ObjectVersion,
    ReadOutcome, Timestamp, WriteOutcome, prelude::*,
};

use crate::{
    meter::{cpu_micros, heap_of},
    slope::SlopeSeries,
};

const REPEATS: usize = 3;
const KEYS: [usize; 4] = [250, 1_000, 2_000, 4_000];
const ANSWER_BYTES: usize = 64;
const DEADLINE: Duration = Duration::from_secs(60);

/// What claims cost.
pub(crate) struct ClaimSlopes {
    /// Object of a partition with recorded answers of 64 bytes, over keys.
    pub(crate) object_bytes: SlopeSeries,
    /// Processor time of a write that carries one more claim, over keys.
    pub(crate) write_cpu: SlopeSeries,
    /// Heap of a partition, over keys.
    pub(crate) heap: SlopeSeries,
}

impl ClaimSlopes {
    /// Measures all of them.
    pub(crate) fn measure() -> Self {
        let of = |name, unit| SlopeSeries::new(name, "keys of a partition", unit);
        Self {
            object_bytes: of("object with answers of 64 B", "B").with_points(&KEYS, 1, |keys| {
                ClaimBench::recorded(keys).object.len() as f64
            }),
            write_cpu: of("processor time to claim and to record one more", "µs")
                .with_points(&KEYS, REPEATS, write_cpu),
            heap: of("heap of a partition", "B").with_points(&KEYS, REPEATS, |keys| {
                heap_of(|| ClaimBench::recorded(keys)).0
            }),
        }
    }

    /// All series, for the table.
    pub(crate) fn series(&self) -> Vec<&SlopeSeries> {
        vec![&self.object_bytes, &self.write_cpu, &self.heap]
    }
}

/// A partition whose store answers at once.
struct ClaimBench {
    partition: ClaimPartition,
    object: Bytes,
    version: ObjectVersion,
    now: Timestamp,
    granted: usize,
    recorded: usize,
}

impl ClaimBench {
    fn new() -> Self {
        Self {
            partition: ClaimPartition::new(0, 7, ClaimLimits::default()),
            object: Bytes::new(),
            version: 0,
            now: Timestamp::ZERO,
            granted: 0,
            recorded: 0,
        }
    }

    /// A partition with this many claims and their answers.
    fn recorded(keys: usize) -> Self {
        let mut bench = Self::new();
        for number in 0..keys {
            bench.claim(number);
            bench.record(number);
        }
        assert_eq!((bench.granted, bench.recorded), (keys, keys));
        bench
    }

    fn claim(&mut self, number: usize) {
        let key = key_hash(number);
        let claim = ClaimRequest {
            key,
            request: number as RequestId,
            body: key,
            deadline: self.now + DEADLINE,
        };
        self.handle(ClaimEvent::Claim(claim));
    }

    fn record(&mut self, number: usize) {
        self.handle(ClaimEvent::Record {
            key: key_hash(number),
            request: number as RequestId,
            answer: Bytes::from(vec![7; ANSWER_BYTES]),
            deadline: self.now + DEADLINE,
        });
    }

    fn handle(&mut self, event: ClaimEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.partition.handle(self.now, event) {
                events.extend(self.answer(action));
            }
        }
    }

    fn answer(&mut self, action: ClaimAction) -> Option<ClaimEvent> {
        match action {
            ClaimAction::Read { object } => {
                let outcome = match self.version {
                    0 => ReadOutcome::Absent,
                    version => ReadOutcome::Found {
                        version,
                        bytes: self.object.clone(),
                    },
                };
                Some(ClaimEvent::StoreRead { object, outcome })
            }
            ClaimAction::Write { bytes, nonce, .. } => {
                self.object = bytes;
                self.version += 1;
                let outcome = WriteOutcome::Applied(self.version);
                Some(ClaimEvent::StoreAnswered { nonce, outcome })
            }
            ClaimAction::Grant { .. } => {
                self.granted += 1;
                None
            }
            ClaimAction::Recorded { .. } => {
                self.recorded += 1;
                None
            }
            _ => None,
        }
    }
}

fn key_hash(number: usize) -> KeyHash {
    let mut hash = KeyHash::default();
    let spread = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash[..8].copy_from_slice(&spread.to_be_bytes());
    hash[8..].copy_from_slice(&(number as u64).to_be_bytes());
    hash
}

fn write_cpu(keys: usize) -> f64 {
    let mut bench = ClaimBench::recorded(keys);
    let rounds = 50;
    cpu_micros(rounds, || {
        for number in keys..keys + rounds {
            bench.claim(number);
            bench.record(number);
        }
    })
}
