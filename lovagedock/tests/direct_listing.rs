//! Model test of the endpoint listing while the platform's store loses and regains its entries.
//!
//! The model contains a store, engines and gateways, with random writes, outages, restores from
//! older copies, delayed responses, and updates of peers in any order. After all faults have ended,
//! all gateways must know exactly the endpoints that the store lists.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use lovagedock::{
    DirectEndpoint, EndpointListing, EndpointProcess, EndpointState, EndpointTable, ListingVersion,
    StorePosition, prelude::*,
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const ENGINES: u8 = 4;
const GATEWAYS: usize = 3;

/// Time in which engines write their entries again, and time after which gateways drop endpoints
/// whose entries are missing.
const REWRITE_TIME: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_millis(2300);

/// Time for which an entry of a restored copy is deferred if its process was gone.
const DEFERRAL_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
enum ModelStep {
    /// An engine writes its entry, or a new process of the engine does.
    Write { engine: u8, restarts: bool },
    /// An engine leaves.
    Leave { engine: u8 },
    /// A copy of the store's state is made.
    Copy,
    /// The store is restored from the last copy, and engines write their entries again.
    Restore,
    /// A gateway reads the store; the response may be delayed.
    Read { gateway: usize, late: bool },
    /// A delayed response arrives.
    Arrive,
    /// A gateway fetches a peer's state; the response may be delayed.
    Pull {
        gateway: usize,
        peer: usize,
        late: bool,
    },
    /// A gateway restarts without state.
    Restart { gateway: usize },
    /// A gateway cannot reach the store.
    Outage { gateway: usize },
    /// Time passes.
    Wait { ms: u64 },
}

type Entries = BTreeMap<EndpointId, DirectEndpoint>;

#[derive(Clone, Debug, Default)]
struct ModelStore {
    position: StorePosition,
    entries: Entries,
}

#[derive(Clone, Debug)]
struct PeerState {
    version: ListingVersion,
    endpoints: Vec<DirectEndpoint>,
    missing: Vec<EndpointId>,
    deferred: Vec<DirectEndpoint>,
}

#[derive(Clone, Debug)]
enum DelayedResponse {
    Store { gateway: usize, store: ModelStore },
    Peer { gateway: usize, state: PeerState },
}

#[derive(Clone, Debug, Default)]
struct ModelGateway {
    listing: EndpointListing,
    table: EndpointTable,
    had_outage: bool,
}

impl ModelGateway {
    fn read(&mut self, now: Timestamp, store: &ModelStore) {
        let listed: Vec<DirectEndpoint> = store.entries.values().cloned().collect();
        let is_restored = store.position.era > self.listing.version().position.era;
        let missing = self.table.unlisted(&listed);
        let after_outage = std::mem::take(&mut self.had_outage);
        let gone = self
            .listing
            .apply_read(now, store.position, after_outage, missing);
        let Some(gone) = gone else {
            return;
        };
        self.table.drop_unlisted_deferred(&listed);
        self.drop_all(&gone);
        for endpoint in listed {
            match is_restored {
                true => self.table.insert_restored(now, endpoint),
                false => self.table.insert(now, endpoint),
            };
        }
    }

    fn apply_peer(&mut self, now: Timestamp, state: PeerState) {
        let listed = [state.endpoints.clone(), state.deferred.clone()].concat();
        let unlisted = self.table.unlisted(&listed);
        let missing = unlisted.into_iter().chain(state.missing).collect();
        let Some(gone) = self.listing.apply_peer_listing(state.version, missing) else {
            return;
        };
        self.table.drop_unlisted_deferred(&listed);
        self.drop_all(&gone);
        for endpoint in state.endpoints {
            if !gone.contains(&endpoint.process.id) {
                self.table.insert(now, endpoint);
            }
        }
        for endpoint in state.deferred {
            self.table.insert_restored(now, endpoint);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        self.table.apply_deferred(now);
        let gone = self.listing.settle(now);
        self.drop_all(&gone);
    }

    fn drop_all(&mut self, gone: &[EndpointId]) {
        for id in gone {
            self.table.remove(id);
        }
    }

    fn state(&self) -> PeerState {
        PeerState {
            version: self.listing.version(),
            endpoints: self.table.all().cloned().collect(),
            missing: self.listing.missing_endpoints().cloned().collect(),
            deferred: self.table.deferred().cloned().collect(),
        }
    }

    fn processes(&self) -> BTreeSet<EndpointProcess> {
        self.table
            .all()
            .map(|endpoint| endpoint.process.clone())
            .collect()
    }
}

#[derive(Default)]
struct ListingModel {
    now: Timestamp,
    store: ModelStore,
    copy: Option<ModelStore>,
    /// Entries that engines have written, independent of the store's state.
    engines: Entries,
    /// Engines that have to write again, with the time at which they do.
    rewrites: Vec<(Timestamp, EndpointId)>,
    gateways: Vec<ModelGateway>,
    late: Vec<DelayedResponse>,
    starts: u64,
}

impl ListingModel {
    fn new() -> Self {
        Self {
            gateways: vec![ModelGateway::default(); GATEWAYS],
            ..Self::default()
        }
    }

