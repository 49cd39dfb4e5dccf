//! Messages between processes.

use std::time::Duration;

use bytes::Bytes;
use lovagedock::{AdoptionAction, AdoptionEvent, ConfigBundle, Generation, ProcessId, chunk_hash};
use rand::RngExt;

use super::{CALL_TIMEOUT, CONTROL_BYTES, HEARTBEAT, RelaySimulation, Step, setup::damaged};

impl RelaySimulation {
    pub(super) fn act(&mut self, from: usize, action: AdoptionAction) {
        let incarnation = self.processes[from].incarnation;
        match action {
            AdoptionAction::Adopt {
                generation, digest, ..
            } => {
                let text = self.processes[from].state.text().expect("has a text");
                let accepted: Vec<u8> = self.text_of(from);
                if self.digests.get(&generation) != Some(&digest) || text != accepted {
                    let text =
                        format!("process {from} adopted a configuration that was not accepted");
                    self.violations.push(text);
                }
                self.tallies[from].adopted_at.insert(generation, self.now);
            }
            AdoptionAction::WakeAt(at) => self.push(at, Step::Tick(from, incarnation)),
            AdoptionAction::Rejected { .. } => {}
            AdoptionAction::ReadRoot => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Root(from, incarnation));
            }
            AdoptionAction::WatchRoot { above } => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Watch(from, incarnation, above, self.now));
            }
            AdoptionAction::ReadChunk { hash } => {
                self.tallies[from].store_reads += 1;
                let at = self.now + self.store_latency();
                self.push(at, Step::Chunk(from, incarnation, hash));
            }
            AdoptionAction::Push { to, bundle } => self.send_push(from, &to, bundle),
            AdoptionAction::Offer { to, generation } => {
                let event = AdoptionEvent::PeerReported {
                    from: self.processes[from].member.process.clone(),
                    generation,
                };
                self.send(from, &to, CONTROL_BYTES, |to, incarnation| {
                    Step::Event(to, incarnation, event, 0)
                });
            }
            AdoptionAction::Pull { from: peer, above } => self.send_pull(from, &peer, above),
        }
    }

    /// Returns the configuration that consists of the accepted chunks in the manifest in force.
    pub(super) fn text_of(&self, position: usize) -> Vec<u8> {
        let manifest = self.processes[position].state.manifest().expect("has one");
        let chunks = manifest.chunks.iter();
        let chunks = chunks.map(|hash| self.chunks.get(hash).cloned().unwrap_or_default());
        chunks.collect::<Vec<Bytes>>().concat()
    }

    pub(super) fn send(
        &mut self,
        from: usize,
        to: &ProcessId,
        bytes: usize,
        step: impl FnOnce(usize, u32) -> Step,
    ) -> Option<()> {
        let to = *self.index.get(to)?;
        self.tallies[from].messages += 1;
        self.tallies[from].bytes += bytes;
        if !self.is_delivered(from, to) {
            return None;
        }
        let at = self.now + self.latency(from, to);
        let incarnation = self.processes[to].incarnation;
        self.push(at, step(to, incarnation));
        Some(())
    }

    pub(super) fn send_push(&mut self, from: usize, to: &ProcessId, mut bundle: ConfigBundle) {
        let incarnation = self.processes[from].incarnation;
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
            Step::Push(from, incarnation, to, bundle, hops)
        });
        if sent.is_none() {
            self.schedule_failure(from, AdoptionEvent::PushFailed { to: name });
        }
    }

    pub(super) fn send_pull(&mut self, from: usize, peer: &ProcessId, above: Generation) {
        let incarnation = self.processes[from].incarnation;
        let sent = self.send(from, peer, CONTROL_BYTES, |to, _| {
            Step::Pull(from, incarnation, to, above)
        });
        if sent.is_none() {
            let from_peer = peer.clone();
            self.schedule_failure(
                from,
                AdoptionEvent::Pulled {
                    from: from_peer,
                    answer: None,
                },
            );
        }
    }

    pub(super) fn schedule_failure(&mut self, position: usize, event: AdoptionEvent) {
        let incarnation = self.processes[position].incarnation;
        let at = self.now + CALL_TIMEOUT;
        self.push(at, Step::Event(position, incarnation, event, 0));
    }

    pub(super) fn receive_push(
        &mut self,
        from: usize,
        incarnation: u32,
        to: usize,
        bundle: ConfigBundle,
        hops: usize,
    ) {
        let name = self.processes[to].member.process.clone();
        if !self.processes[to].alive {
            self.push(
                self.now + CALL_TIMEOUT,
                Step::Event(from, incarnation, AdoptionEvent::PushFailed { to: name }, 0),
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
        let (delay, event) = match self.is_delivered(to, from) {
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
        self.push(
            self.now + delay,
            Step::Event(from, incarnation, event, hops),
        );
    }

    pub(super) fn receive_pull(
        &mut self,
        from: usize,
        incarnation: u32,
        to: usize,
        above: Generation,
    ) {
        let name = self.processes[to].member.process.clone();
        let hops = self.tallies[to].hops + 1;
        let passed = self.processes[to].alive && self.is_delivered(to, from);
        if !passed {
            let event = AdoptionEvent::Pulled {
                from: name,
                answer: None,
            };
            self.push(
                self.now + CALL_TIMEOUT,
                Step::Event(from, incarnation, event, 0),
            );
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
        self.push(at, Step::Event(from, incarnation, event, hops));
    }

    pub(super) fn heartbeat(&mut self, leaf: usize) {
        for parent in self.processes[leaf].parents.clone() {
            let both = self.processes[leaf].alive && self.processes[parent].alive;
            if !both || !self.is_delivered(parent, leaf) {
                continue;
            }
            let generation = self.generation(leaf);
            let from = self.processes[leaf].member.process.clone();
            let hops = self.tallies[parent].hops;
            self.deliver(
                parent,
                AdoptionEvent::PeerReported { from, generation },
                hops,
            );
        }
        self.push(self.now + HEARTBEAT, Step::Heartbeat(leaf));
    }

    /// Whether a message is delivered. It is lost at random, or if it crosses to or from a region
    /// that is cut off.
    pub(super) fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let regions = (self.processes[from].region, self.processes[to].region);
        let crosses = regions.0 != regions.1;
        let is_cut = self.cut_regions.contains(&regions.0) || self.cut_regions.contains(&regions.1);
        let is_lost = self.rng.random_range(0..100) < self.setup.loss;
        !(is_lost || crosses && is_cut)
    }

    pub(super) fn latency(&mut self, from: usize, to: usize) -> Duration {
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
}
