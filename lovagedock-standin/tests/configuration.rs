//! How an accepted configuration reaches every process, through the real daemons on loopback.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock::{
    FleetConfig, Generation, RelayKind, RelayLimits, RelayMember, RelayPlan, parse_config,
};
use lovagedock_platform::{
    ApplyOutcome, ApplyRequest, ConfigStore, HttpObjectStore, canonical_json,
};
use lovagedock_standin::{
    FaultCommand, FaultKind,
    fleet::{FleetPlan, LocalFleet, RunningGateway},
};
use serde::Deserialize;
use serde_json::json;
use slog::{Discard, Logger, o};

const GATEWAYS: usize = 6;
const DOMAINS: [&str; 3] = ["north", "middle", "south"];
/// Bound on a wait for a condition; longer than a watch that has lost its purpose.
const LOOKS: usize = 1_200;
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Nobody listens here.
const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// What a test reads of a gateway's status.
#[derive(Debug, Deserialize)]
struct GatewayStatus {
    generation: Generation,
    adoption: Adoption,
    endpoints: Vec<EndpointLine>,
}

#[derive(Debug, Deserialize)]
struct Adoption {
    generation: Generation,
    heard: Generation,
    source: Option<serde_json::Value>,
    watches: bool,
}

#[derive(Debug, Deserialize)]
struct EndpointLine {
    endpoint: String,
    generation: Generation,
}

fn config() -> FleetConfig {
    let gateways = (0..GATEWAYS).map(|index| {
        json!({ "id": format!("g{index}"), "host": format!("entry-{index}"),
            "failure_domain": DOMAINS[index % DOMAINS.len()],
            "peer_address": format!("127.0.0.1:{}", 100 + index) })
    });
    let endpoints = (0..2).map(|index| {
        json!({ "id": format!("p{index}"), "host": format!("h{index}"),
            "failure_domain": DOMAINS[index], "sidecar": format!("127.0.0.1:{}", 200 + index) })
    });
    let config = json!({
        "version": 1,
        "failure_domains": DOMAINS.map(|id| json!({ "id": id, "region": "r" })),
        "gateways": gateways.collect::<Vec<_>>(),
        "models": [],
        "pools": [{ "id": "desk", "kind": { "plain": {} },
            "endpoints": endpoints.collect::<Vec<_>>() }],
        "services": [{ "id": "registry", "kind": { "plain": { "path_prefix": "/registry/" } },
            "pool": "desk" }],
        "organisations": [],
    });
    parse_config("test", &config.to_string()).expect("the configuration is valid")
}

fn plan() -> FleetPlan {
    FleetPlan::new(config(), Logger::root(Discard, o!()))
        .with_heartbeat(Duration::from_millis(100), Duration::from_secs(2))
}

async fn start() -> LocalFleet {
    let fleet = LocalFleet::start(plan()).await.expect("the fleet starts");
    until("the first configuration", async || all_at(&fleet, 1).await).await;
    fleet
}

/// Ends a gateway at once, as when its host is lost.
fn stop_gateway(fleet: &mut LocalFleet, id: &str) {
    fleet.gateways.retain(|gateway| &*gateway.id != id);
}

async fn status(gateway: &RunningGateway) -> GatewayStatus {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let uri = format!("http://{}/status", gateway.gateway.admin_address());
    let request = Request::get(uri).body(Empty::new()).expect("request");
    let response = client.request(request).await.expect("an answer");
    let body = response.into_body().collect().await.expect("whole body");
    serde_json::from_slice(&body.to_bytes()).expect("a status")
}

