//! Many processes that adopt configurations over a lossy network, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use lovagedock::{
    AdoptionAction, AdoptionEvent, AdoptionLimits, AdoptionState, ChunkHash, ConfigBundle,
    ConfigManifest, DurableSafeguards, Generation, ProcessId, RelayKind, RelayLimits, RelayMember,
    RelayPlan, RootOutcome, Timestamp, chunk_hash,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CALL_TIMEOUT: Duration = Duration::from_millis(400);
const WATCH_TIME: Duration = Duration::from_secs(20);
const HEARTBEAT: Duration = Duration::from_secs(1);
const CONTROL_BYTES: usize = 64;

/// Size and faults of a world.
#[derive(Clone, Debug)]
pub(crate) struct RelaySetup {
    pub(crate) seed: u64,
    pub(crate) regions: usize,
    pub(crate) domains: usize,
    pub(crate) relays: usize,
    pub(crate) leaves: usize,
    pub(crate) chunks: usize,
    pub(crate) chunk_bytes: usize,
    /// Share of messages that get lost, in percent.
    pub(crate) loss: u32,
    /// Share of bundles that arrive damaged, in percent.
    pub(crate) damage: u32,
    pub(crate) relay: RelayLimits,
    pub(crate) limits: AdoptionLimits,
    pub(crate) safeguards: DurableSafeguards,
}

impl Default for RelaySetup {
    fn default() -> Self {
        Self {
            seed: 1,
            regions: 1,
            domains: 3,
            relays: 4,
            leaves: 24,
            chunks: 16,
            chunk_bytes: 256,
            loss: 0,
            damage: 0,
            relay: RelayLimits::default(),
            limits: AdoptionLimits::default(),
            safeguards: DurableSafeguards::default(),
        }
    }
}

/// What one process saw and sent.
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
    life: u32,
    alive: bool,
    watching: bool,
    feeders: Vec<usize>,
}

/// All processes, the store and the network.
pub(crate) struct RelayWorld {
    pub(crate) setup: RelaySetup,
    pub(crate) now: Timestamp,
    pub(crate) tallies: Vec<ProcessTally>,
    pub(crate) violations: Vec<String>,
    pub(crate) cut: BTreeSet<usize>,
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

impl RelayWorld {
    /// Starts all processes; nothing is accepted yet.
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
        let mut world = Self {
            now: Duration::from_secs(10),
            tallies: vec![ProcessTally::default(); members.len()],
            violations: Vec::new(),
            cut: BTreeSet::new(),
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
            world.add(position, member);
        }
        world.link_leaves();
        world.accept();
        for position in 0..world.processes.len() {
            world.start(position);
        }
        world
    }

    pub(crate) fn len(&self) -> usize {
        self.processes.len()
    }

