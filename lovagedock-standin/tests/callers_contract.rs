//! Contract of the callers' HTTP interface: what each request that is not served is told.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    http::request::Builder,
};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use lovagedock::parse_config;
use lovagedock_gateway::CallerLimits;
use lovagedock_standin::{
    engine::RunningEngine,
    fleet::{EndpointStandin, FleetPlan, LocalFleet},
};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

const CONFIG: &str = r#"{
    "version": 1,
    "failure_domains": [{ "id": "north" }],
    "gateways": [{ "id": "g1", "host": "entry-1", "failure_domain": "north",
        "peer_address": "127.0.0.1:1" }],
    "models": [{ "id": "reader", "max_context_tokens": 20000 },
        { "id": "drafter", "max_context_tokens": 20000 }],
    "pools": [
        { "id": "readers", "kind": { "engines": { "model": "reader" } }, "endpoints": [
            { "id": "e1", "host": "h1", "failure_domain": "north", "sidecar": "127.0.0.1:2",
                "memory_tokens": 400000 }] },
        { "id": "drafters", "kind": { "engines": { "model": "drafter" } }, "endpoints": [
            { "id": "e2", "host": "h2", "failure_domain": "north", "sidecar": "127.0.0.1:3",
                "memory_tokens": 400000 }] }
    ],
    "services": [
        { "id": "reading", "kind": { "model": { "model": "reader" } }, "pool": "readers" },
        { "id": "drafting", "kind": { "model": { "model": "drafter" } }, "pool": "drafters" }
    ],
    "organisations": [
        { "id": "museum", "key_hashes": [
            "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"],
            "services": ["reading"] }
    ]
}"#;
/// Its SHA-256 is in the configuration.
const API_KEY: &str = "secret";
const COMPLETIONS: &str = "/v1/completions";
const HEADER_LIMIT: usize = 2_048;
const BODY_LIMIT: usize = 200_000;
/// Longest wait for something that has to happen; never reached by a run that passes.
const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);

type CallBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// One request that is not served, and what its caller is told.
struct ContractCase {
    name: &'static str,
    request: Request<CallBody>,
    status: u16,
    code: u16,
    /// Part of the detail.
    detail: &'static str,
}

fn limits() -> CallerLimits {
    CallerLimits {
        streams: 1,
        header_bytes: HEADER_LIMIT,
        body_bytes: BODY_LIMIT,
        body_ms: 300,
        ..CallerLimits::default()
    }
}

async fn start(time_scale: f64) -> LocalFleet {
    let config = parse_config("test", CONFIG).expect("the configuration is valid");
    let plan = FleetPlan::new(config, Logger::root(Discard, o!()))
        .with_time_scale(time_scale)
        .with_limits(limits());
    LocalFleet::start(plan).await.expect("the fleet starts")
}

fn callers(fleet: &LocalFleet) -> SocketAddr {
    fleet.gateways[0].gateway.callers_address()
}

fn engine(fleet: &LocalFleet) -> &RunningEngine {
    match &fleet.endpoints[0].standin {
        EndpointStandin::Engine(engine) => engine,
        EndpointStandin::Service(_) => panic!("the first endpoint is an engine"),
    }
}

async fn call(address: SocketAddr, request: Request<CallBody>) -> Response<Incoming> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (mut parts, body) = request.into_parts();
    let uri = format!("http://{address}{}", parts.uri);
    parts.uri = uri.parse().expect("an address");
    let answered = client.request(Request::from_parts(parts, body));
    tokio::time::timeout(PATIENCE, answered)
        .await
        .expect("the gateway answers")
        .expect("the connection holds")
}

async fn document(response: Response<Incoming>) -> Value {
    let collected = tokio::time::timeout(PATIENCE, response.into_body().collect()).await;
    let bytes = collected.expect("the answer ends").expect("a whole body");
    serde_json::from_slice(&bytes.to_bytes()).expect("a document")
}

fn whole(text: impl Into<Bytes>) -> CallBody {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body that begins and then sends nothing more.
fn stalled() -> CallBody {
    let first = stream::iter([Ok(Frame::data(Bytes::from_static(b"{")))]);
    let silent = stream::pending();
    StreamBody::new(futures::StreamExt::chain(first, silent)).boxed_unsync()
}

fn authorised(method: &str, path: &str) -> Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {API_KEY}"))
}

