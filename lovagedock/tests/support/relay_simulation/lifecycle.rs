//! Starts and ends of processes, and accepted changes.

use lovagedock::{
    AdoptionEvent, AdoptionState, ConfigManifest, Generation, RelayKind, RelayMember, chunk_hash,
};
use rand::RngExt;

use super::{Process, RelaySimulation, Step, setup::chunk_text};

impl RelaySimulation {
    /// Accepts a change of one chunk in the store and notifies the processes that watch it.
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
                let incarnation = self.processes[position].incarnation;
                let at = self.now + self.store_latency();
                self.push(at, Step::Root(position, incarnation));
            }
        }
        generation
    }

    /// Ends a process.
    pub(crate) fn kill(&mut self, position: usize) {
        self.processes[position].alive = false;
        self.processes[position].incarnation += 1;
        self.processes[position].watching = false;
    }

    /// Restarts a process without a configuration in force.
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

    pub(super) fn add(&mut self, position: usize, member: RelayMember) {
        let state =
            AdoptionState::new(self.setup.limits.clone(), self.setup.seed + position as u64)
                .with_safeguards(self.setup.safeguards);
        self.processes.push(Process {
            region: member.region.parse().expect("regions are numbers"),
            member,
            state,
            incarnation: 0,
            alive: true,
            watching: false,
            parents: Vec::new(),
        });
    }

    pub(super) fn link_leaves(&mut self) {
        for position in 0..self.processes.len() {
            let role = self.plan.role_of(&self.processes[position].member.process);
            for child in role.children.iter().chain(&role.offers) {
                let child = self.index[child];
                if self.processes[child].member.kind == RelayKind::Leaf {
                    self.processes[child].parents.push(position);
                }
            }
        }
        for position in 0..self.processes.len() {
            if !self.processes[position].parents.is_empty() {
                let at = self.now + self.millis(0..1_000);
                self.push(at, Step::Heartbeat(position));
            }
        }
    }

    pub(super) fn start(&mut self, position: usize) {
        let role = self.plan.role_of(&self.processes[position].member.process);
        self.deliver(position, AdoptionEvent::Role(role), 0);
    }
}
