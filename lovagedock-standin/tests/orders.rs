//! Orders to engines, through the real daemons on loopback. The engines obey any order.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock::{
    Artifact, ConfigBundle, ConfigManifest, FleetConfig, LoadOrder, parse_config, prelude::*,
};
use lovagedock_platform::canonical_json;
use lovagedock_sidecar::adapter::{AdapterOptions, EngineOrder, OrderKind, build_adapter};
use lovagedock_standin::{
    FaultCommand, FaultKind,
    engine::{RunningEngine, WeightLoadGauge},
    fleet::{EndpointStandin, FleetPlan, LocalFleet},
};
use lovagedock_wire::{
    EndpointClient, OrderMessage, OrderReply, PROTOCOL_VERSION, PeerClient, PeerIdentity,
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use support::until;
use tokio::{net::TcpStream, task::LocalSet};

const LIMIT: Duration = Duration::from_secs(60);
/// Another gateway takes over when this has passed without renewal.
const LEASE: Duration = Duration::from_secs(2);
const ENGINES: usize = 8;
/// A quarter of the engines, and the loads of a pool that go on at once.
const PACE: usize = 2;

fn config(version: &str) -> FleetConfig {
    let endpoints: Vec<Value> = (1..=ENGINES)
        .map(|number| {
            json!({ "id": format!("e{number}"), "host": format!("h{number}"),
                "failure_domain": "north", "sidecar": format!("127.0.0.1:{number}"),
                "memory_tokens": 400_000 })
        })
        .collect();
    let gateway = |number: u16| {
        json!({ "id": format!("g{number}"), "host": format!("entry-{number}"),
            "failure_domain": "north", "peer_address": format!("127.0.0.1:10{number}") })
    };
    let document = json!({
        "version": 1,
        "failure_domains": [{ "id": "north" }],
        "gateways": [gateway(1), gateway(2)],
        "models": [{ "id": "reader", "weights_version": version, "max_context_tokens": 100_000,
            "adapters": [{ "id": "tracing", "version": version }] }],
        "pools": [{ "id": "readers", "kind": { "engines": { "model": "reader" } },
            "endpoints": endpoints }],
        "services": [{ "id": "reading", "kind": { "model": { "model": "reader" } },
            "pool": "readers" }],
        "organisations": [{ "id": "museum", "key_hashes": [
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"] }]
    });
    parse_config("test", &document.to_string()).expect("the configuration is valid")
}

async fn start(weights: &WeightLoadGauge) -> LocalFleet {
    let log = Logger::root(Discard, o!());
    let mut plan = FleetPlan::new(config("1"), log)
        .with_time_scale(100.0)
        .with_lease(LEASE);
    plan.weights = weights.clone();
    LocalFleet::start(plan).await.expect("the fleet starts")
}

/// Puts another version into the fleet's configuration.
fn set_version(fleet: &mut LocalFleet, version: &str) {
    fleet.config.models = config(version).models;
}

fn engines(fleet: &LocalFleet) -> Vec<&RunningEngine> {
    let standins = fleet.endpoints.iter().map(|endpoint| &endpoint.standin);
    standins
        .filter_map(|standin| match standin {
            EndpointStandin::Engine(engine) => Some(engine),
            EndpointStandin::Service(_) => None,
        })
        .collect()
}

/// What one engine has carried out.
fn orders(engine: &RunningEngine) -> Vec<String> {
    let orders = engine.journal.orders().into_iter();
    orders.map(|order| order.kind).collect()
}

fn loads(version: &str) -> [String; 2] {
    [
        format!("load_model reader {version}"),
        format!("load_adapter tracing {version}"),
    ]
}

/// Each engine has loaded just these versions, each once.
fn assert_carried_out(fleet: &LocalFleet, versions: &[&str]) {
    let expected: Vec<String> = versions.iter().flat_map(|it| loads(it)).collect();
    for engine in engines(fleet) {
        assert_eq!(orders(engine), expected);
    }
}

async fn until_loaded(fleet: &LocalFleet, version: &str) {
    let last = loads(version)[1].clone();
    let has_it = |engine: &&RunningEngine| orders(engine).contains(&last);
    until(async || engines(fleet).iter().all(has_it)).await;
}

async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (mut parts, body) = request.into_parts();
    let uri = format!("http://{address}{}", parts.uri);
    parts.uri = uri.parse().expect("uri");
    let sent = client.request(Request::from_parts(parts, body));
    let answered = tokio::time::timeout(LIMIT, sent).await;
    answered.expect("an answer").expect("the connection holds")
}

/// What a gateway shows of its pools.
async fn lease(fleet: &LocalFleet, gateway: usize) -> Option<Epoch> {
    let address = fleet.gateways[gateway].gateway.admin_address();
    let request = Request::get("/dump")
        .body(Full::default())
        .expect("request");
    let body = send(address, request).await.into_body();
    let bytes = body.collect().await.expect("a body").to_bytes();
    let dump: Value = serde_json::from_slice(&bytes).expect("JSON");
    dump["state"]["orders"]["readers"]["lease"]["held"].as_u64()
}

async fn serves(fleet: &LocalFleet, gateway: usize) {
    let body = json!({ "model": "reader", "prompt": "the brig Salamander", "max_tokens": 5 });
    let request = Request::post("/v1/completions")
        .header("authorization", "Bearer secret")
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("request");
    let address = fleet.gateways[gateway].gateway.callers_address();
    assert_eq!(send(address, request).await.status(), 200);
}

fn identity() -> PeerIdentity {
    PeerIdentity {
        version: PROTOCOL_VERSION,
        name: "g1".to_owned(),
        incarnation: 1,
        generation: 0,
        fleet: None,
    }
}

/// An order that reaches a sidecar whatever its sender thinks of its lease.
async fn late_order(sidecar: SocketAddr, message: &OrderMessage) -> OrderReply {
    let local = LocalSet::new();
    let calling = local.run_until(async {
        let stream = TcpStream::connect(sidecar).await.expect("a connection");
        let client = EndpointClient::new(Box::new(stream));
        client.hello(&identity(), LIMIT).await.expect("a welcome");
        client.order(message, LIMIT).await.expect("a reply")
    });
    calling.await
}

/// Hands a configuration over as another gateway would.
async fn relay(gateway: SocketAddr, bundle: &ConfigBundle) -> Generation {
    let local = LocalSet::new();
    let calling = local.run_until(async {
        let stream = TcpStream::connect(gateway).await.expect("a connection");
        let client = PeerClient::new(Box::new(stream));
        client.hello(&identity(), LIMIT).await.expect("a welcome");
        client.push(bundle, LIMIT).await.expect("a reply")
    });
    calling.await
}

/// An operator applies another version of the weights while callers are served. Each engine loads
/// the model and then the adapter, once, and never more than two engines load at a time: all at
/// once would overrun the weight store and leave nobody to serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_is_loaded_by_every_engine_at_the_pace() {
    let weights = WeightLoadGauge::default();
    let mut fleet = start(&weights).await;
    until_loaded(&fleet, "1").await;
    set_version(&mut fleet, "2");
    fleet.apply(1).await.expect("accepted");
    serves(&fleet, 0).await;
    until_loaded(&fleet, "2").await;
    assert_carried_out(&fleet, &["1", "2"]);
    let most = weights.max_concurrent_loads();
    assert!(most <= PACE, "{most} engines loaded at once");
}

/// A gateway had an order in hand when it was paused. Its lease passed on, and its successor has
/// loaded version 2 everywhere. When the order for version 1 goes out at last, the sidecar refuses
/// it by its number, although the engine would obey anyone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_order_of_a_former_holder_is_refused() {
    let mut fleet = start(&WeightLoadGauge::default()).await;
    until_loaded(&fleet, "1").await;
    let mut former = (0, 0);
    until(async || {
        for gateway in 0..2 {
            if let Some(epoch) = lease(&fleet, gateway).await {
                former = (gateway, epoch);
            }
        }
        former.1 > 0
    })
    .await;
    let (former, former_epoch) = former;
    fleet.gateways[former].daemon.shutdown.trigger();
    set_version(&mut fleet, "2");
    let generation = fleet.apply(1).await.expect("accepted");
    until_loaded(&fleet, "2").await;

    let late = OrderMessage {
        pool: "readers".into(),
        epoch: former_epoch,
        sequence: 1_000,
        generation,
        order: Some(LoadOrder::Model(Artifact::new("reader", "1"))),
    };
    for endpoint in &fleet.endpoints {
        let reply = late_order(endpoint.settings.gateways.address, &late).await;
        assert_eq!(reply.code, ResultCode::FenceStale, "{}", endpoint.id);
        assert!(reply.report.highest > former_epoch, "{}", endpoint.id);
    }
    assert_carried_out(&fleet, &["1", "2"]);

    let options = AdapterOptions::new(engines(&fleet)[0].address);
    let adapter = build_adapter("json-report", &options).expect("an adapter");
    let order = EngineOrder {
        fence: 1,
        kind: OrderKind::SetRole {
            role: "any".to_owned(),
        },
    };
    let obeyed = adapter.order(order).await;
    assert_eq!(obeyed, Ok(()), "the engine itself checks nothing");
}

/// The store goes down and the lease lapses. A configuration that was accepted before reaches the
/// gateways from a peer; they serve by it, but order nothing until the store is back, since each
/// must assume that another holds the lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_store_nothing_is_ordered_and_callers_are_served() {
    let mut fleet = start(&WeightLoadGauge::default()).await;
    until_loaded(&fleet, "1").await;
    fleet.platform.set_fault(FaultCommand::new(FaultKind::Down));
    for gateway in 0..2 {
        until(async || lease(&fleet, gateway).await.is_none()).await;
    }
    set_version(&mut fleet, "2");
    let text = canonical_json(&fleet.config).expect("JSON");
    let manifest = ConfigManifest::new(2, std::slice::from_ref(&text));
    let bundle = ConfigBundle {
        generation: 2,
        digest: manifest.digest(),
        base: 0,
        prefix: 0,
        suffix: 0,
        middle: manifest.chunks.to_vec(),
        chunks: vec![text],
    };
    for entry in &fleet.gateways {
        assert_eq!(relay(entry.gateway.peers_address(), &bundle).await, 2);
    }
    for _ in 0..10 {
        serves(&fleet, 0).await;
        serves(&fleet, 1).await;
    }
    assert_carried_out(&fleet, &["1"]);
    fleet.platform.set_fault(FaultCommand::new(FaultKind::None));
    until_loaded(&fleet, "2").await;
}