fn prompt() -> String {
    json!({ "model": "reader", "prompt": "the Sala", "max_tokens": 4 }).to_string()
}

fn body(text: impl Into<Bytes>) -> Request<CallBody> {
    let builder = authorised("POST", COMPLETIONS);
    builder.body(whole(text)).expect("a request")
}

fn header(name: &str, value: &str) -> Request<CallBody> {
    let builder = authorised("POST", COMPLETIONS).header(name, value);
    builder.body(whole(prompt())).expect("a request")
}

fn bare(method: &str, path: &str) -> Request<CallBody> {
    let builder = authorised(method, path);
    builder.body(whole("")).expect("a request")
}

fn without_key(authorization: Option<&str>) -> Request<CallBody> {
    let mut builder = Request::post(COMPLETIONS);
    if let Some(value) = authorization {
        builder = builder.header("authorization", value);
    }
    builder.body(whole(prompt())).expect("a request")
}

#[rustfmt::skip]
fn cases() -> Vec<ContractCase> {
    let case = |name, request, status, code, detail| ContractCase {
        name, request, status, code, detail,
    };
    let long_key = "k".repeat(256);
    let large_header = "h".repeat(HEADER_LIMIT);
    let large_prompt = json!({ "model": "reader", "prompt": "x".repeat(BODY_LIMIT) }).to_string();
    let long_prompt = json!({ "model": "reader", "prompt": "word ".repeat(25_000) }).to_string();
    let endless_answer =
        json!({ "model": "reader", "prompt": "the Sala", "max_tokens": u64::MAX }).to_string();
    let slow = authorised("POST", COMPLETIONS).body(stalled()).expect("a request");
    vec![
        case("no API key", without_key(None), 401, 1002, "bearer token"),
        case("another scheme", without_key(Some("Basic c2VjcmV0")), 401, 1002, "bearer token"),
        case("an unknown API key", without_key(Some("Bearer other")), 401, 1002, ""),
        case("a service of others", body(r#"{ "model": "drafter", "prompt": "x" }"#), 403, 1003, "museum may not use drafting"),
        case("headers over the limit", header("x-large", &large_header), 431, 1007, "at most 2048"),
        case("a body over the limit", body(large_prompt), 413, 1005, "at most 200000 bytes"),
        case("a body that stalls", slow, 400, 1001, "did not arrive in time"),
        case("not JSON", body("{ \"model\": "), 400, 1001, "line 1 column"),
        case("JSON of another shape", body("[1, 2]"), 400, 1001, "line 1 column"),
        case("neither prompt nor messages", body(r#"{ "model": "reader" }"#), 400, 1001, "expected a prompt or messages"),
        case("no model", body(r#"{ "prompt": "x" }"#), 400, 1001, "model"),
        case("a prompt over the model's context", body(long_prompt), 400, 1006, "the model's limit is 20000"),
        case("an answer that no figure can hold", body(endless_answer), 400, 1006, "the model's limit is 20000"),
        case("a deadline in words", header("x-lovagedock-deadline-ms", "soon"), 400, 1001, "whole number of milliseconds"),
        case("a deadline of nothing", header("x-lovagedock-deadline-ms", "0"), 400, 1001, "whole number of milliseconds"),
        case("a deadline below nothing", header("x-lovagedock-deadline-ms", "-5"), 400, 1001, "whole number of milliseconds"),
        case("an unknown priority", header("x-lovagedock-priority", "urgent"), 400, 1001, "batch, standard or interactive"),
        case("an empty idempotency key", header("idempotency-key", ""), 400, 1001, "1 to 255 visible characters"),
        case("a long idempotency key", header("idempotency-key", &long_key), 400, 1001, "1 to 255 visible characters"),
        case("a message that the engine cannot read", body(r#"{ "model": "reader", "messages": [{ "role": "user", "content": [{ "type": "text", "text": "x" }] }] }"#), 400, 1001, "invalid type"),
        case("an unknown model", body(r#"{ "model": "other", "prompt": "x" }"#), 404, 1004, "no service has model \"other\""),
        case("an unknown path", bare("POST", "/nowhere"), 404, 1004, "no service has path"),
        case("a method that the path has not", bare("GET", COMPLETIONS), 404, 1004, "no service has path"),
        case("a path that begins like another", bare("GET", "/v1/modelsandmore"), 404, 1004, "no service has path"),
        case("a model that is not listed", bare("GET", "/v1/models/drafter"), 404, 1004, ""),
    ]
}

/// Every refusal is a problem document with its code, says that nothing ran, and carries the
/// request's id; the endpoint's journal shows that it is true.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_tell_their_code_and_did_not_run() {
    let fleet = start(200.0).await;
    for case in cases() {
        let response = call(callers(&fleet), case.request).await;
        let (status, headers) = (response.status(), response.headers().clone());
        let problem = document(response).await;
        assert_eq!(status.as_u16(), case.status, "{}: {problem}", case.name);
        assert_eq!(problem["code"], case.code, "{}", case.name);
        assert_eq!(problem["ran"], "no", "{}", case.name);
        let detail = problem["detail"].as_str().expect("a detail");
        assert!(detail.contains(case.detail), "{}: {detail}", case.name);
        let kind = &headers["content-type"];
        assert_eq!(kind, "application/problem+json", "{}", case.name);
        let id = headers["x-request-id"].to_str().expect("an id");
        assert_eq!(problem["request_id"], id, "{}", case.name);
    }
    assert!(engine(&fleet).journal.entries().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_organisation_sees_its_models() {
    let fleet = start(200.0).await;
    let list = call(callers(&fleet), bare("GET", "/v1/models")).await;
    assert_eq!(list.status(), StatusCode::OK);
    assert_eq!(list.headers()["content-type"], "application/json");
    let entry =
        json!({ "id": "reader", "object": "model", "created": 0, "owned_by": "lovagedock" });
    let expected = json!({ "object": "list", "data": [entry] });
    assert_eq!(document(list).await, expected);
    let one = call(callers(&fleet), bare("GET", "/v1/models/reader")).await;
    assert_eq!(document(one).await, entry);
}

/// The gateway allows one request in flight, and a stream is. A second request is refused at once
/// with a time to come back. The first caller then hangs up, which must give the place back: the
/// second is served without anybody waiting for the stream's end, which is minutes away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_over_the_limit_is_refused_until_a_caller_leaves() {
    let fleet = start(1.0).await;
    let address = callers(&fleet);
    let first = long_stream(address).await;
    let refused = call(address, body(prompt())).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers()["retry-after"], "1");
    let problem = document(refused).await;
    assert_eq!(
        (
            &problem["code"],
            &problem["ran"],
            &problem["retry_after_ms"]
        ),
        (&json!(2009), &json!("no"), &json!(1000))
    );
    drop(first);
    let served = async {
        while call(address, body(prompt())).await.status() != StatusCode::OK {
            tokio::time::sleep(POLL).await;
        }
    };
    let served = tokio::time::timeout(PATIENCE, served).await;
    served.expect("the place is free again");
}

/// A caller closes its connection in the middle of a long stream, which would take the engine
/// minutes. The gateway notices, cancels the request at the sidecar, and the engine's memory is
/// free again without anybody waiting for the end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_frees_the_engine() {
    let fleet = start(1.0).await;
    let response = long_stream(callers(&fleet)).await;
    assert!(engine(&fleet).handle.allocated_blocks() > 0);
    drop(response);
    let freed = async {
        while engine(&fleet).handle.allocated_blocks() > 0 {
            tokio::time::sleep(POLL).await;
        }
    };
    let freed = tokio::time::timeout(PATIENCE, freed).await;
    freed.expect("the engine's memory is free");
}

/// A stream that has begun and would go on for minutes.
async fn long_stream(address: SocketAddr) -> Response<Incoming> {
    let request = json!({ "model": "reader", "prompt": "the Sala", "max_tokens": 15_000,
        "stream": true });
    let mut response = call(address, body(request.to_string())).await;
    assert_eq!(response.status(), StatusCode::OK);
    let first = response.body_mut().frame().await;
    assert!(first.expect("a frame").is_ok());
    response
}
