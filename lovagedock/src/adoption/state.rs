//! State machine of one process for obtaining and distributing the newest configuration.

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

/// Adoption of configurations at one process.
///
/// The generation in force never decreases while a process runs. At startup a process adopts the
/// generation in the store or, if the store cannot be read, the highest one of several peers. It
/// may therefore start with a lower generation than its predecessor had, and catches up later.
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
    /// Creates the state of a process without a configuration. `seed` determines the jitter of its
    /// timers.
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

    /// Returns the generation in force; 0 for none.
    pub fn generation(&self) -> Generation {
        self.current
            .as_ref()
            .map_or(0, |current| current.manifest.generation)
    }

    /// Returns the configuration in force.
    pub fn text(&self) -> Option<Bytes> {
        self.current.as_ref().map(ConfigSnapshot::text)
    }

    /// Returns the manifest in force.
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

    /// Returns the state for a dump.
    pub fn status(&self) -> AdoptionStatus {
        AdoptionStatus {
            generation: self.generation(),
            heard: self.highest_seen,
            source: self.source.clone(),
            watches: self.upstream.watching,
            store_failures: self.upstream.failures,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: AdoptionEvent) -> Vec<AdoptionAction> {
        let mut actions = Vec::new();
        self.dispatch(now, event, &mut actions);
        self.drive_standby(now);
        self.drive_startup(now, &mut actions);
        self.drive_upstream(now, &mut actions);
        self.drive_repair(now, &mut actions);
        self.drive_pushes(now, &mut actions);
        self.schedule_wake(now, &mut actions);
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
                self.record_generation(bundle.generation);
                self.record_contact(now, &from);
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
                self.record_generation(generation);
                self.upstream
                    .request_poll_if(generation > self.generation());
            }
            AdoptionEvent::Tick => {}
        }
    }

    pub(super) fn record_generation(&mut self, generation: Generation) {
        self.highest_seen = self.highest_seen.max(generation);
    }

    /// Adopts a bundle from a peer if it is newer and undamaged.
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
        let verify = self.safeguards.verified_digests;
        match ConfigSnapshot::from_bundle(self.current.as_ref(), bundle, verify) {
            Ok(snapshot) => self.adopt(now, snapshot, source, actions),
            Err(error) => {
                // If only the base differs, the sender learns it from the generation in the answer.
                // Any other error means damage, and the next pull requests a complete bundle.
                self.repair.needs_full_bundle |= error != BundleError::OtherBase;
                actions.push(AdoptionAction::Rejected { from, error });
            }
        }
    }

    /// Whether a generation is newer than the one in force.
    ///
    /// Without this check a late push, a slow read or a peer that is behind would revert the
    /// process to rules that an operator has replaced. Generations increase with each accepted
    /// configuration, so one comparison is enough.
    pub(super) fn is_newer(&self, generation: Generation) -> bool {
        generation > self.generation() || !self.safeguards.monotonic_generations
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
        self.record_generation(generation);
        self.repair.needs_full_bundle = false;
        self.source = Some(source.clone());
        self.record_adopted(now);
        actions.push(AdoptionAction::Adopt {
            generation,
            digest,
            source: source.clone(),
        });
        self.propagate(now, &source, actions);
    }

    /// Returns the difference from the generation `base` if that is known, else a complete bundle.
    pub(super) fn bundle(&self, base: Generation) -> Option<ConfigBundle> {
        let current = self.current.as_ref()?;
        let base = self.history.iter().find(|old| old.generation == base);
        Some(current.bundle(base))
    }

    fn schedule_wake(&mut self, now: Timestamp, actions: &mut Vec<AdoptionAction>) {
        let times = [
            self.upstream.next_wake(),
            self.repair.next_wake(),
            self.startup.next_wake(),
            self.next_push_at(),
            self.standby.next_wake(),
        ];
        let wake_at = times.into_iter().flatten().min().map(|at| at.max(now));
        if wake_at != self.wake_at {
            self.wake_at = wake_at;
            actions.extend(wake_at.map(AdoptionAction::WakeAt));
        }
    }

    /// Returns a random duration between 0.5 and 1.5 times the mean.
    pub(super) fn jitter(&mut self, mean: std::time::Duration) -> std::time::Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
