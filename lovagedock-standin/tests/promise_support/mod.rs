//! What the tests of the promises share: a small fleet, its callers, and looks at its journals.
#![allow(dead_code, reason = "each file uses its own part")]

pub(crate) mod caller;
pub(crate) mod log;
pub(crate) mod relay;

use std::{collections::BTreeMap, time::Duration};

use lovagedock::{parse_config, prelude::*};
use lovagedock_standin::{
    engine::{JournalEvent, RunningEngine},
    fleet::{EndpointStandin, FleetPlan, LocalFleet},
    service::RunningService,
};
use slog::{Discard, Logger, o};

use caller::Caller;
use relay::TcpRelay;

/// Far above what a busy machine needs; it only turns a wait without end into a failure.
const UNTIL_LIMIT: Duration = Duration::from_secs(60);
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// Engines in the fleet; the service comes after them.
pub(crate) const ENGINES: usize = 3;

const CONFIG: &str = include_str!("fleet.jsonc");

/// Three engines, one plain service, two gateways; short heartbeats.
pub(crate) fn plan() -> FleetPlan {
    let config = parse_config("test", CONFIG).expect("the configuration is valid");
    FleetPlan::new(config, Logger::root(Discard, o!()))
        .with_heartbeat(Duration::from_millis(100), Duration::from_millis(600))
        .with_service_time(Duration::from_millis(20))
}

pub(crate) async fn start(plan: FleetPlan) -> LocalFleet {
    LocalFleet::start(plan).await.expect("the fleet starts")
}

/// Puts a relay before each sidecar, by a configuration that names the relays.
pub(crate) async fn start_behind_relays(plan: FleetPlan) -> (LocalFleet, Vec<TcpRelay>) {
    let mut fleet = start(plan).await;
    let mut relays = Vec::new();
    for pool in &mut fleet.config.pools {
        for spec in &mut pool.endpoints {
            let relay = TcpRelay::start(spec.sidecar).await;
            spec.sidecar = relay.address;
            relays.push(relay);
        }
    }
    fleet.apply(1).await.expect("the configuration is accepted");
    let gateways = fleet.gateways.len();
    until(async || relays.iter().all(|relay| relay.accepted() >= gateways)).await;
    fleet
        .wait_until_ready()
        .await
        .expect("the gateways reach the relays");
    (fleet, relays)
}

pub(crate) fn caller(fleet: &LocalFleet, gateway: usize) -> Caller {
    Caller::new(fleet.gateways[gateway].gateway.callers_address())
}

/// The engines in the order of the configuration.
pub(crate) fn engines(fleet: &LocalFleet) -> Vec<&RunningEngine> {
    let standins = fleet.endpoints.iter().map(|endpoint| &endpoint.standin);
    standins
        .filter_map(|standin| match standin {
            EndpointStandin::Engine(engine) => Some(engine),
            EndpointStandin::Service(_) => None,
        })
        .collect()
}

pub(crate) fn service(fleet: &LocalFleet) -> &RunningService {
    match &fleet.endpoints[ENGINES].standin {
        EndpointStandin::Service(service) => service,
        EndpointStandin::Engine(_) => panic!("the service comes after the engines"),
    }
}

/// How often each request entered a batch or was begun by the service, by its id.
pub(crate) fn starts(fleet: &LocalFleet) -> BTreeMap<String, usize> {
    let mut starts = BTreeMap::new();
    for engine in engines(fleet) {
        for entry in engine.journal.entries() {
            if entry.event == JournalEvent::Started {
                *starts.entry(entry.request_id).or_default() += 1;
            }
        }
    }
    for run in service(fleet).journal.runs() {
        *starts.entry(run.request_id).or_default() += 1;
    }
    starts
}

/// Starts at one engine so far.
pub(crate) fn starts_at(engine: &RunningEngine) -> usize {
    let entries = engine.journal.entries();
    let started = entries
        .iter()
        .filter(|entry| entry.event == JournalEvent::Started);
    started.count()
}

/// Waits for the first start on any engine and returns the engine's place.
pub(crate) async fn running_engine(fleet: &LocalFleet) -> usize {
    let engines = engines(fleet);
    let started = || engines.iter().position(|engine| starts_at(engine) > 0);
    until(async || started().is_some()).await;
    started().expect("an engine has started")
}

/// Asks again until `done`.
pub(crate) async fn until(mut done: impl AsyncFnMut() -> bool) {
    let asking = async {
        while !done().await {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    };
    let result = tokio::time::timeout(UNTIL_LIMIT, asking).await;
    result.expect("what was waited for never came about");
}

/// Generation in force at a gateway and at each of its endpoints, by its status page.
pub(crate) async fn generations(fleet: &LocalFleet, gateway: usize) -> Vec<Generation> {
    let admin = fleet.gateways[gateway].gateway.admin_address();
    let status = caller::get_json(admin, "/status").await;
    let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
    let own = std::iter::once(&status["generation"]);
    let all = own.chain(endpoints.iter().map(|endpoint| &endpoint["generation"]));
    all.map(|generation| generation.as_u64().expect("a number"))
        .collect()
}