async fn statuses(fleet: &LocalFleet) -> Vec<GatewayStatus> {
    futures::future::join_all(fleet.gateways.iter().map(status)).await
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..LOOKS {
        if holds().await {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    panic!("never happened: {what}");
}

/// Whether a generation is in force at every gateway.
async fn all_at(fleet: &LocalFleet, generation: Generation) -> bool {
    let statuses = statuses(fleet).await;
    statuses
        .iter()
        .all(|status| status.generation == generation && status.adoption.generation == generation)
}

/// Whether a generation is in force at every sidecar, as the gateways see it.
async fn sidecars_at(fleet: &LocalFleet, generation: Generation) -> bool {
    let statuses = statuses(fleet).await;
    let lines: Vec<&EndpointLine> = statuses.iter().flat_map(|s| &s.endpoints).collect();
    let seen: BTreeSet<&str> = lines.iter().map(|line| &*line.endpoint).collect();
    seen.len() == fleet.endpoints.len() && lines.iter().all(|line| line.generation == generation)
}

fn planned_watchers(config: &FleetConfig) -> BTreeSet<String> {
    let members = config.gateways.iter().map(|gateway| RelayMember {
        process: gateway.id.clone(),
        host: gateway.host.clone(),
        domain: gateway.failure_domain.clone(),
        region: "r".to_owned(),
        kind: RelayKind::Relay,
    });
    let plan = RelayPlan::new(&members.collect::<Vec<_>>(), &RelayLimits::default());
    plan.watchers().iter().map(ToString::to_string).collect()
}

async fn watchers(fleet: &LocalFleet) -> BTreeSet<String> {
    let statuses = statuses(fleet).await;
    let watching = fleet.gateways.iter().zip(&statuses);
    let watching = watching.filter(|(_, status)| status.adoption.watches);
    watching
        .map(|(gateway, _)| gateway.id.to_string())
        .collect()
}

fn is_from_store(status: &GatewayStatus) -> bool {
    status.adoption.source == Some(json!("store"))
}

async fn apply(
    fleet: &LocalFleet,
    config: &FleetConfig,
    expected: Generation,
    author: &str,
) -> ApplyOutcome {
    let store = ConfigStore::new(Arc::new(HttpObjectStore::new(&fleet.platform.url())));
    let text = canonical_json(config).expect("serialisable");
    let nonce = format!("{author}-{expected}");
    let request = ApplyRequest::new(text, expected, author, nonce);
    store.apply(&request).await
}

/// Six gateways in three failure domains; two of them hold a watch at the platform and hear of a
/// change, the other four and all sidecars are fed by them. An operator sees one generation
/// everywhere, and the platform counts two waiting watches whatever the number of gateways.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_watches_feed_every_gateway_and_sidecar() {
    let fleet = start().await;
    let planned = planned_watchers(&fleet.config);
    assert_eq!(planned.len(), 2);
    until("only the planned watchers watch", async || {
        let waiting = fleet.platform.counters().waiting_watches;
        watchers(&fleet).await == planned && waiting == 2
    })
    .await;

    fleet.apply(1).await.expect("accepted");
    until("generation 2 at every gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
    until("generation 2 at every sidecar", async || {
        sidecars_at(&fleet, 2).await
    })
    .await;
    for (gateway, status) in fleet.gateways.iter().zip(statuses(&fleet).await) {
        assert_eq!(status.adoption.heard, 2);
        let is_watcher = planned.contains(&*gateway.id);
        assert!(is_watcher || !is_from_store(&status), "{status:?}");
    }
}

/// The platform goes down as soon as one watcher has read a new configuration. An operator who was
/// told "accepted" sees it come into force everywhere all the same: the gateways that lack it get
/// it from those that have it, and none goes back when the platform returns.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_configuration_spreads_while_the_platform_is_down() {
    let fleet = start().await;
    let outcome = apply(&fleet, &fleet.config, 1, "operator").await;
    assert_eq!(outcome, ApplyOutcome::Accepted { generation: 2 });
    until("a gateway has read it", async || {
        let statuses = statuses(&fleet).await;
        statuses.iter().any(|status| status.generation == 2)
    })
    .await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));

    until("generation 2 at every gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
    until("generation 2 at every sidecar", async || {
        sidecars_at(&fleet, 2).await
    })
    .await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::None));
    let outcome = apply(&fleet, &fleet.config, 2, "operator").await;
    assert_eq!(outcome, ApplyOutcome::Accepted { generation: 3 });
    until("generation 3 at every gateway", async || {
        all_at(&fleet, 3).await
    })
    .await;
}

/// A gateway's host is replaced while the platform is down. The new process has no configuration
/// and cannot read one; it asks the peers that its settings name, one of which is gone, and serves
/// by what they have. When the platform returns, it hears of the next configuration like the rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gateway_that_starts_during_an_outage_asks_its_peers() {
    let mut fleet = start().await;
    fleet.apply(1).await.expect("accepted");
    until("generation 2 at every gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
    let planned = planned_watchers(&fleet.config);
    let mut others = fleet.config.gateways.iter();
    let spec = others.find(|gateway| !planned.contains(&*gateway.id));
    let spec = spec.expect("not all watch").clone();
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    stop_gateway(&mut fleet, &spec.id);
    let peers = fleet.gateways.iter().take(2);
    let peers = peers.map(|gateway| gateway.gateway.peers_address());
    let seeds = peers.chain([NOBODY]).collect();
    let plan = plan();
    let started = plan.start_gateway(&spec, fleet.platform.url(), seeds);
    fleet.gateways.push(started.await.expect("it starts"));

    until("generation 2 at the new gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
    let started = fleet.gateways.last().expect("it is the last");
    assert!(!is_from_store(&status(started).await));

    fleet.platform.set_fault(FaultCommand::new(FaultKind::None));
    fleet.apply(2).await.expect("accepted");
    until("generation 3 at every gateway", async || {
        all_at(&fleet, 3).await
    })
    .await;
}

/// Both planned watchers are lost. The others notice by their silence and the next in rank watch
/// in their place, as many as were lost, so that a configuration accepted afterwards is in force at
/// the four gateways that are left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watchers_that_stop_are_replaced() {
    let mut fleet = start().await;
    let planned = planned_watchers(&fleet.config);
    for watcher in &planned {
        stop_gateway(&mut fleet, watcher);
    }
    until("two others watch", async || {
        let waiting = fleet.platform.counters().waiting_watches;
        watchers(&fleet).await.len() == 2 && waiting == 2
    })
    .await;

    fleet.apply(1).await.expect("accepted");
    until("generation 2 at every gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
}

/// Two operators apply different files over the same generation at the same moment. One is told
/// "accepted"; the other is told who won, and nothing of its file is in force anywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_operators_at_once_one_wins() {
    let fleet = start().await;
    let without = |index: usize| {
        let mut config = fleet.config.clone();
        config.pools[0].endpoints.remove(index);
        config
    };
    let (first, second) = (without(0), without(1));
    let outcomes = tokio::join!(
        apply(&fleet, &first, 1, "asha"),
        apply(&fleet, &second, 1, "bilal"),
    );
    let accepted = ApplyOutcome::Accepted { generation: 2 };
    let lost_to = |author: &str| ApplyOutcome::Conflict {
        winner: 2,
        author: author.to_owned(),
    };
    let left = match outcomes {
        (won, lost) if won == accepted && lost == lost_to("asha") => "p1",
        (lost, won) if won == accepted && lost == lost_to("bilal") => "p0",
        other => panic!("not one winner: {other:?}"),
    };
    until("generation 2 at every gateway", async || {
        all_at(&fleet, 2).await
    })
    .await;
    for status in statuses(&fleet).await {
        let names: Vec<&str> = status.endpoints.iter().map(|e| &*e.endpoint).collect();
        assert_eq!(names, [left]);
    }
}
