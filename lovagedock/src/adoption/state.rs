//! What one process has in force, and what it does to get and spread the newest.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    bundle::{BundleError, ConfigBundle, ConfigSnapshot},
    manifest::ConfigManifest,
    push::PushProgress,
    repair::RepairState,
    role::RelayRole,
    standby::StandbyState,
    startup::StartupState,
    types::{
        AdoptionAction, AdoptionEvent, AdoptionLimits, AdoptionSource, AdoptionStatus, ProcessId,
        PullAnswer,
    },
    upstream::UpstreamState,
};
use crate::{
    ids::{Generation, Timestamp},
    safeguards::DurableSafeguards,
};

/// Adoption at one process.
///
/// The generation in force only ever grows during a process's life. A process that starts adopts
/// what the store says or, when the store cannot be read, the highest of several peers, so it may
/// begin below what its host had before and then only catches up.
#[derive(Debug)]
pub struct AdoptionState {
    pub(super) limits: AdoptionLimits,
    pub(super) safeguards: DurableSafeguards,
    pub(super) rng: ChaCha8Rng,
    pub(super) role: RelayRole,
    pub(super) current: Option<ConfigSnapshot>,
    pub(super) history: VecDeque<ConfigManifest>,
    pub(super) highest_seen: Generation,
    pub(super) pushes: BTreeMap<ProcessId, PushProgress>,
    pub(super) repair: RepairState,
    pub(super) upstream: UpstreamState,
    pub(super) startup: StartupState,
    pub(super) standby: StandbyState,
    source: Option<AdoptionSource>,
    wake_at: Option<Timestamp>,
}

impl AdoptionState {
    /// A process that has nothing in force; `seed` spreads its timers.
    pub fn new(limits: AdoptionLimits, seed: u64) -> Self {
        Self {
            limits,
            safeguards: DurableSafeguards::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            role: RelayRole::default(),
            current: None,
            history: VecDeque::new(),
            highest_seen: 0,
            pushes: BTreeMap::new(),
            repair: RepairState::default(),
            upstream: UpstreamState::default(),
            startup: StartupState::default(),
            standby: StandbyState::default(),
            source: None,
            wake_at: None,
        }
    }

    /// Replaces the safeguards; for tests only.
    pub fn with_safeguards(mut self, safeguards: DurableSafeguards) -> Self {
        self.safeguards = safeguards;
        self
    }

    /// The generation in force; 0 for nothing.
    pub fn generation(&self) -> Generation {
        self.current
            .as_ref()
            .map_or(0, |current| current.manifest.generation)
    }

