//! Simulation of many processes that adopt configurations over a lossy network, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use bytes::Bytes;
use lovagedock::{
    AdoptionEvent, AdoptionState, ChunkHash, ConfigBundle, ConfigManifest, Generation, ProcessId,
    RelayMember, RelayPlan, Timestamp,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod lifecycle;
mod setup;
mod store;
mod traffic;

pub(crate) use setup::RelaySetup;
use setup::{chunk_text, members};

const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const WATCH_TIME: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_secs(1);
const CONTROL_BYTES: usize = 64;

/// Counters of one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProcessTally {
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
    pub(crate) store_reads: usize,
    pub(crate) adopted_at: BTreeMap<Generation, Timestamp>,
    pub(crate) hops: usize,
}

enum Step {
    Event(usize, u32, AdoptionEvent, usize),
    Push(usize, u32, usize, ConfigBundle, usize),
    Pull(usize, u32, usize, Generation),
    Root(usize, u32),
    Watch(usize, u32, Generation, Timestamp),
    Chunk(usize, u32, ChunkHash),
    Heartbeat(usize),
    Tick(usize, u32),
}

struct Process {
    member: RelayMember,
    region: usize,
    state: AdoptionState,
    incarnation: u32,
    alive: bool,
    watching: bool,
    parents: Vec<usize>,
}

/// All processes, the store and the network.
pub(crate) struct RelaySimulation {
    pub(crate) setup: RelaySetup,
    pub(crate) now: Timestamp,
    pub(crate) tallies: Vec<ProcessTally>,
    pub(crate) violations: Vec<String>,
    pub(crate) cut_regions: BTreeSet<usize>,
    pub(crate) store_up: bool,
    pub(crate) plan: RelayPlan,
    rng: ChaCha8Rng,
    count: u64,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    steps: BTreeMap<u64, Step>,
    processes: Vec<Process>,
    index: BTreeMap<ProcessId, usize>,
    accepted: ConfigManifest,
    texts: Vec<Bytes>,
    chunks: BTreeMap<ChunkHash, Bytes>,
    digests: BTreeMap<Generation, [u8; 32]>,
}

impl RelaySimulation {
    /// Starts all processes before any configuration is accepted.
    pub(crate) fn new(setup: RelaySetup) -> Self {
        let members = members(&setup);
        let plan = RelayPlan::new(&members, &setup.relay);
        let index: BTreeMap<ProcessId, usize> = members
            .iter()
            .enumerate()
            .map(|(index, member)| (member.process.clone(), index))
            .collect();
        let texts = (0..setup.chunks)
            .map(|chunk| chunk_text(0, chunk, setup.chunk_bytes))
            .collect();
        let mut simulation = Self {
            now: Duration::from_secs(10),
            tallies: vec![ProcessTally::default(); members.len()],
            violations: Vec::new(),
            cut_regions: BTreeSet::new(),
            store_up: true,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            count: 0,
            queue: BinaryHeap::new(),
            steps: BTreeMap::new(),
            processes: Vec::new(),
            accepted: ConfigManifest::new(0, &[]),
            chunks: BTreeMap::new(),
            digests: BTreeMap::new(),
            plan,
            index,
            texts,
            setup,
        };
        for (position, member) in members.into_iter().enumerate() {
            simulation.add(position, member);
        }
        simulation.link_leaves();
        simulation.accept();
        for position in 0..simulation.processes.len() {
            simulation.start(position);
        }
        simulation
    }

    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    pub(crate) fn is_alive(&self, position: usize) -> bool {
        self.processes[position].alive
    }

    pub(crate) fn name(&self, position: usize) -> ProcessId {
        self.processes[position].member.process.clone()
    }

    pub(crate) fn position(&self, name: &str) -> usize {
        self.index[name]
    }

    /// Names of the processes that watch the store.
    pub(crate) fn watcher_names(&self) -> Vec<ProcessId> {
        self.plan.watchers().to_vec()
    }

    pub(crate) fn region_of(&self, position: usize) -> usize {
        self.processes[position].region
    }

    pub(crate) fn generation(&self, position: usize) -> Generation {
        self.processes[position].state.generation()
    }

    pub(crate) fn accepted(&self) -> Generation {
        self.accepted.generation
    }

    /// Resets the counters.
    pub(crate) fn reset_tallies(&mut self) {
        for tally in &mut self.tallies {
            let adopted_at = std::mem::take(&mut tally.adopted_at);
            *tally = ProcessTally {
                adopted_at,
                ..ProcessTally::default()
            };
        }
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let step = self.steps.remove(&id).expect("step is queued once");
            self.step(step);
        }
        self.now = end;
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Event(to, incarnation, event, hops) => {
                if self.is_current(to, incarnation) {
                    self.deliver(to, event, hops);
                }
            }
            Step::Push(from, incarnation, to, bundle, hops) => {
                self.receive_push(from, incarnation, to, bundle, hops)
            }
            Step::Pull(from, incarnation, to, above) => {
                self.receive_pull(from, incarnation, to, above)
            }
            Step::Root(position, incarnation) => {
                let event = AdoptionEvent::RootRead(self.root_of(position));
                self.push(self.now, Step::Event(position, incarnation, event, 0));
            }
            Step::Watch(position, incarnation, above, since) => {
                self.watch(position, incarnation, above, since)
            }
            Step::Chunk(position, incarnation, hash) => {
                let bytes = self.chunks.get(&hash).cloned();
                let bytes = bytes.filter(|_| self.reaches_store(position));
                let event = AdoptionEvent::ChunkRead { hash, bytes };
                self.push(self.now, Step::Event(position, incarnation, event, 0));
            }
            Step::Heartbeat(position) => self.heartbeat(position),
            Step::Tick(position, incarnation) => {
                if self.is_current(position, incarnation) {
                    let hops = self.tallies[position].hops;
                    self.deliver(position, AdoptionEvent::Tick, hops);
                }
            }
        }
    }

    fn is_current(&self, position: usize, incarnation: u32) -> bool {
        self.processes[position].alive && self.processes[position].incarnation == incarnation
    }

    fn deliver(&mut self, position: usize, event: AdoptionEvent, hops: usize) {
        let before = self.processes[position].state.generation();
        let actions = self.processes[position].state.handle(self.now, event);
        let after = self.processes[position].state.generation();
        if after < before {
            let text = format!("process {position} went back from {before} to {after}");
            self.violations.push(text);
        }
        if after != before {
            self.tallies[position].hops = hops;
        }
        for action in actions {
            self.act(position, action);
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn push(&mut self, at: Timestamp, step: Step) {
        self.count += 1;
        self.queue.push(Reverse((at.max(self.now), self.count)));
        self.steps.insert(self.count, step);
    }
}