    pub(crate) fn is_alive(&self, position: usize) -> bool {
        self.processes[position].alive
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

    /// The store accepts a change of one chunk; watchers learn of it.
    pub(crate) fn accept(&mut self) -> Generation {
        let generation = self.accepted.generation + 1;
        let chunk = self.rng.random_range(0..self.texts.len());
        self.texts[chunk] = chunk_text(generation, chunk, self.setup.chunk_bytes);
        self.accepted = ConfigManifest::new(generation, &self.texts);
        for text in &self.texts {
            self.chunks.insert(chunk_hash(text), text.clone());
        }
        self.digests.insert(generation, self.accepted.digest());
        for position in 0..self.processes.len() {
            if std::mem::take(&mut self.processes[position].watching) {
                let life = self.processes[position].life;
                let at = self.now + self.store_latency();
                self.push(at, Step::Root(position, life));
            }
        }
        generation
    }

    /// Ends a process.
    pub(crate) fn kill(&mut self, position: usize) {
        self.processes[position].alive = false;
        self.processes[position].life += 1;
        self.processes[position].watching = false;
    }

    /// Starts a process anew, with nothing in force.
    pub(crate) fn restart(&mut self, position: usize) {
        self.kill(position);
        let seed = self.rng.random();
        let process = &mut self.processes[position];
        process.alive = true;
        process.state = AdoptionState::new(self.setup.limits.clone(), seed)
            .with_safeguards(self.setup.safeguards);
        self.tallies[position].adopted_at.clear();
        self.start(position);
    }

    /// Forgets what was counted.
    pub(crate) fn reset_tallies(&mut self) {
        for tally in &mut self.tallies {
            let adopted_at = std::mem::take(&mut tally.adopted_at);
            *tally = ProcessTally {
                adopted_at,
                ..ProcessTally::default()
            };
        }
    }

    /// Lets time pass.
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

    fn add(&mut self, position: usize, member: RelayMember) {
        let state =
            AdoptionState::new(self.setup.limits.clone(), self.setup.seed + position as u64)
                .with_safeguards(self.setup.safeguards);
        self.processes.push(Process {
            region: member.region.parse().expect("regions are numbers"),
            member,
            state,
            life: 0,
            alive: true,
            watching: false,
            feeders: Vec::new(),
        });
    }

    fn link_leaves(&mut self) {
        for position in 0..self.processes.len() {
            let role = self.plan.role_of(&self.processes[position].member.process);
            for fed in role.children.iter().chain(&role.offers) {
                let fed = self.index[fed];
                if self.processes[fed].member.kind == RelayKind::Leaf {
                    self.processes[fed].feeders.push(position);
                }
            }
        }
        for position in 0..self.processes.len() {
            if !self.processes[position].feeders.is_empty() {
                let at = self.now + self.millis(0..1_000);
                self.push(at, Step::Heartbeat(position));
            }
        }
    }

    fn start(&mut self, position: usize) {
        let role = self.plan.role_of(&self.processes[position].member.process);
        self.deliver(position, AdoptionEvent::Role(role), 0);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Event(to, life, event, hops) => {
                if self.lives(to, life) {
                    self.deliver(to, event, hops);
                }
            }
            Step::Push(from, life, to, bundle, hops) => self.arrive(from, life, to, bundle, hops),
            Step::Pull(from, life, to, above) => self.pulled(from, life, to, above),
            Step::Root(position, life) => {
                let event = AdoptionEvent::RootRead(self.root_of(position));
                self.push(self.now, Step::Event(position, life, event, 0));
            }
            Step::Watch(position, life, above, since) => self.watch(position, life, above, since),
            Step::Chunk(position, life, hash) => {
                let bytes = self.chunks.get(&hash).cloned();
                let bytes = bytes.filter(|_| self.reaches_store(position));
                let event = AdoptionEvent::ChunkRead { hash, bytes };
                self.push(self.now, Step::Event(position, life, event, 0));
            }
            Step::Heartbeat(position) => self.heartbeat(position),
            Step::Tick(position, life) => {
                if self.lives(position, life) {
                    let hops = self.tallies[position].hops;
                    self.deliver(position, AdoptionEvent::Tick, hops);
                }
            }
        }
    }