    /// The configuration in force.
    pub fn text(&self) -> Option<Bytes> {
        self.current.as_ref().map(ConfigSnapshot::text)
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Option<&ConfigManifest> {
        self.current.as_ref().map(|current| &current.manifest)
    }

    /// Answers a peer's pull.
    pub fn answer_pull(&self, above: Generation) -> PullAnswer {
        let generation = self.generation();
        let bundle = (generation > above).then(|| self.bundle(above));
        PullAnswer {
            generation,
            bundle: bundle.flatten(),
        }
    }

    /// What a dump shows.
    pub fn status(&self) -> AdoptionStatus {
        AdoptionStatus {
            generation: self.generation(),
            heard: self.highest_seen,
            source: self.source.clone(),
            watches: self.upstream.watching,
            store_failures: self.upstream.failures,
        }
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, now: Timestamp, event: AdoptionEvent) -> Vec<AdoptionAction> {
        let mut actions = Vec::new();
        self.dispatch(now, event, &mut actions);
        self.drive_standby(now);
        self.drive_startup(now, &mut actions);
        self.drive_upstream(now, &mut actions);
        self.drive_repair(now, &mut actions);
        self.drive_pushes(now, &mut actions);
        self.wake(now, &mut actions);
        actions
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        event: AdoptionEvent,
        actions: &mut Vec<AdoptionAction>,
    ) {
        match event {
            AdoptionEvent::Role(role) => {
                let lists = [&role.children, &role.offers, &role.standby_children];
                let has = |peer: &ProcessId| lists.iter().any(|list| list.contains(peer));
                self.pushes.retain(|peer, _| has(peer));
                self.role = role;
                self.set_higher_ranked(now);
            }
            AdoptionEvent::RootRead(outcome) => self.on_root(now, outcome, actions),
            AdoptionEvent::ChunkRead { hash, bytes } => self.on_chunk(now, hash, bytes, actions),
            AdoptionEvent::Pushed { from, bundle } => {
                self.note_generation(bundle.generation);
                self.note_contact(now, &from);
                let source = AdoptionSource::Push(from.clone());
                self.apply_bundle(now, from, &bundle, source, actions);
            }
            AdoptionEvent::PeerReported { from, generation } => {
                self.on_peer_reported(now, from, generation)
            }
            AdoptionEvent::PushAnswered { to, generation } => {
                self.on_push_answered(now, to, generation);
            }
            AdoptionEvent::PushFailed { to } => self.on_push_failed(now, &to),
            AdoptionEvent::Pulled { from, answer } => self.on_pulled(now, from, answer, actions),
            AdoptionEvent::Accepted { generation } => {
                self.note_generation(generation);
                self.upstream.poll_soon(generation > self.generation());
            }
            AdoptionEvent::Tick => {}
        }
    }

    pub(super) fn note_generation(&mut self, generation: Generation) {
        self.highest_seen = self.highest_seen.max(generation);
    }

    /// Takes what a peer sent, if it is newer and whole.
    pub(super) fn apply_bundle(
        &mut self,
        now: Timestamp,
        from: ProcessId,
        bundle: &ConfigBundle,
        source: AdoptionSource,
        actions: &mut Vec<AdoptionAction>,
    ) {
        if !self.is_newer(bundle.generation) {
            return;
        }
        let verify = self.safeguards.digests_verified;
        match ConfigSnapshot::from_bundle(self.current.as_ref(), bundle, verify) {
            Ok(snapshot) => self.adopt(now, snapshot, source, actions),
            Err(error) => {
                // A base that is not ours is told to the sender by the generation that it gets as
                // an answer; everything else is damage, and the next pull asks for the whole.
                self.repair.needs_full_bundle |= error != BundleError::OtherBase;
                actions.push(AdoptionAction::Rejected { from, error });
            }
        }
    }

    /// A late push, a slow read or a peer that lags would take the process back to rules that an
    /// operator has replaced; since generations grow with each acceptance, one comparison is enough.
    pub(super) fn is_newer(&self, generation: Generation) -> bool {
        generation > self.generation() || !self.safeguards.generations_ascend
    }

    pub(super) fn adopt(
        &mut self,
        now: Timestamp,
        snapshot: ConfigSnapshot,
        source: AdoptionSource,
        actions: &mut Vec<AdoptionAction>,
    ) {
        let generation = snapshot.manifest.generation;
        let digest = snapshot.manifest.digest();
        if let Some(old) = self.current.replace(snapshot) {
            self.history.push_back(old.manifest);
        }
        while self.history.len() > self.limits.history {
            self.history.pop_front();
        }
        self.note_generation(generation);
        self.repair.needs_full_bundle = false;
        self.source = Some(source.clone());
        self.note_adopted(now);
        actions.push(AdoptionAction::Adopt {
            generation,
            digest,
            source: source.clone(),
        });
        self.propagate(now, &source, actions);
    }

    /// What a process at `base` lacks, or the whole.
    pub(super) fn bundle(&self, base: Generation) -> Option<ConfigBundle> {
        let current = self.current.as_ref()?;
        let base = self.history.iter().find(|old| old.generation == base);
        Some(current.bundle(base))
    }

    fn wake(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let times = [
            self.upstream.next_wake(),
            self.repair.next_wake(),
            self.startup.next_wake(),
            self.next_push(),
            self.standby.next_wake(),
        ];
        let wake_at = times.into_iter().flatten().min().map(|at| at.max(now));
        if wake_at != self.wake_at {
            self.wake_at = wake_at;
            actions.extend(wake_at.map(AdoptionAction::WakeAt));
        }
    }

    /// Between half of a time and one and a half of it.
    pub(super) fn jitter(&mut self, mean: std::time::Duration) -> std::time::Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