    fn write(&mut self, endpoint: DirectEndpoint) {
        self.store.position.revision += 1;
        self.store
            .entries
            .insert(endpoint.process.id.clone(), endpoint);
    }

    fn leave(&mut self, id: &EndpointId) {
        if self.store.entries.remove(id).is_some() {
            self.store.position.revision += 1;
        }
    }

    fn restore(&mut self) {
        let Some(copy) = &self.copy else {
            return;
        };
        let era = self.store.position.era + 1;
        self.store = copy.clone();
        self.store.position.era = era;
        let known = self.engines.keys().chain(copy.entries.keys());
        let due = self.now + REWRITE_TIME / 2;
        self.rewrites = known.map(|id| (due, id.clone())).collect();
    }

    /// Running engines write their entries, and entries of other engines lapse.
    fn rewrite(&mut self) {
        let (due, left) = std::mem::take(&mut self.rewrites)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.rewrites = left;
        let due: Vec<(Timestamp, EndpointId)> = due;
        for (_, id) in due {
            match self.engines.get(&id).cloned() {
                Some(endpoint) if self.store.entries.get(&id) != Some(&endpoint) => {
                    self.write(endpoint);
                }
                Some(_) => {}
                None => self.leave(&id),
            }
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.rewrite();
        let now = self.now;
        self.gateways
            .iter_mut()
            .for_each(|gateway| gateway.tick(now));
    }

    fn arrive(&mut self, response: DelayedResponse) {
        let now = self.now;
        match response {
            DelayedResponse::Store { gateway, store } => self.gateways[gateway].read(now, &store),
            DelayedResponse::Peer { gateway, state } => {
                self.gateways[gateway].apply_peer(now, state)
            }
        }
    }

    fn send(&mut self, response: DelayedResponse, late: bool) {
        match late {
            true => self.late.push(response),
            false => self.arrive(response),
        }
    }

    fn step(&mut self, step: ModelStep) {
        match step {
            ModelStep::Write { engine, restarts } => {
                let id: EndpointId = format!("i-{engine}").into();
                self.starts += u64::from(restarts);
                let started = match self.engines.get(&id) {
                    Some(known) if !restarts => known.process.started,
                    // An engine that was gone returns with another process.
                    _ => {
                        self.starts += 1;
                        self.starts
                    }
                };
                let endpoint = endpoint(id, started);
                self.engines
                    .insert(endpoint.process.id.clone(), endpoint.clone());
                self.write(endpoint);
            }
            ModelStep::Leave { engine } => {
                let id: EndpointId = format!("i-{engine}").into();
                self.engines.remove(&id);
                self.leave(&id);
            }
            ModelStep::Copy => self.copy = Some(self.store.clone()),
            ModelStep::Restore => self.restore(),
            ModelStep::Read { gateway, late } => {
                let store = self.store.clone();
                self.send(DelayedResponse::Store { gateway, store }, late);
            }
            ModelStep::Arrive if self.late.is_empty() => {}
            ModelStep::Arrive => {
                let response = self.late.remove(0);
                self.arrive(response);
            }
            ModelStep::Pull {
                gateway,
                peer,
                late,
            } => {
                let state = self.gateways[peer].state();
                self.send(DelayedResponse::Peer { gateway, state }, late);
            }
            ModelStep::Restart { gateway } => self.gateways[gateway] = ModelGateway::default(),
            ModelStep::Outage { gateway } => {
                self.gateways[gateway].had_outage = true;
                self.gateways[gateway].listing.suspend_settling();
            }
            ModelStep::Wait { ms } => self.wait(Duration::from_millis(ms)),
        }
    }

    /// Ends all faults: one gateway watches the store, and the others receive its state.
    fn settle(&mut self) {
        while let Some(response) = self.late.pop() {
            self.arrive(response);
        }
        self.wait(REWRITE_TIME);
        for _ in 0..2 {
            let store = self.store.clone();
            let now = self.now;
            self.gateways[0].read(now, &store);
            self.exchange();
            self.wait(SETTLE_TIME);
            self.exchange();
        }
        self.wait(DEFERRAL_TIME);
        self.exchange();
    }

    fn exchange(&mut self) {
        for peer in 0..GATEWAYS {
            let state = self.gateways[peer].state();
            let now = self.now;
            for gateway in (0..GATEWAYS).filter(|gateway| *gateway != peer) {
                self.gateways[gateway].apply_peer(now, state.clone());
            }
        }
    }
}

fn endpoint(id: EndpointId, started: StartStamp) -> DirectEndpoint {
    DirectEndpoint {
        process: EndpointProcess::new(id, started),
        service: "service".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        slots: 4,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}

fn steps() -> impl Strategy<Value = Vec<ModelStep>> {
    let gateway = 0..GATEWAYS;
    let step = prop_oneof![
        4 => (0..ENGINES, any::<bool>())
            .prop_map(|(engine, restarts)| ModelStep::Write { engine, restarts }),
        2 => (0..ENGINES).prop_map(|engine| ModelStep::Leave { engine }),
        1 => Just(ModelStep::Copy),
        1 => Just(ModelStep::Restore),
        4 => (gateway.clone(), any::<bool>())
            .prop_map(|(gateway, late)| ModelStep::Read { gateway, late }),
        2 => Just(ModelStep::Arrive),
        4 => (gateway.clone(), gateway.clone(), any::<bool>())
            .prop_map(|(gateway, peer, late)| ModelStep::Pull { gateway, peer, late }),
        1 => gateway.clone().prop_map(|gateway| ModelStep::Restart { gateway }),
        1 => gateway.prop_map(|gateway| ModelStep::Outage { gateway }),
        3 => (1..3_000_u64).prop_map(|ms| ModelStep::Wait { ms }),
    ];
    vec(step, 1..60)
}

/// Guards against gateways that differ from the store or from each other after any sequence of
/// events.
#[test]
fn gateways_converge_to_the_store() {
    let config = Config {
        cases: 4_000,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&steps(), |steps| {
        let mut model = ListingModel::new();
        for step in steps {
            model.step(step);
        }
        model.settle();
        let listed: BTreeSet<EndpointProcess> = model
            .store
            .entries
            .values()
            .map(|endpoint| endpoint.process.clone())
            .collect();
        for (index, gateway) in model.gateways.iter().enumerate() {
            prop_assert_eq!(&gateway.processes(), &listed, "gateway {}", index);
            prop_assert!(gateway.listing.version().settled);
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Guards against a delayed read from before a restore that is applied after it, by the gateway
/// itself or through a peer.
#[test]
fn reads_of_an_older_era_are_ignored() {
    let position = |era, revision| StorePosition::new(era, revision);
    let version = |era, revision| ListingVersion {
        position: position(era, revision),
        settled: true,
    };
    let mut listing = EndpointListing::new();
    let now = Duration::from_secs(1);
    assert!(
        listing
            .apply_read(now, position(2, 10), false, Vec::new())
            .is_some()
    );
    assert!(
        listing
            .apply_read(now, position(1, 900), false, Vec::new())
            .is_none()
    );
    assert!(
        listing
            .apply_peer_listing(version(1, 900), Vec::new())
            .is_none()
    );
    assert!(!listing.advance(position(1, 900)));
    assert!(listing.advance(position(2, 11)));
    assert!(
        listing
            .apply_peer_listing(version(3, 1), Vec::new())
            .is_some()
    );
    assert!(!listing.advance(position(2, 900)));
}

struct MissingCase {
    name: &'static str,
    /// Time since the store was first read again, in milliseconds.
    after_ms: u64,
    /// Whether the store became unreachable again in the meantime.
    unreachable_again: bool,
    gone: bool,
}

/// Guards against an endpoint without an entry in the restored copy that is dropped before it could
/// write its entry again.
#[test]
fn missing_endpoints_are_kept_until_the_listing_settles() {
    let cases = [
        MissingCase {
            name: "at once",
            after_ms: 0,
            unreachable_again: false,
            gone: false,
        },
        MissingCase {
            name: "before the listing settles",
            after_ms: 2_000,
            unreachable_again: false,
            gone: false,
        },
        MissingCase {
            name: "after the listing settles",
            after_ms: 2_300,
            unreachable_again: false,
            gone: true,
        },
        MissingCase {
            name: "after that time, while the store is unreachable",
            after_ms: 9_000,
            unreachable_again: true,
            gone: false,
        },
    ];
    for case in cases {
        let mut listing = EndpointListing::new();
        let start = Duration::from_secs(100);
        listing.apply_read(start, StorePosition::new(1, 50), false, Vec::new());
        let settled = start + SETTLE_TIME;
        listing.settle(settled);
        let missing: Vec<EndpointId> = vec!["i-0".into()];
        let gone = listing.apply_read(settled, StorePosition::new(2, 40), false, missing);
        assert_eq!(gone, Some(Vec::new()), "{}", case.name);
        if case.unreachable_again {
            listing.suspend_settling();
        }
        let gone = listing.settle(settled + Duration::from_millis(case.after_ms));
        assert_eq!(!gone.is_empty(), case.gone, "{}", case.name);
    }
}