    fn lives(&self, position: usize, life: u32) -> bool {
        self.processes[position].alive && self.processes[position].life == life
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

    fn act(&mut self, from: usize, action: AdoptionAction) {
        let life = self.processes[from].life;
        match action {
            AdoptionAction::Adopt {
                generation, digest, ..
            } => {
                let text = self.processes[from].state.text().expect("has a text");
                let accepted: Vec<u8> = self.text_of(from);
                if self.digests.get(&generation) != Some(&digest) || text != accepted {
                    let text = format!("process {from} adopted what nobody accepted");
                    self.violations.push(text);
                }
                self.tallies[from].adopted_at.insert(generation, self.now);
            }
            AdoptionAction::WakeAt(at) => self.push(at, Step::Tick(from, life)),
            AdoptionAction::Rejected { .. } => {}
            AdoptionAction::ReadRoot => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Root(from, life));
            }
            AdoptionAction::WatchRoot { above } => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Watch(from, life, above, self.now));
            }
            AdoptionAction::ReadChunk { hash } => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Chunk(from, life, hash));
            }
            AdoptionAction::Push { to, bundle } => self.send_push(from, &to, bundle),
            AdoptionAction::Offer { to, generation } => {
                let event = AdoptionEvent::Told {
                    from: self.processes[from].member.process.clone(),
                    generation,
                };
                self.send(from, &to, CONTROL_BYTES, |to, life| {
                    Step::Event(to, life, event, 0)
                });
            }
            AdoptionAction::Pull { from: peer, above } => self.send_pull(from, &peer, above),
        }
    }

    /// The text as the accepted chunks of the manifest in force make it.
    fn text_of(&self, position: usize) -> Vec<u8> {
        let manifest = self.processes[position].state.manifest().expect("has one");
        let chunks = manifest.chunks.iter();
        let chunks = chunks.map(|hash| self.chunks.get(hash).cloned().unwrap_or_default());
        chunks.collect::<Vec<Bytes>>().concat()
    }

    fn send(
        &mut self,
        from: usize,
        to: &ProcessId,
        bytes: usize,
        step: impl FnOnce(usize, u32) -> Step,
    ) -> Option<()> {
        let to = *self.index.get(to)?;
        self.tallies[from].messages += 1;
        self.tallies[from].bytes += bytes;
        if !self.is_passed(from, to) {
            return None;
        }
        let at = self.now + self.latency(from, to);
        let life = self.processes[to].life;
        self.push(at, step(to, life));
        Some(())
    }

    fn send_push(&mut self, from: usize, to: &ProcessId, mut bundle: ConfigBundle) {
        let life = self.processes[from].life;
        let hops = self.tallies[from].hops + 1;
        let data: usize = bundle.chunks.iter().map(Bytes::len).sum();
        let bytes = CONTROL_BYTES + 32 * (1 + bundle.middle.len()) + data;
        if self.rng.random_range(0..100) < self.setup.damage {
            bundle.middle.iter_mut().for_each(|hash| hash[0] ^= 1);
            bundle.chunks = bundle.chunks.iter().map(damaged).collect();
            bundle.middle = bundle
                .chunks
                .iter()
                .map(|chunk| chunk_hash(chunk))
                .collect();
        }
        let name = to.clone();
        let sent = self.send(from, to, bytes, |to, _| {
            Step::Push(from, life, to, bundle, hops)
        });
        if sent.is_none() {
            self.fail(from, AdoptionEvent::PushFailed { to: name });
        }
    }

    fn send_pull(&mut self, from: usize, peer: &ProcessId, above: Generation) {
        let life = self.processes[from].life;
        let sent = self.send(from, peer, CONTROL_BYTES, |to, _| {
            Step::Pull(from, life, to, above)
        });
        if sent.is_none() {
            let from_peer = peer.clone();
            self.fail(
                from,
                AdoptionEvent::Pulled {
                    from: from_peer,
                    answer: None,
                },
            );
        }
    }

    fn fail(&mut self, position: usize, event: AdoptionEvent) {
        let life = self.processes[position].life;
        let at = self.now + CALL_TIMEOUT;
        self.push(at, Step::Event(position, life, event, 0));
    }

    fn arrive(&mut self, from: usize, life: u32, to: usize, bundle: ConfigBundle, hops: usize) {
        let name = self.processes[to].member.process.clone();
        if !self.processes[to].alive {
            self.push(
                self.now + CALL_TIMEOUT,
                Step::Event(from, life, AdoptionEvent::PushFailed { to: name }, 0),
            );
            return;
        }
        let sender = self.processes[from].member.process.clone();
        let event = AdoptionEvent::Pushed {
            from: sender,
            bundle,
        };
        self.deliver(to, event, hops);
        let generation = self.generation(to);
        self.tallies[to].messages += 1;
        self.tallies[to].bytes += CONTROL_BYTES;
        let (delay, event) = match self.is_passed(to, from) {
            true => {
                let event = AdoptionEvent::PushAnswered {
                    to: name,
                    generation,
                };
                (self.latency(to, from), event)
            }
            false => (CALL_TIMEOUT, AdoptionEvent::PushFailed { to: name }),
        };
        let hops = self.tallies[from].hops;
        self.push(self.now + delay, Step::Event(from, life, event, hops));
    }

    fn pulled(&mut self, from: usize, life: u32, to: usize, above: Generation) {
        let name = self.processes[to].member.process.clone();
        let hops = self.tallies[to].hops + 1;
        let passed = self.processes[to].alive && self.is_passed(to, from);
        if !passed {
            let event = AdoptionEvent::Pulled {
                from: name,
                answer: None,
            };
            self.push(self.now + CALL_TIMEOUT, Step::Event(from, life, event, 0));
            return;
        }
        let answer = self.processes[to].state.answer_pull(above);
        let chunks = answer.bundle.as_ref();
        let data: usize = chunks.map_or(0, |b| b.chunks.iter().map(Bytes::len).sum());
        self.tallies[to].messages += 1;
        self.tallies[to].bytes += CONTROL_BYTES + data;
        let at = self.now + self.latency(to, from);
        let event = AdoptionEvent::Pulled {
            from: name,
            answer: Some(answer),
        };
        self.push(at, Step::Event(from, life, event, hops));
    }

    fn watch(&mut self, position: usize, life: u32, above: Generation, since: Timestamp) {
        if !self.lives(position, life) {
            return;
        }
        let outcome = self.root_of(position);
        let is_new = matches!(&outcome, RootOutcome::Found(m) if m.generation > above);
        let is_over = self.now >= since + WATCH_TIME;
        if is_new || is_over || outcome == RootOutcome::Unavailable {
            let outcome = match is_new || outcome == RootOutcome::Unavailable {
                true => outcome,
                false => RootOutcome::Unchanged,
            };
            self.push(
                self.now,
                Step::Event(position, life, AdoptionEvent::RootRead(outcome), 0),
            );
            return;
        }
        // The store notices a broken watch as slowly as a caller does.
        let at = self.now + Duration::from_millis(100);
        self.push(at, Step::Watch(position, life, above, since));
    }

    fn heartbeat(&mut self, leaf: usize) {
        for feeder in self.processes[leaf].feeders.clone() {
            let both = self.processes[leaf].alive && self.processes[feeder].alive;
            if !both || !self.is_passed(feeder, leaf) {
                continue;
            }
            let generation = self.generation(leaf);
            let from = self.processes[leaf].member.process.clone();
            let hops = self.tallies[feeder].hops;
            self.deliver(feeder, AdoptionEvent::Told { from, generation }, hops);
        }
        self.push(self.now + HEARTBEAT, Step::Heartbeat(leaf));
    }

    fn root_of(&self, position: usize) -> RootOutcome {
        match self.reaches_store(position) {
            true if self.accepted.generation > 0 => RootOutcome::Found(self.accepted.clone()),
            true => RootOutcome::Unchanged,
            false => RootOutcome::Unavailable,
        }
    }

    /// The store is in region 0.
    fn reaches_store(&self, position: usize) -> bool {
        self.store_up && !self.cut.contains(&self.processes[position].region)
    }

    fn is_passed(&mut self, from: usize, to: usize) -> bool {
        let regions = (self.processes[from].region, self.processes[to].region);
        let crosses = regions.0 != regions.1;
        let is_cut = self.cut.contains(&regions.0) || self.cut.contains(&regions.1);
        let is_lost = self.rng.random_range(0..100) < self.setup.loss;
        !(is_lost || crosses && is_cut)
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        let base = match (
            from.region == to.region,
            from.member.domain == to.member.domain,
        ) {
            (true, true) => 300,
            (true, false) => 1_500,
            (false, _) => 60_000,
        };
        Duration::from_micros(self.rng.random_range(base..base * 2))
    }

    fn store_latency(&mut self) -> Duration {
        self.millis(3..15)
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

fn members(setup: &RelaySetup) -> Vec<RelayMember> {
    let member = |kind, name: String, index: usize| {
        let domain = index % setup.domains;
        RelayMember {
            host: format!("host-{name}").into(),
            process: name.into(),
            domain: format!("domain-{domain}").into(),
            region: (domain % setup.regions).to_string(),
            kind,
        }
    };
    let relays = (0..setup.relays).map(|i| member(RelayKind::Relay, format!("gateway-{i}"), i));
    let leaves = (0..setup.leaves).map(|i| member(RelayKind::Leaf, format!("sidecar-{i}"), i));
    relays.chain(leaves).collect()
}

fn chunk_text(generation: Generation, chunk: usize, bytes: usize) -> Bytes {
    let mut text = format!("chunk {chunk} of generation {generation}\n").into_bytes();
    text.resize(bytes.max(text.len()), b'.');
    Bytes::from(text)
}

fn damaged(chunk: &Bytes) -> Bytes {
    let mut bytes = chunk.to_vec();
    if let Some(first) = bytes.first_mut() {
        *first ^= 1;
    }
    Bytes::from(bytes)
}

/// Names of the processes that watch the store.
pub(crate) fn watcher_names(world: &RelayWorld) -> Vec<Arc<str>> {
    world.plan.watchers().to_vec()
}
